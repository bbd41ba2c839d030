"""Health of runners by their recent success rate, with limited ejection."""

import dataclasses
from collections.abc import Iterable

# The weight of one outcome in the moving average of the success rate.
OUTCOME_WEIGHT = 0.1
# A runner with a lower success rate is ejected.
EJECTION_THRESHOLD = 0.5
# The success rate of a runner after a successful probe.
READMISSION_SUCCESS = 0.75
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0
PROBE_TIMEOUT_S = 30.0


@dataclasses.dataclass
class RunnerHealth:
    """The health of one runner; ``success`` is its recent success rate.

    An ejected runner is probed by one request at a time, at ``probe_at_s``
    or later; a failed probe doubles ``ejection_s``.  Outcomes of requests
    sent before ``counted_from_s`` are ignored.
    """

    success: float = 1
    ejected: bool = False
    ejection_s: float = 0
    probe_at_s: float = 0
    counted_from_s: float = 0


class Health:
    """Ejects failing runners, at most the fraction ``ejection_cap`` of a pool."""

    def __init__(self, ejection_cap: float) -> None:
        self.ejection_cap = ejection_cap
        self._health_by_host: dict[str, RunnerHealth] = {}

    @property
    def ejected(self) -> frozenset[str]:
        """The hosts that are ejected."""
        return frozenset(
            host
            for host, runner in self._health_by_host.items()
            if runner.ejected
        )

    @property
    def ejection_limit(self) -> int:
        """How many hosts may be ejected at once: at most all but one."""
        hosts = len(self._health_by_host)
        max_ejected = min(int(self.ejection_cap * hosts), hosts - 1)
        return max(0, max_ejected)

    def set_hosts(self, hosts: Iterable[str]) -> None:
        """Replace the hosts of the pool; new ones start healthy."""
        previous_by_host = self._health_by_host
        self._health_by_host = {
            host: previous_by_host.get(host, RunnerHealth()) for host in hosts
        }
        self._readmit_beyond_limit()

    def success(self, host: str) -> float:
        """Return the recent success rate of a host, from 0 to 1."""
        runner = self._health_by_host.get(host)
        return runner.success if runner else 1

    def is_usable(self, host: str) -> bool:
        """Return whether a host belongs to the pool and is not ejected."""
        runner = self._health_by_host.get(host)
        return runner is not None and not runner.ejected

    def due_for_probe(self, now_s: float) -> list[str]:
        """Return the ejected hosts that may be probed now."""
        return [
            host
            for host, runner in self._health_by_host.items()
            if runner.ejected and runner.probe_at_s <= now_s
        ]

    def start_probe(self, host: str, now_s: float) -> None:
        """Record that a probe was sent to an ejected host."""
        # If the outcome of the probe is lost, another one is due later.
        runner = self._health_by_host[host]
        runner.probe_at_s = now_s + PROBE_TIMEOUT_S
        runner.counted_from_s = now_s

    def record(
        self, host: str, succeeded: bool, sent_s: float, now_s: float
    ) -> None:
        """Record the outcome of a request that was sent at ``sent_s``.

        Requests that were in flight when the runner was ejected don't count
        as probes.
        """
        runner = self._health_by_host.get(host)
        if runner is None or sent_s < runner.counted_from_s:
            return
        runner.success += OUTCOME_WEIGHT * (succeeded - runner.success)
        if runner.ejected:
            self._record_probe(runner, succeeded, now_s)
        elif (
            runner.success < EJECTION_THRESHOLD
            and len(self.ejected) < self.ejection_limit
        ):
            self._eject(runner, now_s)

    def _record_probe(
        self, runner: RunnerHealth, succeeded: bool, now_s: float
    ) -> None:
        if succeeded:
            runner.ejected = False
            runner.success = READMISSION_SUCCESS
        else:
            self._eject(runner, now_s)

    def _eject(self, runner: RunnerHealth, now_s: float) -> None:
        runner.ejected = True
        runner.ejection_s = min(
            MAX_EJECTION_S, max(MIN_EJECTION_S, 2 * runner.ejection_s)
        )
        runner.probe_at_s = now_s + runner.ejection_s
        runner.counted_from_s = runner.probe_at_s

    def _readmit_beyond_limit(self) -> None:
        for host in sorted(self.ejected, key=self.success, reverse=True):
            if len(self.ejected) <= self.ejection_limit:
                return
            self._health_by_host[host].ejected = False
