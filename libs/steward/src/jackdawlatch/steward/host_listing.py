"""The platform's host list, and when it last named each host."""

import dataclasses
import itertools
from collections.abc import Iterable, Iterator, Mapping

from jackdawlatch.membership import lifecycle, locations, shards, transitions
from jackdawlatch.model import hosts

# A host that the list has not named for this long is not known to be live.
UNKNOWN_AFTER_S = 60
# A list is fresh for this long after it was read.
FRESH_S = 10
# A host that has been missing for this long is removed, if the list is fresh.
FORGET_AFTER_S = 600


@dataclasses.dataclass(frozen=True)
class HostListing:
    """The last list that was read, and when each host was last on a list.

    ``since_s`` is when this process began to read lists; a host that it has
    not seen counts as unlisted since then.  ``listed_s`` is when a list was
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
    ) -> 'HostListing':
        """Return the listing after a list has been read."""
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

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the last list is at most ``FRESH_S`` old."""
        return now_s - self.listed_s <= FRESH_S

    def unlisted_s(self, host: str, now_s: float) -> float:
        """Return for how many seconds no list has named a host."""
        return now_s - self.seen_s_by_host.get(host, self.since_s)


def plan(
    value: shards.Shard, listing: HostListing, now_s: float
) -> Iterator[transitions.Transition]:
    """Yield the transitions that bring a shard's hosts in line with the list.

    New live hosts are added and missing ones removed; changed descriptions
    are stored, and hosts are marked as unknown or known again.
    """
    for new in _interleave_racks(
        listed
        for host, listed in listing.hosts_by_id.items()
        if host not in value.hosts_by_id
        and listed.liveness is hosts.Liveness.LIVE
    ):
        yield lifecycle.AddHost(new)
    unknown_before = frozenset(value.unknown_hosts)
    for host, known in value.hosts_by_id.items():
        unlisted_s = listing.unlisted_s(host, now_s)
        if _is_gone(listing, unlisted_s, now_s):
            yield lifecycle.RemoveHost(host)
            continue
        described = listing.hosts_by_id.get(host, known)
        unknown = unlisted_s > UNKNOWN_AFTER_S
        if described != known or unknown is not (host in unknown_before):
            yield lifecycle.UpdateHost(described, unknown)


def _interleave_racks(listed: Iterable[hosts.Host]) -> list[hosts.Host]:
    """Order hosts so that each rack in turn provides one.

    Pools to which the hosts are added in this order spread over racks.
    """
    by_rack: dict[locations.Location, list[hosts.Host]] = {}
    for host in sorted(listed, key=_host_id):
        by_rack.setdefault(locations.location(host), []).append(host)
    rounds = itertools.zip_longest(*by_rack.values())
    return [
        listed_host
        for round_ in rounds
        for listed_host in round_
        if listed_host
    ]


def _host_id(host: hosts.Host) -> str:
    return host.id


def _is_gone(listing: HostListing, unlisted_s: float, now_s: float) -> bool:
    return listing.is_fresh(now_s) and unlisted_s > FORGET_AFTER_S
