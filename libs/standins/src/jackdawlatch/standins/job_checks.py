"""Checks the acknowledged jobs of a soak."""

import collections
from collections.abc import Iterator, Mapping

from jackdawlatch.model import work
from jackdawlatch.standins import (
    executions,
    job_steps,
    oracle,
    outages,
    testbed,
)

FINAL_STATES = frozenset(
    (
        work.JobState.DONE,
        work.JobState.FAILED,
        work.JobState.CANCELLED,
        work.JobState.LOST,
    )
)
UNSEEN = 'unseen'
# A worker reports an end 1 s late, and its reports are read each 0.5 s.  Until
# then only the worker knows the end, and loses it in a restart.
MAX_UNREPORTED_S = 1.5


class JobChecks:
    """Polls each job until its state is final, and counts its starts."""

    def __init__(
        self,
        bed: testbed.Testbed,
        submissions_by_job: Mapping[str, job_steps.Submission],
        outage_log: outages.OutageLog,
    ) -> None:
        self._outage_log = outage_log
        self._bed = bed
        self._submissions_by_job = submissions_by_job
        self._states_by_job: dict[str, str] = {}

    async def are_final(self) -> bool:
        """Poll the jobs that were not final; return whether all are final."""
        for job in self._submissions_by_job:
            if self._states_by_job.get(job) not in FINAL_STATES:
                found = await job_steps.read_job(self._bed, job)
                self._states_by_job[job] = found.state if found else UNSEEN
        return set(self._states_by_job.values()) <= FINAL_STATES

    def counts(self) -> collections.Counter[str]:
        """Return how many jobs are in each state."""
        return collections.Counter(self._states_by_job.values())

    def violations(self) -> Iterator[oracle.Violation]:
        """Yield each job that is not done, or was started more than once."""
        starts_by_job: dict[str, list[executions.Execution]] = {}
        for start in oracle.read_task_executions(self._bed.directory):
            job = start.id.partition(':')[0]
            starts_by_job.setdefault(job, []).append(start)
        for job, submission in self._submissions_by_job.items():
            starts = starts_by_job.get(job, [])
            yield from self._check_job(job, submission, starts)

    def _check_job(
        self,
        job: str,
        submission: job_steps.Submission,
        starts: list[executions.Execution],
    ) -> Iterator[oracle.Violation]:
        state = self._states_by_job.get(job, UNSEEN)
        lost = state == work.JobState.LOST and not submission.idempotent
        if state != work.JobState.DONE and not (
            lost and self._rack_was_lost(starts)
        ):
            yield oracle.Violation('a job is not done', job, state)
        if state == work.JobState.DONE and not starts:
            yield oracle.Violation('a job is done but was never started', job)
        if len(starts) > 1 and not submission.idempotent:
            detail = f'{len(starts)} times'
            yield oracle.Violation(
                'a job was started more than once', job, detail
            )

    def _rack_was_lost(self, starts: list[executions.Execution]) -> bool:
        """Return whether a rack went down before a start's end was reported."""
        racks_by_host = {
            host.id: host.rack for host in self._bed.deployment.hosts.hosts
        }
        return any(
            self._outage_log.overlaps(
                racks_by_host[start.host],
                start.start_s,
                start.end_s + MAX_UNREPORTED_S if start.end_s else float('inf'),
            )
            for start in starts
        )
