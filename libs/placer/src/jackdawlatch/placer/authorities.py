"""Permission to act, derived from the leadership of a shard."""

from jackdawlatch.model import clocks
from jackdawlatch.node import leadership
from jackdawlatch.placement import attempts
from jackdawlatch.placer import shared

# A lost lease is no longer trusted for this fraction of its time to live before
# another process can acquire it.  A shorter gap does not begin a new term.
UNTRUSTED_FRACTION = 1 - leadership.TRUSTED_FRACTION


class LeaderAuthority(shared.Authority):
    """Grants permission by the leadership of one process.

    While the store is unavailable no process can become leader, but running
    tasks must not stop.  So the last leader continues to renew leases, for
    the time that its successors wait before they give up inherited tasks.
    """

    def __init__(
        self,
        candidacy: leadership.Leadership,
        leaders: leadership.Leaders,
        holder: str,
        clock: clocks.Clock,
        ttl_s: float,
    ) -> None:
        self._candidacy = candidacy
        self._leaders = leaders
        self._holder = holder
        self._clock = clock
        self._last_led_s: float = 0
        self._led = False
        self._max_gap_s = ttl_s * UNTRUSTED_FRACTION
        self._term = 0

    def leads(self) -> bool:
        """Whether this process certainly holds the lease on the shard.

        The term grows whenever another process may have led in between.
        """
        held = self._candidacy.held
        if held:
            now_s = self._clock.monotonic_s()
            if not self._led or now_s - self._last_led_s > self._max_gap_s:
                self._term += 1
            self._last_led_s = now_s
        self._led = held
        return held

    def term(self) -> int:
        """Return a number that grows when another may have led in between."""
        return self._term

    def superseded(self) -> bool:
        """Whether another process is known to lead."""
        return self._leaders.holder(self._candidacy.key) not in {
            '',
            self._holder,
        }

    def may_renew(self) -> bool:
        """Whether no successor can have given up the tasks."""
        if self.leads():
            return True
        if not self._term or self.superseded():
            return False
        since_s = self._clock.monotonic_s() - self._last_led_s
        return since_s < attempts.DISCONNECTED_RENEWAL_S
