"""What a planner decides; each decision is carried out on its own."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Decision:
    """Something to do about one job."""

    job_id: str


@dataclasses.dataclass(frozen=True)
class Start(Decision):
    """Start a queued job on a host."""

    host: str


@dataclasses.dataclass(frozen=True)
class Checkpoint(Decision):
    """Stop a task in such a way that it can go on elsewhere."""

    host: str


@dataclasses.dataclass(frozen=True)
class Throttle(Decision):
    """Let a task use only a fraction of its processors; 1 lifts that."""

    host: str
    fraction: float


@dataclasses.dataclass(frozen=True)
class Stop(Decision):
    """Stop a task for good."""

    host: str


@dataclasses.dataclass(frozen=True)
class Claim(Decision):
    """Hold the room that is being made on a host for a queued job."""

    host: str


@dataclasses.dataclass(frozen=True)
class Refuse(Decision):
    """Fail a queued job that can never run."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Wait(Decision):
    """Leave a job in the queue; ``reason`` is for operators."""

    reason: str
