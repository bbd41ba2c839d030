"""Records confirmed starts and ended attempts in the job registry."""

import dataclasses

from returns import result

from jackdawlatch.model import work
from jackdawlatch.placement import (
    attempts,
    decisions,
    endings,
    transitions,
    worker_health,
)
from jackdawlatch.placement import book as books
from jackdawlatch.placer import shared


class OutcomeRecorder:
    """Updates jobs in the registry, many in one write."""

    def __init__(self, context: shared.Context) -> None:
        self._context = context

    async def record(self) -> None:
        """Record starts that workers confirmed, and attempts that ended."""
        if not self._context.authority.leads():
            return
        steps: dict[str, books.Step] = {}
        now_s = self._context.clock.wall_s()
        for attempt in self._context.tracker.by_job.values():
            if _newly_running(attempt):
                steps[attempt.job.id] = _run(attempt.job.attempt, now_s)
        ended_by_id: dict[str, endings.AttemptEnd] = {}
        for attempt, end in self._context.tracker.endings(
            self._context.host_status.dead_hosts()
        ):
            end_with_fault = self._with_fault(attempt, end)
            ended_by_id[attempt.job.id] = end_with_fault
            steps[attempt.job.id] = _end(end_with_fault, now_s)
        await self._transition(steps, ended_by_id)

    async def refuse(self, refusals: list[decisions.Refuse]) -> None:
        """Fail jobs that can never run."""
        now_s = self._context.clock.wall_s()
        await self._transition(
            {one.job_id: _refuse(one.reason, now_s) for one in refusals}, {}
        )

    async def _transition(
        self,
        steps: dict[str, books.Step],
        ended_by_id: dict[str, endings.AttemptEnd],
    ) -> None:
        if not steps or not self._context.authority.leads():
            return
        outcomes = await self._context.job_registry.transition(steps)
        for job_id, outcome in outcomes.items():
            if isinstance(outcome, result.Success):
                self._apply(outcome.unwrap(), ended_by_id.get(job_id))
                continue
            failure = outcome.failure()
            if isinstance(failure, endings.Superseded):
                self._context.view.update(failure.job)

    def _with_fault(
        self, attempt: attempts.Attempt, end: endings.AttemptEnd
    ) -> endings.AttemptEnd:
        """Add to a failure whether the job is at fault, and the retry delay."""
        if end.ending is not endings.Ending.FAILED:
            return end
        job = attempt.job
        now_s = self._context.clock.monotonic_s()
        self._context.health.record_failed(job.host, job, now_s)
        return dataclasses.replace(
            end,
            at_fault=self._context.health.at_fault(job),
            retry_s=worker_health.retry_s(job.attempt),
        )

    def _apply(self, job: work.Job, end: endings.AttemptEnd | None) -> None:
        self._context.view.update(job)
        if end is None:
            self._note_state(job)
            return
        ending = end.ending.value
        self._context.note(f'attempt-{ending}', job, end.reason)
        if job.state is work.JobState.DONE:
            self._context.health.record_succeeded(job.host, job)
        if end.at_fault:
            self._context.health.clear_failures(job.id)
        if job.state is not work.JobState.QUEUED:
            self._context.health.forget_job(job.id)
            self._note_state(job)

    def _note_state(self, job: work.Job) -> None:
        state = job.state.value
        self._context.note(f'job-{state}', job, job.reason)


def _newly_running(attempt: attempts.Attempt) -> bool:
    assigned = attempt.job.state is work.JobState.ASSIGNED
    return assigned and attempt.confirmed


def _run(attempt: int, now_s: float) -> books.Step:
    return lambda job: transitions.running(job, attempt, now_s)


def _end(end: endings.AttemptEnd, now_s: float) -> books.Step:
    return lambda job: transitions.ended(job, end, now_s)


def _refuse(reason: str, now_s: float) -> books.Step:
    return lambda job: transitions.refuse(job, reason, now_s)
