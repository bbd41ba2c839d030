"""Reports of workers, of machines and of the advice service."""

import dataclasses
import enum
from typing import ClassVar

from jackdawlatch.jobs import model
from jackdawlatch.model import failures
from jackdawlatch.scheduler import calls


class EndKind(enum.Enum):
    """How a run ended; ``LAPSED`` means that its lease ended first."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@dataclasses.dataclass(frozen=True)
class WorkerEntry:
    """The registration of a worker; ``born_ms`` identifies one boot of ``id``.

    ``remaining_s`` is how long a draining worker stays at least, counted from
    its report; None if that is unknown.
    """

    id: str
    born_ms: int
    address: str
    service: str
    zone: str
    machine: str
    room: model.Room
    labels: tuple[str, ...] = ()
    rack: str = ''
    draining: bool = False
    remaining_s: float | None = None

    def carries(self, label: str) -> bool:
        """Whether the worker has a label; an empty one is no condition."""
        return not label or label in self.labels

    @property
    def boot(self) -> tuple[str, int]:
        """The identity of this boot."""
        return self.id, self.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """A run on a worker; ``percent`` 100 means that a lasting task serves.

    ``gauge`` is the tail latency in ms of a task that serves requests, and the
    processor use in thousandths of a core of any other.
    """

    run_id: calls.RunId
    checkpoint: str
    percent: int
    gauge: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EndReport:
    """The end of a run, numbered from 1 in each boot of a worker."""

    number: int
    run_id: calls.RunId
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True)
class WorkerStatus:
    """The runs of a worker, and the ends that were not acknowledged yet.

    ``clock_s`` is the worker's monotonic clock.  ``complete`` is false if
    there may be further ends, which are reported once these are acknowledged.
    """

    clock_s: float
    born_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    complete: bool = True


@dataclasses.dataclass(frozen=True)
class Machine:
    """A machine of the platform; ``available`` means that it can be moved.

    While it is ``moving``, ``service`` is where it moves to.
    """

    id: str
    service: str
    available: bool
    moving: bool = False


@dataclasses.dataclass(frozen=True)
class Advice:
    """The tickets of approved workers by id, valid for ``valid_s``."""

    tickets_by_worker: dict[str, str]
    valid_s: float


class MachineFailure(failures.Problem, frozen=True, kw_only=True):
    """A call about a machine failed; with ``refused`` it had no effect."""

    code: ClassVar[str] = 'machine-call-failed'

    refused: bool = False


class AdviceFailure(failures.Problem, frozen=True, kw_only=True):
    """The advice service refused the call or did not answer."""

    code: ClassVar[str] = 'advice-failed'
