"""The attempts that the leader tracks in one term."""

import collections
from collections.abc import Iterator, Mapping

from jackdawlatch.model import clocks, work
from jackdawlatch.placement import attempt_rules, attempts, endings, usage

CLAIM_S = 5
MAX_UNSENT = 1000


class Tracker:
    """Tracks attempts and their state."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.estimator = usage.Estimator()
        self.by_job: dict[str, attempts.Attempt] = {}
        # The watch may deliver a record before its write has returned.
        self.recording: set[str] = set()
        self._clock = clock
        self._claims_by_job: dict[str, tuple[str, float]] = {}
        self._unsent_by_job: dict[str, work.Job] = {}

    def clear(self) -> None:
        """Drop all attempts, at the start or the end of a term."""
        self.by_job.clear()
        self._claims_by_job.clear()

    def add(self, job: work.Job, recorded_s: float) -> attempts.Attempt:
        """Track an attempt that this process has just recorded."""
        attempt = attempts.Attempt(job, attempts.Origin.OWN, recorded_s)
        self.by_job[job.id] = attempt
        self._claims_by_job.pop(job.id, None)
        return attempt

    def remember_unsent(self, assigned: work.Job) -> None:
        """Remember a record that may have been written but was not sent.

        It is kept across terms, whichever process leads.
        """
        self._unsent_by_job[assigned.id] = assigned
        if len(self._unsent_by_job) > MAX_UNSENT:
            self._unsent_by_job.pop(next(iter(self._unsent_by_job)))

    def synchronize(self, live_by_id: Mapping[str, work.Job]) -> None:
        """Track exactly the attempts of the given live jobs."""
        for job_id in self.by_job.keys() - live_by_id.keys():
            self.by_job.pop(job_id)
        for job_id, job in live_by_id.items():
            known = self.by_job.get(job_id)
            if known and known.job.attempt == job.attempt:
                known.job = job
            elif job_id not in self.recording:
                self.by_job[job_id] = self._inherit(job)

    def by_host(self) -> dict[str, list[attempts.Attempt]]:
        """Return the attempts by the host that they are assigned to."""
        grouped: dict[str, list[attempts.Attempt]] = collections.defaultdict(
            list
        )
        for attempt in self.by_job.values():
            grouped[attempt.job.host].append(attempt)
        return grouped

    def endings(
        self, dead_hosts: frozenset[str]
    ) -> Iterator[tuple[attempts.Attempt, endings.AttemptEnd]]:
        """Return the attempts that have certainly ended."""
        now_s = self._clock.monotonic_s()
        for attempt in self.by_job.values():
            end = attempt_rules.determine_end(
                attempt, now_s, attempt.job.host in dead_hosts
            )
            if end:
                # From now on its lease is not renewed.
                attempt.end = end
                yield attempt, end

    def claim(self, job_id: str, host: str) -> None:
        """Hold capacity on a host for a job for ``CLAIM_S`` seconds."""
        until_s = self._clock.monotonic_s() + CLAIM_S
        self._claims_by_job[job_id] = (host, until_s)

    def claims_by_job(self) -> dict[str, str]:
        """Return the claims that are still valid: host by job."""
        now_s = self._clock.monotonic_s()
        self._claims_by_job = {
            job_id: claim
            for job_id, claim in self._claims_by_job.items()
            if claim[1] > now_s
        }
        return {
            job_id: host for job_id, (host, _) in self._claims_by_job.items()
        }

    def _inherit(self, job: work.Job) -> attempts.Attempt:
        now_s = self._clock.monotonic_s()
        attempt = attempts.Attempt(job, attempts.Origin.INHERITED, now_s)
        if self._is_unsent(job):
            attempt.end = endings.AttemptEnd(
                attempt=job.attempt,
                ending=endings.Ending.NEVER_STARTED,
                reason='its record was confirmed too late',
            )
        return attempt

    def _is_unsent(self, job: work.Job) -> bool:
        """Whether this process recorded the attempt but never sent it.

        No other process starts an inherited job that is not idempotent.  The
        end of the lease, unique for each record, identifies the record.
        """
        assigned = self._unsent_by_job.get(job.id)
        if assigned is None or job.idempotent:
            return False
        same = (assigned.host, assigned.attempt) == (job.host, job.attempt)
        return same and assigned.not_before_s == job.not_before_s
