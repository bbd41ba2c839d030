"""Addresses and states of hosts, as needed to place tasks."""

from collections.abc import Callable

from jackdawlatch.model import clocks, hosts

BACKOFF_S = 2


class HostStatus:
    """Reads the membership of the shard and backs off from failing hosts.

    A host that refused a start, or was not reached, gets no new tasks for
    ``BACKOFF_S`` seconds.
    """

    def __init__(
        self, membership: Callable[[], hosts.Membership], clock: clocks.Clock
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._addresses_by_host: dict[str, str] = {}
        self._backoff_until_s_by_host: dict[str, float] = {}
        self._boots_by_host: dict[str, str] = {}

    @property
    def membership(self) -> hosts.Membership:
        """Return the latest membership known."""
        return self._membership()

    def address(self, host: str) -> str:
        """Return the last known base URL of a host's worker."""
        known = self.membership.hosts_by_id.get(host)
        if known and known.worker:
            self._addresses_by_host[host] = known.worker
        return self._addresses_by_host.get(host, '')

    def boot(self, host: str) -> str:
        """Return the boot id of a host's worker, empty when unknown."""
        return self._boots_by_host.get(host, '')

    def note_boot(self, host: str, boot: str) -> None:
        """Store the boot id of a worker; empty when unknown."""
        self._boots_by_host[host] = boot

    def capacity(self, host: str) -> hosts.Capacity:
        """Return the capacity of a host, zero for an unknown host."""
        known = self.membership.hosts_by_id.get(host)
        return known.capacity if known else hosts.Capacity()

    def back_off(self, host: str) -> None:
        """Give a host no new tasks for ``BACKOFF_S`` seconds."""
        until_s = self._clock.monotonic_s() + BACKOFF_S
        self._backoff_until_s_by_host[host] = until_s

    def accepts(self, host: str) -> bool:
        """Whether a host may get new tasks."""
        known = self.membership.hosts_by_id.get(host)
        assignment = self.membership.assignments_by_host.get(host)
        if known is None or assignment is None:
            return False
        live = known.liveness is hosts.Liveness.LIVE
        active = assignment.phase is hosts.Phase.ACTIVE
        backoff_until_s = self._backoff_until_s_by_host.get(host, 0)
        return live and active and self._clock.monotonic_s() >= backoff_until_s

    def is_draining(self, host: str) -> bool:
        """Whether the tasks of a host should move to other hosts."""
        known = self.membership.hosts_by_id.get(host)
        assignment = self.membership.assignments_by_host.get(host)
        if known and known.liveness is hosts.Liveness.LEAVING:
            return True
        return bool(assignment and assignment.phase is hosts.Phase.DRAINING)

    def dead_hosts(self) -> frozenset[str]:
        """Return the hosts that the platform lists as dead."""
        return frozenset(
            host_id
            for host_id, host in self.membership.hosts_by_id.items()
            if host.liveness is hosts.Liveness.DEAD
        )
