"""When the platform's list last named each host."""

import dataclasses
import itertools
from collections.abc import Iterable, Iterator, Mapping

from jackdawlatch.membership import lifecycle, places, shards, transitions
from jackdawlatch.model import hosts

# A host that the list has not named for longer is not known live.
UNKNOWN_AFTER_S = 60
FRESH_S = 10
# A host that a fresh list has not named for longer is gone.
FORGET_AFTER_S = 600


@dataclasses.dataclass(frozen=True)
class Sightings:
    """What the list said last of each host, and when.

    ``since_s`` is when this process began to look: a host that it has not
    seen yet has the age of that moment.  ``listed_s`` is when the list was
    last read.
    """

    since_s: float
    listed_s: float = 0
    hosts_by_id: Mapping[str, hosts.Host] = dataclasses.field(
        default_factory=dict
    )
    seen_s_by_host: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    def with_list(
        self, listed: Iterable[hosts.Host], now_s: float
    ) -> 'Sightings':
        """Return the sightings after one more reading of the list."""
        named = {host.id: host for host in listed}
        recent = {
            host: seen_s
            for host, seen_s in self.seen_s_by_host.items()
            if now_s - seen_s < FORGET_AFTER_S
        }
        return dataclasses.replace(
            self,
            listed_s=now_s,
            hosts_by_id=named,
            seen_s_by_host={**recent, **dict.fromkeys(named, now_s)},
        )

    def fresh(self, now_s: float) -> bool:
        """Return whether the list has been read lately."""
        return now_s - self.listed_s <= FRESH_S

    def age_s(self, host: str, now_s: float) -> float:
        """Return for how long the list has not named a host."""
        return now_s - self.seen_s_by_host.get(host, self.since_s)


def plan(
    value: shards.Shard, seen: Sightings, now_s: float
) -> Iterator[transitions.Transition]:
    """Yield what the list changes: hosts new, changed, unknown or gone."""
    for new in _rack_by_rack(
        listed
        for host, listed in seen.hosts_by_id.items()
        if host not in value.hosts_by_id
        and listed.liveness is hosts.Liveness.LIVE
    ):
        yield lifecycle.Admit(new)
    unknown_before = frozenset(value.unknown_hosts)
    for host, known in value.hosts_by_id.items():
        age_s = seen.age_s(host, now_s)
        if _is_gone(seen, age_s, now_s):
            yield lifecycle.Forget(host)
            continue
        described = seen.hosts_by_id.get(host, known)
        unknown = age_s > UNKNOWN_AFTER_S
        if described != known or unknown is not (host in unknown_before):
            yield lifecycle.Observe(described, unknown)


def _rack_by_rack(listed: Iterable[hosts.Host]) -> list[hosts.Host]:
    """Take one host of each rack in turn, so that pools spread over racks."""
    by_rack: dict[places.Place, list[hosts.Host]] = {}
    for host in sorted(listed, key=_host_id):
        by_rack.setdefault(places.place(host), []).append(host)
    turns = itertools.zip_longest(*by_rack.values())
    return [one for turn in turns for one in turn if one]


def _host_id(host: hosts.Host) -> str:
    return host.id


def _is_gone(seen: Sightings, age_s: float, now_s: float) -> bool:
    return seen.fresh(now_s) and age_s > FORGET_AFTER_S
