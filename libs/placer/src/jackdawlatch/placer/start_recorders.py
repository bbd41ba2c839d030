"""Records starts in the job registry, before any worker is called."""

import asyncio
from collections.abc import Iterable, Sequence

from returns import result

from jackdawlatch.model import work
from jackdawlatch.placement import (
    attempts,
    decisions,
    endings,
    transitions,
)
from jackdawlatch.placement import book as books
from jackdawlatch.placer import shared, starters


class StartRecorder:
    """Records starts by compare-and-swap and passes them to the starter."""

    def __init__(
        self, context: shared.Context, starter: starters.Starter
    ) -> None:
        self._context = context
        self._starter = starter

    async def start(self, starts: Sequence[decisions.Start]) -> None:
        """Record starts, then call the workers in the background."""
        if not starts or not self._context.authority.leads():
            return
        context = self._context
        await self._read_missing_boots(starts)
        if not context.authority.leads():
            return
        record_requested_s = context.clock.monotonic_s()
        assigned_by_id = self._assigned_jobs(starts)
        context.tracker.recording.update(assigned_by_id)
        now_s = context.clock.wall_s()
        outcomes = await context.job_registry.transition(
            {
                job_id: _step(assigned, now_s)
                for job_id, assigned in assigned_by_id.items()
            }
        )
        context.tracker.recording.difference_update(assigned_by_id)
        for job_id, outcome in outcomes.items():
            if isinstance(outcome, result.Success):
                self._send_recorded(outcome.unwrap(), record_requested_s)
            else:
                self._handle_failed_record(assigned_by_id[job_id], outcome)

    def _assigned_jobs(
        self, starts: Sequence[decisions.Start]
    ) -> dict[str, work.Job]:
        """Return the assigned jobs to record, by id."""
        now_s = self._context.clock.wall_s()
        lease_s = attempts.LEASE_S + attempts.LEASE_MARGIN_S
        assigned_by_id: dict[str, work.Job] = {}
        for start in starts:
            queued = self._context.view.queued_by_id.get(start.job_id)
            boot = self._context.host_status.boot(start.host)
            if queued is None or not (boot or queued.idempotent):
                continue
            # The random fraction of a second makes each record unique.
            end_s = now_s + lease_s + self._context.rng.random()
            assigned = transitions.assign(
                queued, start.host, now_s, end_s, boot
            )
            if isinstance(assigned, result.Success):
                assigned_by_id[start.job_id] = assigned.unwrap()
        return assigned_by_id

    async def _read_missing_boots(
        self, starts: Iterable[decisions.Start]
    ) -> None:
        """Read the boot ids of workers where they are not known."""
        hosts = {start.host for start in starts}
        await asyncio.gather(
            *(
                self._context.usage(host)
                for host in sorted(hosts)
                if not self._context.host_status.boot(host)
            )
        )

    def _send_recorded(self, job: work.Job, record_requested_s: float) -> None:
        self._context.view.update(job)
        attempt = self._context.tracker.add(job, record_requested_s)
        self._context.note('job-assigned', job)
        self._starter.send(attempt, record_requested_s)

    def _handle_failed_record(
        self, assigned: work.Job, outcome: books.Outcome
    ) -> None:
        failure = outcome.failure()
        if isinstance(failure, endings.Superseded):
            self._context.view.update(failure.job)
        else:
            # The record may be in the store, or be written later.
            self._context.tracker.remember_unsent(assigned)
        self._context.meters.count('placer_records_failed', code=failure.code)


def _step(assigned: work.Job, now_s: float) -> books.Step:
    def assign(job: work.Job) -> books.Outcome:
        if job.attempt + 1 != assigned.attempt:
            return result.Failure(
                endings.Superseded(
                    message='the job is at another attempt', job=job
                )
            )
        return transitions.assign(
            job, assigned.host, now_s, assigned.not_before_s, assigned.boot
        )

    return assign
