"""Health of workers, judged by the success of jobs and not by load.

A worker on which all jobs fail fast looks idle and would attract all jobs.
"""

import dataclasses
import enum
from collections.abc import Iterable

from jackdawlatch.model import work

FAILURES_TO_BAR = 3
FIRST_BAR_S = 10
MAX_BAR_S = 300
FAILURES_EXPIRE_S = 60
# Jobs of a kind that failed on this many workers, without a success anywhere,
# no longer count against the workers.
HOSTS_FOR_BAD_KIND = 3
# A job that failed on this many trusted workers is itself at fault.
HOSTS_FOR_BAD_JOB = 3
MAX_ATTEMPTS = 10
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 60


class Trust(enum.IntEnum):
    """Which jobs a worker may get."""

    BARRED = 0
    PROBING = 1
    UNPROVEN = 2
    PROVEN = 3


@dataclasses.dataclass
class Record:
    """Failures of one worker; times are seconds of the monotonic clock."""

    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    succeeded: bool = False
    bar_s: float = 0
    barred_until_s: float = 0


class Health:
    """Rates workers and jobs; its state may be lost at any time."""

    def __init__(self) -> None:
        self._records_by_host: dict[str, Record] = {}
        self._failing_hosts_by_kind: dict[work.Kind, set[str]] = {}
        self._failing_hosts_by_job: dict[str, set[str]] = {}

    def record_succeeded(self, host: str, job: work.Job) -> None:
        """Record that a worker finished a job."""
        self._records_by_host[host] = Record(succeeded=True)
        self._failing_hosts_by_kind.pop(job.kind, None)
        self._failing_hosts_by_job.pop(job.id, None)

    def record_failed(self, host: str, job: work.Job, now_s: float) -> None:
        """Record that a job failed on a worker."""
        self._failing_hosts_by_job.setdefault(job.id, set()).add(host)
        failing_hosts = self._failing_hosts_by_kind.setdefault(job.kind, set())
        failing_hosts.add(host)
        if len(failing_hosts) >= HOSTS_FOR_BAD_KIND:
            return
        record = self._records_by_host.setdefault(host, Record())
        record.failed_jobs.add(job.id)
        # Jobs started before the bar may still fail; they don't extend it.
        barred = now_s < record.barred_until_s
        if len(record.failed_jobs) >= FAILURES_TO_BAR and not barred:
            record.succeeded = False
            record.bar_s = min(MAX_BAR_S, max(FIRST_BAR_S, record.bar_s * 2))
            record.barred_until_s = now_s + record.bar_s

    def at_fault(self, job: work.Job) -> bool:
        """Whether the failures of a job are its own fault.

        Failures on workers that are now suspect do not count, but no job is
        started more than ``MAX_ATTEMPTS`` times after failures.
        """
        hosts = self._failing_hosts_by_job.get(job.id, set())
        trusted = [host for host in hosts if not self._is_suspect(host)]
        failed_widely = len(trusted) >= HOSTS_FOR_BAD_JOB
        return failed_widely or job.attempt >= MAX_ATTEMPTS

    def clear_failures(self, job_id: str) -> None:
        """Remove a faulty job from the failures of its workers."""
        for host in self._failing_hosts_by_job.pop(job_id, ()):
            record = self._records_by_host.get(host)
            if record:
                record.failed_jobs.discard(job_id)

    def forget_job(self, job_id: str) -> None:
        """Drop the failing hosts of a job that has ended."""
        self._failing_hosts_by_job.pop(job_id, None)

    def failing_hosts(self, job_id: str) -> frozenset[str]:
        """Return the workers on which a job failed."""
        return frozenset(self._failing_hosts_by_job.get(job_id, ()))

    def trusts(
        self,
        pool_hosts: Iterable[str],
        max_barred_fraction: float,
        now_s: float,
    ) -> dict[str, Trust]:
        """Return the trust in each host of a pool.

        At most the fraction ``max_barred_fraction`` of the pool is barred, so
        that failures with a common cause never close a pool; the other hosts
        that should be barred are probed.
        """
        trusts_by_host = {host: self._trust(host, now_s) for host in pool_hosts}
        barred = sorted(
            (host for host, trust in trusts_by_host.items() if not trust),
            key=lambda host: -self._records_by_host[host].barred_until_s,
        )
        allowed = int(len(trusts_by_host) * max_barred_fraction)
        for host in barred[allowed:]:
            trusts_by_host[host] = Trust.PROBING
        return trusts_by_host

    def _trust(self, host: str, now_s: float) -> Trust:
        record = self._records_by_host.get(host)
        if record is None:
            return Trust.UNPROVEN
        if record.barred_until_s > now_s:
            return Trust.BARRED
        if 0 < record.barred_until_s < now_s - FAILURES_EXPIRE_S:
            # No job suited for a probe came in this time.
            record.failed_jobs.clear()
        if self._is_suspect(host):
            return Trust.PROBING
        return Trust.PROVEN if record.succeeded else Trust.UNPROVEN

    def _is_suspect(self, host: str) -> bool:
        record = self._records_by_host.get(host)
        return bool(record and len(record.failed_jobs) >= FAILURES_TO_BAR)


def retry_s(attempt: int) -> float:
    """Return the seconds that a job waits after its failed n-th attempt."""
    return float(min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(attempt, 10)))
