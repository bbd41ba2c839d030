"""Jobs as callers describe them: steps of tasks, and the needs of each task."""

import dataclasses

from jackdawlatch.model import records


class Room(records.Record, frozen=True, kw_only=True):
    """Processors in thousandths of a core, memory in MB, and accelerators."""

    processors_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, need: 'Room') -> bool:
        """Return whether ``need`` fits into this capacity."""
        return (
            need.processors_m <= self.processors_m
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def minus(self, need: 'Room') -> 'Room':
        """Return this capacity minus ``need``."""
        return Room(
            processors_m=self.processors_m - need.processors_m,
            memory_mb=self.memory_mb - need.memory_mb,
            accelerators=self.accelerators - need.accelerators,
        )

    def times(self, count: int) -> 'Room':
        """Return ``count`` times this capacity."""
        return Room(
            processors_m=self.processors_m * count,
            memory_mb=self.memory_mb * count,
            accelerators=self.accelerators * count,
        )

    def plus(self, more: 'Room') -> 'Room':
        """Return the sum of this capacity and ``more``."""
        return Room(
            processors_m=self.processors_m + more.processors_m,
            memory_mb=self.memory_mb + more.memory_mb,
            accelerators=self.accelerators + more.accelerators,
        )


class Step(records.Record, frozen=True, kw_only=True):
    """``count`` equal tasks that start once the steps in ``after`` are done.

    ``lasting`` tasks run until the job is cancelled.  ``fills`` marks tasks
    that only use processors left idle by others.  ``max_per_worker`` 0 means
    no limit.  ``tail_target_ms`` limits the response times of a lasting task.
    """

    count: int
    room: Room = Room()
    estimate_s: float = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ''
    tail_target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def reserved_room(self) -> Room:
        """Capacity that a task reserves on its worker.

        A filler task reserves no processors.
        """
        if self.fills:
            return records.replace(self.room, processors_m=0)
        return self.room


class Job(records.Record, frozen=True, kw_only=True):
    """An accepted job; ``accepted_s`` is wall-clock time.

    With ``repeat_count`` above 0 the steps run that many times, occurrence
    ``k`` from ``start_at_s + k * interval_s`` (wall-clock) on.  ``service`` and
    ``max_attempts`` are those of the queue when it was accepted, for a leader
    that doesn't know the queue; earlier releases stored no ``max_attempts``.
    ``team`` is the one whose key submitted it, empty for open queues, and
    ``version`` the configuration by which it was accepted.
    """

    id: str
    queue: str
    service: str
    max_attempts: int = 1
    spec: str = ''
    steps: tuple[Step, ...]
    repeat_count: int = 0
    start_at_s: float = 0
    interval_s: float = 0
    accepted_s: float = 0
    team: str = ''
    version: int = 0

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.repeat_count)

    def due_s(self, occurrence: int) -> float:
        """Return the earliest wall-clock start of an occurrence, or 0."""
        if not self.repeat_count:
            return 0
        return self.start_at_s + occurrence * self.interval_s


@dataclasses.dataclass(frozen=True, slots=True)
class TaskId:
    """Identifies one task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def name(self) -> str:
        """The id as text."""
        return f'{self.job}.{self.occurrence}.{self.step}.{self.index}'
