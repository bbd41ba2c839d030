"""Decisions of a planner; each one is executed on its own."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Decision:
    """A decision about one job."""

    job_id: str


@dataclasses.dataclass(frozen=True)
class Start(Decision):
    """Start a queued job on a host."""

    host: str


@dataclasses.dataclass(frozen=True)
class Checkpoint(Decision):
    """Stop a task so that it can continue on another host."""

    host: str


@dataclasses.dataclass(frozen=True)
class Throttle(Decision):
    """Limit a task to a fraction of its processors; 1 lifts the limit."""

    host: str
    fraction: float


@dataclasses.dataclass(frozen=True)
class Stop(Decision):
    """Stop the task of a cancelled job."""

    host: str


@dataclasses.dataclass(frozen=True)
class Claim(Decision):
    """Hold the capacity that is being freed on a host for a queued job."""

    host: str


@dataclasses.dataclass(frozen=True)
class Refuse(Decision):
    """Fail a queued job that can never run."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Wait(Decision):
    """Leave a job in the queue; ``reason`` is shown to operators."""

    reason: str
