"""Writes down in the job book what became of attempts."""

import dataclasses

from returns import result

from jackdawlatch.model import work
from jackdawlatch.placement import (
    attempts,
    decisions,
    endings,
    transitions,
)
from jackdawlatch.placement import book as books
from jackdawlatch.placement import workers as judgements
from jackdawlatch.placer import tools


class Finisher:
    """Moves jobs in the book, many in one write."""

    def __init__(self, own: tools.Tools) -> None:
        self._own = own

    async def finish(self) -> None:
        """Record starts that workers confirmed, and attempts that ended."""
        if not self._own.authority.leads():
            return
        steps: dict[str, books.Step] = {}
        now_s = self._own.clock.wall_s()
        for attempt in self._own.tracker.by_job.values():
            if _newly_running(attempt):
                steps[attempt.job.id] = _run(attempt.job.attempt, now_s)
        ended_by_id: dict[str, endings.Ended] = {}
        for attempt, end in self._own.tracker.endings(self._own.sites.dead()):
            judged = self._judged(attempt, end)
            ended_by_id[attempt.job.id] = judged
            steps[attempt.job.id] = _end(judged, now_s)
        await self._move(steps, ended_by_id)

    async def refuse(self, refusals: list[decisions.Refuse]) -> None:
        """Fail jobs that can never run."""
        now_s = self._own.clock.wall_s()
        await self._move(
            {one.job_id: _refuse(one.reason, now_s) for one in refusals}, {}
        )

    async def _move(
        self,
        steps: dict[str, books.Step],
        ended_by_id: dict[str, endings.Ended],
    ) -> None:
        if not steps or not self._own.authority.leads():
            return
        outcomes = await self._own.book.transition(steps)
        for job_id, outcome in outcomes.items():
            if isinstance(outcome, result.Success):
                self._moved(outcome.unwrap(), ended_by_id.get(job_id))
                continue
            failure = outcome.failure()
            if isinstance(failure, endings.Superseded):
                self._own.view.update(failure.job)

    def _judged(
        self, attempt: attempts.Attempt, end: endings.Ended
    ) -> endings.Ended:
        """Say who is to blame for a failure, and how long to wait."""
        if end.ending is not endings.Ending.FAILED:
            return end
        job = attempt.job
        now_s = self._own.clock.monotonic_s()
        self._own.health.failed(job.host, job, now_s)
        return dataclasses.replace(
            end,
            at_fault=self._own.health.at_fault(job),
            retry_s=judgements.retry_s(job.attempt),
        )

    def _moved(self, job: work.Job, end: endings.Ended | None) -> None:
        self._own.view.update(job)
        if end is None:
            self._note_state(job)
            return
        ending = end.ending.value
        self._own.note(f'attempt-{ending}', job, end.reason)
        if job.state is work.JobState.DONE:
            self._own.health.succeeded(job.host, job)
        if end.at_fault:
            self._own.health.blame(job.id)
        if job.state is not work.JobState.QUEUED:
            self._own.health.forget(job.id)
            self._note_state(job)

    def _note_state(self, job: work.Job) -> None:
        state = job.state.value
        self._own.note(f'job-{state}', job, job.reason)


def _newly_running(attempt: attempts.Attempt) -> bool:
    assigned = attempt.job.state is work.JobState.ASSIGNED
    return assigned and attempt.confirmed


def _run(attempt: int, now_s: float) -> books.Step:
    return lambda job: transitions.running(job, attempt, now_s)


def _end(end: endings.Ended, now_s: float) -> books.Step:
    return lambda job: transitions.ended(job, end, now_s)


def _refuse(reason: str, now_s: float) -> books.Step:
    return lambda job: transitions.refuse(job, reason, now_s)
