"""Health of runners by their recent success, with bounded ejection."""

import dataclasses
from collections.abc import Iterable

SAMPLE_WEIGHT = 0.1
EJECT_BELOW = 0.5
READMITTED_SUCCESS = 0.75
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0
PROBE_TIMEOUT_S = 30.0


@dataclasses.dataclass
class Record:
    """What is known of one runner.

    An ejected runner is probed by one request at a time, not before
    ``probe_at_s``; a probe that fails doubles ``ejection_s``.  Only requests
    sent at ``judged_s`` or later judge it.
    """

    success: float = 1
    ejected: bool = False
    ejection_s: float = 0
    probe_at_s: float = 0
    judged_s: float = 0


class Health:
    """Ejects runners that fail, never more of a pool than the cap."""

    def __init__(self, cap: float) -> None:
        self.cap = cap
        self._records_by_host: dict[str, Record] = {}

    @property
    def ejected(self) -> frozenset[str]:
        """The hosts that are out for failing."""
        return frozenset(
            host
            for host, record in self._records_by_host.items()
            if record.ejected
        )

    @property
    def ejection_limit(self) -> int:
        """How many hosts may be out at once; one always stays."""
        hosts = len(self._records_by_host)
        most = min(int(self.cap * hosts), hosts - 1)
        return max(0, most)

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Say which hosts the pool has; new ones start healthy."""
        known_by_host = self._records_by_host
        self._records_by_host = {
            host: known_by_host.get(host, Record()) for host in hosts
        }
        self._readmit_beyond_limit()

    def success(self, host: str) -> float:
        """Return the recent success rate of a host, from 0 to 1."""
        record = self._records_by_host.get(host)
        return record.success if record else 1

    def usable(self, host: str) -> bool:
        """Return whether a host takes its part of the work."""
        record = self._records_by_host.get(host)
        return record is not None and not record.ejected

    def due(self, now_s: float) -> list[str]:
        """Return the ejected hosts that may be probed by one request now."""
        return [
            host
            for host, record in self._records_by_host.items()
            if record.ejected and record.probe_at_s <= now_s
        ]

    def probing(self, host: str, now_s: float) -> None:
        """Take note that a probe was sent to an ejected host."""
        # A probe whose outcome gets lost does not keep the host out forever.
        record = self._records_by_host[host]
        record.probe_at_s = now_s + PROBE_TIMEOUT_S
        record.judged_s = now_s

    def record(
        self, host: str, succeeded: bool, sent_s: float, now_s: float
    ) -> None:
        """Take note of the outcome of a request that was sent at ``sent_s``.

        What was under way when a runner was ejected is not its probe.
        """
        record = self._records_by_host.get(host)
        if record is None or sent_s < record.judged_s:
            return
        record.success += SAMPLE_WEIGHT * (succeeded - record.success)
        if record.ejected:
            self._judge_probe(record, succeeded, now_s)
        elif (
            record.success < EJECT_BELOW
            and len(self.ejected) < self.ejection_limit
        ):
            self._eject(record, now_s)

    def _judge_probe(
        self, record: Record, succeeded: bool, now_s: float
    ) -> None:
        if succeeded:
            record.ejected = False
            record.success = READMITTED_SUCCESS
        else:
            self._eject(record, now_s)

    def _eject(self, record: Record, now_s: float) -> None:
        record.ejected = True
        record.ejection_s = min(
            MAX_EJECTION_S, max(FIRST_EJECTION_S, 2 * record.ejection_s)
        )
        record.probe_at_s = now_s + record.ejection_s
        record.judged_s = record.probe_at_s

    def _readmit_beyond_limit(self) -> None:
        for host in sorted(self.ejected, key=self.success, reverse=True):
            if len(self.ejected) <= self.ejection_limit:
                return
            self._records_by_host[host].ejected = False
