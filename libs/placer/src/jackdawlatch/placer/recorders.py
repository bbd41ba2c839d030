"""Records starts in the job book, before any worker is told of them."""

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
from jackdawlatch.placer import starters, tools


class Recorder:
    """Records starts by compare-and-swap and hands them to the starter."""

    def __init__(self, own: tools.Tools, starter: starters.Starter) -> None:
        self._own = own
        self._starter = starter

    async def start(self, starts: Sequence[decisions.Start]) -> None:
        """Record some starts, and tell the workers in the background."""
        if not starts or not self._own.authority.leads():
            return
        own = self._own
        await self._learn_boots(starts)
        if not own.authority.leads():
            return
        asked_s = own.clock.monotonic_s()
        asked_by_id = self._asked(starts)
        own.tracker.recording.update(asked_by_id)
        now_s = own.clock.wall_s()
        outcomes = await own.book.transition(
            {
                job_id: _step(asked, now_s)
                for job_id, asked in asked_by_id.items()
            }
        )
        own.tracker.recording.difference_update(asked_by_id)
        for job_id, outcome in outcomes.items():
            if isinstance(outcome, result.Success):
                self._recorded(outcome.unwrap(), asked_s)
            else:
                self._unrecorded(asked_by_id[job_id], outcome)

    def _asked(self, starts: Sequence[decisions.Start]) -> dict[str, work.Job]:
        """Return the jobs as they are to be recorded, by id."""
        now_s = self._own.clock.wall_s()
        lease_s = attempts.LEASE_S + attempts.MARGIN_S
        asked_by_id: dict[str, work.Job] = {}
        for start in starts:
            queued = self._own.view.queued_by_id.get(start.job_id)
            boot = self._own.sites.boot(start.host)
            if queued is None or not (boot or queued.idempotent):
                continue
            # A part of a second of its own tells records apart.
            end_s = now_s + lease_s + self._own.rng.random()
            asked = transitions.assign(queued, start.host, now_s, end_s, boot)
            if isinstance(asked, result.Success):
                asked_by_id[start.job_id] = asked.unwrap()
        return asked_by_id

    async def _learn_boots(self, starts: Iterable[decisions.Start]) -> None:
        """Ask workers of which life they are, where that is not known."""
        hosts = {start.host for start in starts}
        await asyncio.gather(
            *(
                self._own.usage(host)
                for host in sorted(hosts)
                if not self._own.sites.boot(host)
            )
        )

    def _recorded(self, job: work.Job, asked_s: float) -> None:
        self._own.view.update(job)
        attempt = self._own.tracker.own(job, asked_s)
        self._own.note('job-assigned', job)
        self._starter.send(attempt, asked_s)

    def _unrecorded(self, asked: work.Job, outcome: books.Outcome) -> None:
        failure = outcome.failure()
        if isinstance(failure, endings.Superseded):
            self._own.view.update(failure.job)
        else:
            # The record may be in the store, or get there late.
            self._own.tracker.doubt(asked)
        self._own.meters.count('placer_records_failed', code=failure.code)


def _step(asked: work.Job, now_s: float) -> books.Step:
    def assign(job: work.Job) -> books.Outcome:
        if job.attempt + 1 != asked.attempt:
            return result.Failure(
                endings.Superseded(message='another attempt', job=job)
            )
        return transitions.assign(
            job, asked.host, now_s, asked.not_before_s, asked.boot
        )

    return assign
