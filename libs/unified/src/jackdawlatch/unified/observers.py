"""Observers that apply changes of the store to the unified daemon."""

from collections.abc import Callable, Iterable

from returns import result

from jackdawlatch.jobs import intake, queues, stored, stored_load
from jackdawlatch.platform import operator
from jackdawlatch.scheduler import election, leader, observers, waves
from jackdawlatch.store import following, keyvalue
from jackdawlatch.telemetry import decisions


class OperatorObserver(following.Observer):
    """Applies the operator's configuration and maintenance waves."""

    def __init__(
        self,
        job_intake: intake.Intake,
        get_leader: Callable[[], leader.Leader | None],
        log: decisions.DecisionLog,
    ) -> None:
        self._intake = job_intake
        self._get_leader = get_leader
        self._log = log
        self._waves_by_number: dict[int, waves.Wave] = {}

    def add_known_waves(self, new_leader: leader.Leader) -> None:
        """Add the waves observed so far to a new leader."""
        for wave in self._waves_by_number.values():
            new_leader.waves.add(wave)

    def reset(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Apply all entries."""
        for entry in entries:
            self.observe(entry)

    def change(self, entry: keyvalue.Entry) -> None:
        """Apply one entry; ignores removals and outdated configurations."""
        if entry.deleted:
            return
        decoded = operator.decode(entry)
        if isinstance(decoded, result.Failure):
            self.skipped.log(entry.key, decoded.failure().line())
            return
        request = decoded.unwrap()
        if isinstance(request, queues.Catalog):
            self._apply_catalog(request)
        elif isinstance(request, waves.Wave):
            self._waves_by_number[request.number] = request
            current_leader = self._get_leader()
            if current_leader is not None:
                current_leader.waves.add(request)

    def _apply_catalog(self, catalog: queues.Catalog) -> None:
        if catalog.version <= self._intake.catalog.version:
            return
        self._intake.catalog = catalog
        self._log.note(
            'configuration',
            version=catalog.version,
            queues=len(catalog.queues_by_name),
        )
        current_leader = self._get_leader()
        if current_leader is not None:
            current_leader.cluster.replace_catalog(catalog)


class FleetObserver(following.Observer):
    """Observes the leadership, the leases, and the load of the queues."""

    def __init__(
        self,
        leader_election: election.Election,
        job_intake: intake.Intake,
        lease_sightings: observers.LeaseSightings,
    ) -> None:
        self._election = leader_election
        self._intake = job_intake
        self._lease_sightings = lease_sightings

    def reset(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Apply all entries; without a leadership key there is no leader."""
        entries_by_key = {entry.key: entry for entry in entries}
        self._election.record_vacancy(stored.LEADER_KEY not in entries_by_key)
        if stored.LEADER_KEY not in entries_by_key:
            self._intake.load_sightings.observe_leader(keyvalue.ABSENT)
        for entry in entries_by_key.values():
            self.observe(entry)
        # When it was written is not known, since the watch was interrupted.
        self._intake.load_sightings.forget()

    def change(self, entry: keyvalue.Entry) -> None:
        """Apply one entry."""
        if entry.key == stored.LEADER_KEY:
            self._election.observe(entry)
            self._intake.load_sightings.observe_leader(
                keyvalue.ABSENT if entry.deleted else entry.revision
            )
            self._lease_sightings.observe_leader(entry)
        elif entry.key == stored.LEASES_KEY:
            self._lease_sightings.observe(entry)
        elif not entry.deleted:
            self._observe_load(entry)

    def _observe_load(self, entry: keyvalue.Entry) -> None:
        """Apply the pending jobs, or the forecast of the load."""
        if entry.key == stored.PENDING_KEY:
            pending = observers.decode(entry, stored.Pending)
            if pending is not None:
                self._intake.pending_by_queue = pending.counts_by_queue
        elif entry.key == stored.LOAD_KEY:
            load = observers.decode(entry, stored_load.Load)
            if load is not None:
                self._intake.load_sightings.observe(load)
