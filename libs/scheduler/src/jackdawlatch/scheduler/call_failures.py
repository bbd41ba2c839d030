"""Draws conclusions about a worker from requests that failed."""

import asyncio
import dataclasses
import types

from absl import logging

from jackdawlatch.model import clocks
from jackdawlatch.scheduler import calls, fences, worker_registry, workers

# How long a worker that refused a start gets no other one.
REFUSED_PENALTY_S = 0.3
UNHEALTHY_PENALTY_S = 1.5

PENALTIES_S_BY_REASON = types.MappingProxyType(
    {
        calls.Refusal.NO_ROOM: REFUSED_PENALTY_S,
        calls.Refusal.UNHEALTHY: UNHEALTHY_PENALTY_S,
        calls.Refusal.OTHER_BOOT: UNHEALTHY_PENALTY_S,
        calls.Refusal.INVALID: UNHEALTHY_PENALTY_S,
    }
)


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Collaborators of the failures.

    ``longest_lease_s`` is the longest lease that a request can give.  ``deposed``
    is set once another leader is found.
    """

    clock: clocks.Clock
    registry: worker_registry.WorkerRegistry
    fences: fences.Fences
    longest_lease_s: float
    deposed: asyncio.Event


class CallFailures:
    """Suspends workers that refuse requests, and notices lost ones."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies

    def record(
        self, worker: workers.Worker, failure: calls.CallFailure, token: int
    ) -> None:
        """Record that a request with a fencing token failed."""
        if not isinstance(failure, calls.Refused):
            self._lose(worker, failure.line())
            return
        if failure.reason is calls.Refusal.FENCED:
            # Otherwise a later request of this leader has overtaken it.
            if token == self._dependencies.fences.token(worker):
                self._dependencies.deposed.set()
        if failure.reason is calls.Refusal.OTHER_BOOT:
            # The address has passed to another worker.
            self._dependencies.registry.end(worker)
        penalty_s = PENALTIES_S_BY_REASON.get(failure.reason, 0)
        worker.health.suspend(
            self._dependencies.clock.monotonic_s() + penalty_s
        )

    def record_other_boot(self, worker: workers.Worker) -> None:
        """Record that a later boot may have answered a request."""
        self._lose(worker, 'an answer does not fit its clock')
        worker.lease.expect_late_requests(
            self._dependencies.longest_lease_s,
            self._dependencies.clock.monotonic_s(),
        )

    def _lose(self, worker: workers.Worker, reason: str) -> None:
        if worker.reachable:
            logging.info(
                'worker %s is unreachable: %s', worker.entry.id, reason
            )
            worker.health.lost_s = self._dependencies.clock.monotonic_s()
            # A later boot may answer next.
            self._dependencies.fences.expire(worker)
        worker.reachable = False
        worker.health.silent = True
