"""Renews the leases of tasks and reads their state from the workers."""

import asyncio
import types
from collections.abc import Iterable

from returns import result

from jackdawlatch.backends import tasks
from jackdawlatch.model import hosts
from jackdawlatch.placement import attempts, endings
from jackdawlatch.placer import shared

ENDINGS_BY_STATE = types.MappingProxyType(
    {
        tasks.TaskState.DONE: endings.Ending.DONE,
        tasks.TaskState.FAILED: endings.Ending.FAILED,
        tasks.TaskState.STOPPED: endings.Ending.STOPPED,
        tasks.TaskState.EXPIRED: endings.Ending.EXPIRED,
        tasks.TaskState.CHECKPOINTED: endings.Ending.CHECKPOINTED,
    }
)


class LeaseManager:
    """Renews leases and reads usage, with one call to each worker."""

    def __init__(self, context: shared.Context) -> None:
        self._context = context

    async def renew(self) -> None:
        """Renew the leases of all tasks that have not ended."""
        now_s = self._context.clock.monotonic_s()
        await asyncio.gather(
            *(
                self._renew_host(
                    host,
                    [one for one in group if attempts.should_renew(one, now_s)],
                )
                for host, group in self._running_by_host().items()
            )
        )

    async def read_usage(self) -> None:
        """Read the usage of every worker that has tasks."""
        await asyncio.gather(
            *(
                self._read_host(host, group)
                for host, group in self._running_by_host().items()
            )
        )

    def _running_by_host(self) -> dict[str, list[attempts.Attempt]]:
        return {
            host: [one for one in group if one.end is None]
            for host, group in self._context.tracker.by_host().items()
        }

    async def _renew_host(
        self, host: str, group: list[attempts.Attempt]
    ) -> None:
        if not group or not self._context.authority.may_renew():
            return
        _record_renewal_sent(group, self._context.clock.monotonic_s())
        renewal = await self._context.workers.renew(
            self._context.host_status.address(host),
            tuple(attempt.task_id for attempt in group),
            attempts.LEASE_S,
        )
        now_s = self._context.clock.monotonic_s()
        if isinstance(renewal, result.Failure):
            self._context.meters.count('placer_renewals_failed')
            _record_renewal_sent(group, now_s)
            return
        missing = frozenset(renewal.unwrap())
        for attempt in group:
            _record_renewal(attempt, attempt.task_id in missing, now_s)

    async def _read_host(
        self, host: str, group: list[attempts.Attempt]
    ) -> None:
        if not group:
            return
        requested_s = self._context.clock.monotonic_s()
        usage = await self._context.usage(host)
        if usage is None:
            return
        for attempt in group:
            attempt.usage_read_s = requested_s
        self._apply_reports(group, usage.tasks)

    def _apply_reports(
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
                self._record_running(attempt, report)
            else:
                attempt.confirmed = True
                attempt.end = _end_of(attempt, report)

    def _record_running(
        self, attempt: attempts.Attempt, report: tasks.TaskReport
    ) -> None:
        reading = hosts.Capacity(
            processors=report.processors, memory_mb=report.memory_mb
        )
        now_s = self._context.clock.monotonic_s()
        if attempt.peak is None and attempt.fraction == 1:
            self._context.tracker.estimator.learn(attempt.job, reading)
        attempts.record_usage(attempt, reading, now_s)


def _record_renewal_sent(
    group: Iterable[attempts.Attempt], now_s: float
) -> None:
    # An unanswered renewal may still arrive.
    for attempt in group:
        attempt.lease_sent_s = now_s


def _record_renewal(
    attempt: attempts.Attempt, missing: bool, now_s: float
) -> None:
    if missing:
        attempts.record_missing(attempt, now_s)
    else:
        attempts.record_confirmation(attempt, now_s)
        attempt.lease_sent_s = now_s


def _end_of(
    attempt: attempts.Attempt, report: tasks.TaskReport
) -> endings.AttemptEnd:
    return endings.AttemptEnd(
        attempt=attempt.job.attempt,
        ending=ENDINGS_BY_STATE[report.state],
        reason=report.reason,
        checkpoint=report.checkpoint,
    )
