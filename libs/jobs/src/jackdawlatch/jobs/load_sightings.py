"""Forecasts of the load of each service, as published by the leader."""

import dataclasses
import zlib

from jackdawlatch.jobs import model, queues, stored_load
from jackdawlatch.model import clocks
from jackdawlatch.policy import backlog, objectives, shedding
from jackdawlatch.store import keyvalue

MILLICORES_PER_CORE = 1000
MAX_CHECKSUM = 0xFFFFFFFF


@dataclasses.dataclass(frozen=True)
class _Sighting:
    """A published forecast, and when this process received it."""

    load: stored_load.Load
    seen_s: float


class LoadSightings:
    """The forecast of the leader in office, and its age on this clock."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._token = keyvalue.ABSENT
        self._sighting: _Sighting | None = None

    def observe_leader(self, token: int) -> None:
        """Record the token of the leader, ``ABSENT`` if there is none."""
        self._token = token

    def observe(self, load: stored_load.Load) -> None:
        """Record a forecast that was published just now."""
        self._sighting = _Sighting(load, self._clock.monotonic_s())

    def forget(self) -> None:
        """Drop the forecast, whose age is not known."""
        self._sighting = None

    def of_service(self, service: str) -> shedding.Load | None:
        """Return the forecast for a service, None without a valid one."""
        sighting = self._sighting
        if sighting is None or sighting.load.token != self._token:
            return None
        return shedding.Load(
            tuple(
                backlog.Level(
                    level.priority,
                    level.min_core_s,
                    level.wait_s,
                    level.late_wait_s,
                )
                for level in sighting.load.levels_by_service.get(service, ())
            ),
            self._clock.monotonic_s() - sighting.seen_s,
        )


def describe(job: model.Job, queue: queues.Queue | None) -> shedding.Job | None:
    """Return what a job needs, None if it is accepted whatever waits.

    Those are jobs that last until they are cancelled, that are repeated, that
    give no estimate of a step, or whose queue is not configured.
    """
    if queue is None or job.repeat_count:
        return None
    if any(step.lasting or step.estimate_s <= 0 for step in job.steps):
        return None
    chain_s = estimated_chain_s(job)
    return shedding.Job(
        priority=queue.priority,
        chain_s=chain_s,
        core_s=sum(
            step.count * step.estimate_s * cores(step) for step in job.steps
        ),
        objective_s=queue.slack_factor * chain_s + queue.target_s,
        spread=zlib.crc32(job.id.encode()) / MAX_CHECKSUM,
    )


def estimated_chain_s(job: model.Job) -> float:
    """Return the longest chain of estimated work of a job."""
    return objectives.chain_s(
        [
            objectives.StepTiming(step.estimate_s, step.after)
            for step in job.steps
        ]
    )


def cores(step: model.Step) -> float:
    """Return the cores that a task of a step reserves."""
    return step.reserved_room.processors_m / MILLICORES_PER_CORE
