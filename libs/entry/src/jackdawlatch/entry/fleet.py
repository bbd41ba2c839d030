"""Determines the runners of each service from the accepted documents."""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from jackdawlatch.model import hosts, presets
from jackdawlatch.node import documents
from jackdawlatch.routing import leaving

PlacedHost = tuple[hosts.Assignment, hosts.Host]


@dataclasses.dataclass(frozen=True)
class Runner:
    """A host that may be given work of a service.

    ``address`` is the base URL of its runner.
    """

    host: str
    address: str
    slots: int


class Fleet:
    """The runners of every service, updated when a document changes.

    A runner accepts work while its host is live and active in the pool of the
    service; all other hosts are listed as leaving in ``leaving_hosts``.
    """

    def __init__(
        self,
        accepted_documents: documents.Documents,
        leaving_hosts: leaving.LeavingHosts,
    ) -> None:
        self._documents = accepted_documents
        self._leaving_hosts = leaving_hosts
        self._runners_by_service: dict[str, dict[str, Runner]] = {}
        self._active_hosts: frozenset[str] = frozenset()
        # Jobs are checked against all hosts of a pool, also those that accept
        # no work at present.
        self.capacities_by_pool: dict[str, tuple[hosts.Capacity, ...]] = {}
        accepted_documents.subscribe(self._refresh)
        self._refresh('')

    @property
    def preset(self) -> presets.Preset:
        """The preset in force."""
        return self._documents.configuration.preset

    @property
    def services(self) -> Mapping[str, presets.Service]:
        """The services of the configuration, by name."""
        return self._documents.configuration.services_by_name

    def runners(self, service: str) -> Mapping[str, Runner]:
        """Return the runners of a service, by host."""
        return self._runners_by_service.get(service, {})

    def slots_by_host(self, service: str) -> dict[str, int]:
        """Return the number of slots of each runner of a service, by host."""
        runners_by_host = self.runners(service)
        return {host: each.slots for host, each in runners_by_host.items()}

    def available_runner(
        self, service: str, host: str, now_s: float
    ) -> Runner | None:
        """Return a runner, or None if it must not be given work now."""
        runner = self.runners(service).get(host)
        if runner is None or self._leaving_hosts.is_leaving(host, now_s):
            return None
        return runner

    def _refresh(self, _key: str) -> None:
        placed_hosts = tuple(self._placed_hosts())
        self._leaving_hosts.set_listed_hosts(
            host.id
            for assignment, host in placed_hosts
            if not _accepts_work(assignment, host)
        )
        self.capacities_by_pool = {
            pool: tuple(host.capacity for host in members)
            for pool, members in _by_pool(placed_hosts).items()
        }
        serving = [placed for placed in placed_hosts if _accepts_work(*placed)]
        self._update_runners(_by_pool(serving))

    def _placed_hosts(self) -> Iterator[PlacedHost]:
        for membership in self._documents.memberships():
            for host_id, assignment in membership.assignments_by_host.items():
                host = membership.hosts_by_id.get(host_id)
                if host is not None:
                    yield assignment, host

    def _update_runners(self, pools: Mapping[str, list[hosts.Host]]) -> None:
        self._runners_by_service = {
            name: _runners(service, pools.get(service.pool, []))
            for name, service in self.services.items()
        }
        active_hosts = frozenset(
            each.id for members in pools.values() for each in members
        )
        # Signs of leaving from before a host became active again are outdated.
        for host in active_hosts - self._active_hosts:
            self._leaving_hosts.discard_signs(host)
        self._active_hosts = active_hosts


def _accepts_work(assignment: hosts.Assignment, host: hosts.Host) -> bool:
    active = assignment.phase is hosts.Phase.ACTIVE
    return active and host.liveness is hosts.Liveness.LIVE


def _by_pool(placed_hosts: Iterable[PlacedHost]) -> dict[str, list[hosts.Host]]:
    members_by_pool: dict[str, list[hosts.Host]] = {}
    for assignment, host in placed_hosts:
        members_by_pool.setdefault(assignment.pool, []).append(host)
    return members_by_pool


def _runners(
    service: presets.Service, members: list[hosts.Host]
) -> dict[str, Runner]:
    return {
        host.id: Runner(host.id, host.runner, service.slots_per_host)
        for host in members
        if host.runner
    }
