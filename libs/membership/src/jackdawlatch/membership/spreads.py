"""How the hosts of a pool are spread over zones and racks."""

import collections
from collections.abc import Iterable, Mapping

from jackdawlatch.membership import places
from jackdawlatch.model import hosts

Crowd = tuple[int, int, str]


class Spread:
    """Counts a pool's hosts by zone and rack, and ranks others by that."""

    def __init__(
        self, hosts_by_id: Mapping[str, hosts.Host], members: Iterable[str]
    ) -> None:
        self._hosts_by_id = hosts_by_id
        self._zones: collections.Counter[str] = collections.Counter()
        self._places: collections.Counter[places.Place] = collections.Counter()
        for host in members:
            self._count(host, 1)

    def take_least_crowded(self, free: list[str]) -> str:
        """Move the host that spreads the pool best from ``free`` to it."""
        chosen = min(free, key=self._crowd)
        free.remove(chosen)
        self._count(chosen, 1)
        return chosen

    def drop_most_crowded(self, ready: list[str]) -> str:
        """Take the host out that spreads the pool least."""
        chosen = max(ready, key=self._crowd)
        ready.remove(chosen)
        self._count(chosen, -1)
        return chosen

    def _count(self, host: str, sign: int) -> None:
        described = self._hosts_by_id[host]
        self._zones[described.zone] += sign
        self._places[places.place(described)] += sign

    def _crowd(self, host: str) -> Crowd:
        described = self._hosts_by_id[host]
        place = places.place(described)
        return (self._zones[described.zone], self._places[place], host)
