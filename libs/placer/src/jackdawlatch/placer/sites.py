"""Hosts as the placer meets them: their addresses, and whether they answer."""

from collections.abc import Callable

from jackdawlatch.model import clocks, hosts

COOL_S = 2


class Sites:
    """Reads the membership of the shard, and remembers refusals.

    A host that refused a start, or could not be reached, gets no new work
    for ``COOL_S`` seconds.
    """

    def __init__(
        self, membership: Callable[[], hosts.Membership], clock: clocks.Clock
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._addresses_by_host: dict[str, str] = {}
        self._cool_until_s_by_host: dict[str, float] = {}
        self._boots_by_host: dict[str, str] = {}

    @property
    def membership(self) -> hosts.Membership:
        """Return the latest membership known."""
        return self._membership()

    def address(self, host: str) -> str:
        """Return the base URL of a host's worker, the last one known."""
        described = self.membership.hosts_by_id.get(host)
        if described and described.worker:
            self._addresses_by_host[host] = described.worker
        return self._addresses_by_host.get(host, '')

    def boot(self, host: str) -> str:
        """Return the life of a host's worker, empty when unknown."""
        return self._boots_by_host.get(host, '')

    def note_boot(self, host: str, boot: str) -> None:
        """Take note of the life of a worker, or that it is not known."""
        self._boots_by_host[host] = boot

    def capacity(self, host: str) -> hosts.Capacity:
        """Return what a host has."""
        described = self.membership.hosts_by_id.get(host)
        return described.capacity if described else hosts.Capacity()

    def cool(self, host: str) -> None:
        """Give a host no new work for a moment."""
        until_s = self._clock.monotonic_s() + COOL_S
        self._cool_until_s_by_host[host] = until_s

    def accepts(self, host: str) -> bool:
        """Whether a host may get new work."""
        described = self.membership.hosts_by_id.get(host)
        assignment = self.membership.assignments_by_host.get(host)
        if described is None or assignment is None:
            return False
        live = described.liveness is hosts.Liveness.LIVE
        active = assignment.phase is hosts.Phase.ACTIVE
        cool_s = self._cool_until_s_by_host.get(host, 0)
        return live and active and self._clock.monotonic_s() >= cool_s

    def drains(self, host: str) -> bool:
        """Whether what runs on a host should move."""
        described = self.membership.hosts_by_id.get(host)
        assignment = self.membership.assignments_by_host.get(host)
        if described and described.liveness is hosts.Liveness.LEAVING:
            return True
        return bool(assignment and assignment.phase is hosts.Phase.DRAINING)

    def dead(self) -> frozenset[str]:
        """Return the hosts that the platform lists as dead."""
        return frozenset(
            host_id
            for host_id, host in self.membership.hosts_by_id.items()
            if host.liveness is hosts.Liveness.DEAD
        )
