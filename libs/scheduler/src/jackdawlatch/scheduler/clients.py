"""The interfaces behind which workers, machines and advice are met.

Times on a worker are seconds of that worker's own steady clock.
"""

import abc
import dataclasses
import enum
from typing import ClassVar

from returns import result

from jackdawlatch.jobs import model
from jackdawlatch.model import failures


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class Refusal(enum.Enum):
    """Why a worker refused a start; none of them started anything."""

    FENCED = 'fenced'
    OUTDATED = 'outdated'
    EXPIRED = 'expired'
    NO_ROOM = 'no-room'
    TICKET = 'ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_BOOT = 'other-boot'
    INVALID = 'invalid'


class Refused(failures.Problem, frozen=True, kw_only=True):
    """The worker refused; nothing was started or changed."""

    code: ClassVar[str] = 'worker-refused'

    reason: Refusal


class NotSent(failures.Problem, frozen=True, kw_only=True):
    """No byte reached the worker."""

    code: ClassVar[str] = 'worker-not-reached'


class Unanswered(failures.Problem, frozen=True, kw_only=True):
    """The order may have been carried out, or may be in some seconds."""

    code: ClassVar[str] = 'worker-unanswered'


CallFailure = Refused | NotSent | Unanswered


@dataclasses.dataclass(frozen=True)
class WorkerEntry:
    """What a worker says of itself; ``born_ms`` names one boot of ``id``."""

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


@dataclasses.dataclass(frozen=True)
class Target:
    """One boot of a worker that is called."""

    id: str
    address: str


@dataclasses.dataclass(frozen=True)
class Start:
    """An order to run a task until ``expires_s`` at first."""

    task: model.TaskId
    attempt: int
    spec: str
    token: int
    expires_s: float
    checkpoint: str = ''
    ticket: str = ''


@dataclasses.dataclass(frozen=True)
class RunName:
    """One attempt at a task."""

    task: model.TaskId
    attempt: int


@dataclasses.dataclass(frozen=True)
class Look:
    """Asks for a worker's lists.

    ``acked`` lets the worker forget ends up to that number.  ``lease_s``
    extends the lease of all that runs there; None leaves it.  The answer may
    wait for an end, up to ``wait_s``.
    """

    token: int
    acked: int
    lease_s: float | None
    wait_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """A run on a worker; ``percent`` 100 means that a lasting task serves.

    ``gauge`` is the response-time tail in ms of a task that serves, and
    thousandths of a core in use for any other.
    """

    name: RunName
    checkpoint: str
    percent: int
    gauge: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EndReport:
    """An end, numbered from 1 in each boot of a worker."""

    number: int
    name: RunName
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True)
class Lists:
    """What a worker runs, and which ends were not acknowledged yet."""

    clock_s: float
    born_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


class WorkerClient(abc.ABC):
    """Gives orders to workers; each method is one call."""

    @abc.abstractmethod
    async def start(
        self, target: Target, order: Start
    ) -> result.Result[None, CallFailure]:
        """Start a run; succeeds too if that very run is there already."""

    @abc.abstractmethod
    async def stop(
        self, target: Target, name: RunName, token: int
    ) -> result.Result[None, CallFailure]:
        """Stop a run, and make sure that it can't start any more."""

    @abc.abstractmethod
    async def look(
        self, target: Target, look: Look
    ) -> result.Result[Lists, CallFailure]:
        """Return the worker's lists and extend the lease."""

    @abc.abstractmethod
    async def pace(
        self, target: Target, name: RunName, percent: int, token: int
    ) -> result.Result[None, CallFailure]:
        """Let a run work at a share of its speed."""


@dataclasses.dataclass(frozen=True)
class Machine:
    """A machine of the platform; ``worker`` is empty while none runs."""

    id: str
    service: str
    available: bool
    worker: str = ''


class MachineFailure(failures.Problem, frozen=True, kw_only=True):
    """The call was refused or not answered."""

    code: ClassVar[str] = 'machine-call-failed'


class MachineClient(abc.ABC):
    """Orders about whole machines; ``token`` fences older leaders."""

    @abc.abstractmethod
    async def list_all(
        self,
    ) -> result.Result[tuple[Machine, ...], MachineFailure]:
        """Return every machine."""

    @abc.abstractmethod
    async def move(
        self, machine: str, service: str, token: int
    ) -> result.Result[None, MachineFailure]:
        """Move a machine to a service's pool; all that runs on it ends."""

    @abc.abstractmethod
    async def maintain(
        self, machine: str, wave: int, token: int
    ) -> result.Result[None, MachineFailure]:
        """Take a machine down for maintenance; all that runs on it ends."""


@dataclasses.dataclass(frozen=True)
class Advice:
    """Tickets by worker id, valid for ``valid_s``."""

    tickets_by_worker: dict[str, str]
    valid_s: float


class AdviceFailure(failures.Problem, frozen=True, kw_only=True):
    """The advice service refused or did not answer."""

    code: ClassVar[str] = 'advice-failed'


class AdviceClient(abc.ABC):
    """Tells which workers may run a step of an advised queue."""

    @abc.abstractmethod
    async def advise(
        self, job: str, occurrence: int, step: int, workers: tuple[str, ...]
    ) -> result.Result[Advice, AdviceFailure]:
        """Return the workers that may run a step."""
