"""Keeps tasks alive, and learns from their workers what became of them."""

import asyncio
import types
from collections.abc import Iterable

from returns import result

from jackdawlatch.backends import tasks
from jackdawlatch.model import hosts
from jackdawlatch.placement import attempts, endings
from jackdawlatch.placer import tools

ENDINGS_BY_STATE = types.MappingProxyType(
    {
        tasks.TaskState.DONE: endings.Ending.DONE,
        tasks.TaskState.FAILED: endings.Ending.FAILED,
        tasks.TaskState.STOPPED: endings.Ending.STOPPED,
        tasks.TaskState.EXPIRED: endings.Ending.EXPIRED,
        tasks.TaskState.CHECKPOINTED: endings.Ending.CHECKPOINTED,
    }
)


class Keeper:
    """Renews leases in bulk, one call a worker, and reads usage."""

    def __init__(self, own: tools.Tools) -> None:
        self._own = own

    async def renew(self) -> None:
        """Renew the leases of all tasks that have not ended."""
        now_s = self._own.clock.monotonic_s()
        await asyncio.gather(
            *(
                self._renew_host(
                    host,
                    [one for one in group if attempts.renewable(one, now_s)],
                )
                for host, group in self._open_by_host().items()
            )
        )

    async def read_usage(self) -> None:
        """Read the usage of every worker that has tasks."""
        await asyncio.gather(
            *(
                self._read_host(host, group)
                for host, group in self._open_by_host().items()
            )
        )

    def _open_by_host(self) -> dict[str, list[attempts.Attempt]]:
        return {
            host: [one for one in group if one.end is None]
            for host, group in self._own.tracker.by_host().items()
        }

    async def _renew_host(
        self, host: str, group: list[attempts.Attempt]
    ) -> None:
        if not group or not self._own.authority.may_renew():
            return
        _sent(group, self._own.clock.monotonic_s())
        renewed = await self._own.workers.renew(
            self._own.sites.address(host),
            tuple(attempt.task_id for attempt in group),
            attempts.LEASE_S,
        )
        now_s = self._own.clock.monotonic_s()
        if isinstance(renewed, result.Failure):
            self._own.meters.count('placer_renewals_failed')
            _sent(group, now_s)
            return
        missing = frozenset(renewed.unwrap())
        for attempt in group:
            _renewed(attempt, attempt.task_id in missing, now_s)

    async def _read_host(
        self, host: str, group: list[attempts.Attempt]
    ) -> None:
        if not group:
            return
        asked_s = self._own.clock.monotonic_s()
        usage = await self._own.usage(host)
        if usage is None:
            return
        for attempt in group:
            attempt.listed_s = asked_s
        self._listed(group, usage.tasks)

    def _listed(
        self,
        group: Iterable[attempts.Attempt],
        reports: Iterable[tasks.TaskReport],
    ) -> None:
        attempts_by_task = {attempt.task_id: attempt for attempt in group}
        for report in reports:
            attempt = attempts_by_task.get(report.id)
            if attempt is None:
                continue
            if report.state is tasks.TaskState.RUNNING:
                self._running(attempt, report)
            else:
                attempt.confirmed = True
                attempt.end = _ended(attempt, report)

    def _running(
        self, attempt: attempts.Attempt, report: tasks.TaskReport
    ) -> None:
        reading = hosts.Capacity(
            processors=report.processors, memory_mb=report.memory_mb
        )
        now_s = self._own.clock.monotonic_s()
        if attempt.peak is None and attempt.fraction == 1:
            self._own.tracker.estimator.learn(attempt.job, reading)
        attempts.observe(attempt, reading, now_s)


def _sent(group: Iterable[attempts.Attempt], now_s: float) -> None:
    # A renewal that is not answered may arrive all the same.
    for attempt in group:
        attempt.sent_s = now_s


def _renewed(attempt: attempts.Attempt, missing: bool, now_s: float) -> None:
    if missing:
        attempts.miss(attempt, now_s)
    else:
        attempts.confirm(attempt, now_s)
        attempt.sent_s = now_s


def _ended(
    attempt: attempts.Attempt, report: tasks.TaskReport
) -> endings.Ended:
    return endings.Ended(
        attempt=attempt.job.attempt,
        ending=ENDINGS_BY_STATE[report.state],
        reason=report.reason,
        checkpoint=report.checkpoint,
    )
