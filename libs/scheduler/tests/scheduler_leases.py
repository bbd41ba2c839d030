"""Access to the lease records of a fake deployment."""

from collections.abc import Callable, Iterable

import scheduler_bench as benches

from jackdawlatch.jobs import stored
from jackdawlatch.model import records
from jackdawlatch.scheduler import observers, reports
from jackdawlatch.store import following, keyvalue


class LeaseObserver(following.Observer):
    """Passes the lease records on, as a daemon does that may lead next."""

    def __init__(self, sightings: observers.LeaseSightings) -> None:
        self._sightings = sightings

    def reset(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Apply all entries."""
        for entry in entries:
            self.change(entry)

    def change(self, entry: keyvalue.Entry) -> None:
        """Apply one entry."""
        if entry.key == stored.LEASES_KEY:
            self._sightings.observe(entry)


def follower(
    bench: benches.Bench, sightings: observers.LeaseSightings
) -> following.Follower:
    """Return a follower of the lease records."""
    return following.Follower(
        bench.store,
        stored.FLEET_PREFIX,
        LeaseObserver(sightings),
        following.WatchTiming(),
    )


def recorded(bench: benches.Bench) -> tuple[stored.LeaseRest, ...]:
    """Return the recorded leases."""
    entry = bench.store.content.get(stored.LEASES_KEY)
    if entry is None:
        return ()
    return records.decode(entry.value, stored.Leases).rests


def extension_check(
    bench: benches.Bench,
) -> Callable[[reports.WorkerEntry, int], bool]:
    """Return whether a boot has a record of the leader with a token."""

    def is_recorded(entry: reports.WorkerEntry, token: int) -> bool:
        leads = bench.store.content.get(stored.LEADER_KEY)
        boots = [(rest.worker, rest.born_ms) for rest in recorded(bench)]
        leading = leads is not None and leads.revision <= token
        return leading and entry.boot in boots

    return is_recorded
