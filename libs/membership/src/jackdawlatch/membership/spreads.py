"""Spreads the hosts of a pool over zones and racks."""

import collections
from collections.abc import Iterable, Mapping

from jackdawlatch.membership import locations
from jackdawlatch.model import hosts

CrowdingKey = tuple[int, int, str]


class Spread:
    """Counts a pool's hosts by zone and rack, to choose hosts by spread."""

    def __init__(
        self, hosts_by_id: Mapping[str, hosts.Host], members: Iterable[str]
    ) -> None:
        self._hosts_by_id = hosts_by_id
        self._count_by_zone: collections.Counter[str] = collections.Counter()
        self._count_by_location: collections.Counter[locations.Location] = (
            collections.Counter()
        )
        for host in members:
            self._count(host, 1)

    def take_least_crowded(self, free: list[str]) -> str:
        """Move the host with the fewest neighbours from ``free`` to the pool.

        Hosts in the zone with the fewest hosts of the pool are preferred,
        then those in the rack with the fewest.
        """
        chosen = min(free, key=self._crowding)
        free.remove(chosen)
        self._count(chosen, 1)
        return chosen

    def drop_most_crowded(self, ready: list[str]) -> str:
        """Remove the host with the most neighbours from ``ready``."""
        chosen = max(ready, key=self._crowding)
        ready.remove(chosen)
        self._count(chosen, -1)
        return chosen

    def _count(self, host: str, sign: int) -> None:
        described = self._hosts_by_id[host]
        self._count_by_zone[described.zone] += sign
        self._count_by_location[locations.location(described)] += sign

    def _crowding(self, host: str) -> CrowdingKey:
        described = self._hosts_by_id[host]
        location = locations.location(described)
        return (
            self._count_by_zone[described.zone],
            self._count_by_location[location],
            host,
        )
