"""Which workers can be trusted with jobs, judged by success and not by load.

A worker that fails everything fast looks idle and would attract all work.
"""

import dataclasses
import enum
from collections.abc import Iterable

from jackdawlatch.model import work

FAILURES_TO_BAR = 3
FIRST_BAR_S = 10
LONGEST_BAR_S = 300
FORGIVE_S = 60
# A kind that fails on so many workers, and nowhere succeeds, is itself bad.
HOSTS_TO_BLAME_KIND = 3
HOSTS_TO_BLAME_JOB = 3
MAX_ATTEMPTS = 10
FIRST_RETRY_S = 0.5
LONGEST_RETRY_S = 60


class Trust(enum.IntEnum):
    """What may be given to a worker."""

    BARRED = 0
    PROBING = 1
    UNPROVEN = 2
    PROVEN = 3


@dataclasses.dataclass
class Record:
    """What is known of one worker, in seconds of the monotonic clock."""

    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    succeeded: bool = False
    bar_s: float = 0
    barred_until_s: float = 0


class Health:
    """Judges workers and jobs; its memory may be lost at any time."""

    def __init__(self) -> None:
        self._records_by_host: dict[str, Record] = {}
        self._failing_hosts_by_kind: dict[work.Kind, set[str]] = {}
        self._failing_hosts_by_job: dict[str, set[str]] = {}

    def succeeded(self, host: str, job: work.Job) -> None:
        """Take note that a worker finished a job."""
        self._records_by_host[host] = Record(succeeded=True)
        self._failing_hosts_by_kind.pop(job.kind, None)
        self._failing_hosts_by_job.pop(job.id, None)

    def failed(self, host: str, job: work.Job, now_s: float) -> None:
        """Take note that a job failed on a worker."""
        self._failing_hosts_by_job.setdefault(job.id, set()).add(host)
        blamed = self._failing_hosts_by_kind.setdefault(job.kind, set())
        blamed.add(host)
        if len(blamed) >= HOSTS_TO_BLAME_KIND:
            return
        record = self._records_by_host.setdefault(host, Record())
        record.failed_jobs.add(job.id)
        # What had been started before the bar says nothing new.
        barred = now_s < record.barred_until_s
        if len(record.failed_jobs) >= FAILURES_TO_BAR and not barred:
            record.succeeded = False
            record.bar_s = min(
                LONGEST_BAR_S, max(FIRST_BAR_S, record.bar_s * 2)
            )
            record.barred_until_s = now_s + record.bar_s

    def at_fault(self, job: work.Job) -> bool:
        """Whether a job that failed is itself to blame.

        Failures on workers that are suspect by now do not count, but no job
        is started more than ``MAX_ATTEMPTS`` times after a failure.
        """
        hosts = self._failing_hosts_by_job.get(job.id, set())
        sound = [host for host in hosts if not self._suspect(host)]
        many = len(sound) >= HOSTS_TO_BLAME_JOB
        return many or job.attempt >= MAX_ATTEMPTS

    def blame(self, job_id: str) -> None:
        """Clear the workers on which a job failed that was at fault."""
        for host in self._failing_hosts_by_job.pop(job_id, ()):
            record = self._records_by_host.get(host)
            if record:
                record.failed_jobs.discard(job_id)

    def forget(self, job_id: str) -> None:
        """Forget where a job failed that has ended."""
        self._failing_hosts_by_job.pop(job_id, None)

    def failing_hosts(self, job_id: str) -> frozenset[str]:
        """Return the workers on which a job failed."""
        return frozenset(self._failing_hosts_by_job.get(job_id, ()))

    def trusts(
        self, pool: Iterable[str], cap: float, now_s: float
    ) -> dict[str, Trust]:
        """Return the trust in each host of a pool.

        At most the fraction ``cap`` of the pool is barred, so that failures
        with a common cause never shut a pool; the others are probed.
        """
        trusts_by_host = {host: self._trust(host, now_s) for host in pool}
        barred = sorted(
            (host for host, trust in trusts_by_host.items() if not trust),
            key=lambda host: -self._records_by_host[host].barred_until_s,
        )
        allowed = int(len(trusts_by_host) * cap)
        for host in barred[allowed:]:
            trusts_by_host[host] = Trust.PROBING
        return trusts_by_host

    def _trust(self, host: str, now_s: float) -> Trust:
        record = self._records_by_host.get(host)
        if record is None:
            return Trust.UNPROVEN
        if record.barred_until_s > now_s:
            return Trust.BARRED
        if 0 < record.barred_until_s < now_s - FORGIVE_S:
            # Nothing came by to probe it with.
            record.failed_jobs.clear()
        if self._suspect(host):
            return Trust.PROBING
        return Trust.PROVEN if record.succeeded else Trust.UNPROVEN

    def _suspect(self, host: str) -> bool:
        record = self._records_by_host.get(host)
        return bool(record and len(record.failed_jobs) >= FAILURES_TO_BAR)


def retry_s(attempt: int) -> float:
    """Return how long a job waits after a failure."""
    return float(min(LONGEST_RETRY_S, FIRST_RETRY_S * 2 ** min(attempt, 10)))
