"""What the unified daemon does with news from the store."""

from collections.abc import Callable, Iterable

from absl import logging
from returns import result

from jackdawlatch.jobs import intake, queues, stored
from jackdawlatch.platform import operator
from jackdawlatch.scheduler import election, leader, observers, waves
from jackdawlatch.store import following, keyvalue
from jackdawlatch.telemetry import decisions


class OrderObserver(following.Observer):
    """Applies the operator's configuration and waves."""

    def __init__(
        self,
        own_intake: intake.Intake,
        find_leader: Callable[[], leader.Leader | None],
        log: decisions.DecisionLog,
    ) -> None:
        self._intake = own_intake
        self._find_leader = find_leader
        self._log = log
        self._waves_by_number: dict[int, waves.Wave] = {}

    def brief(self, new_leader: leader.Leader) -> None:
        """Tell a new leader of the waves that are known."""
        for wave in self._waves_by_number.values():
            new_leader.waves.add(wave)

    def reset(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Take every entry."""
        for entry in entries:
            self.change(entry)

    def change(self, entry: keyvalue.Entry) -> None:
        """Take one entry; an older configuration is ignored."""
        if entry.deleted:
            return
        decoded = operator.decode(entry)
        if isinstance(decoded, result.Failure):
            logging.error('%s: %s', entry.key, decoded.failure().line())
            return
        order = decoded.unwrap()
        if isinstance(order, queues.Catalog):
            self._take_catalog(order)
        elif isinstance(order, waves.Wave):
            self._waves_by_number[order.number] = order
            leading = self._find_leader()
            if leading is not None:
                leading.waves.add(order)

    def _take_catalog(self, catalog: queues.Catalog) -> None:
        if catalog.version <= self._intake.catalog.version:
            return
        self._intake.catalog = catalog
        self._log.note(
            'configuration',
            version=catalog.version,
            queues=len(catalog.queues_by_name),
        )
        leading = self._find_leader()
        if leading is not None:
            leading.cluster.replace_catalog(catalog)


class FleetObserver(following.Observer):
    """Sees who leads, and how many jobs wait."""

    def __init__(
        self, own_election: election.Election, own_intake: intake.Intake
    ) -> None:
        self._election = own_election
        self._intake = own_intake

    def reset(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Take every entry; without a leadership key there is a vacancy."""
        found = {entry.key: entry for entry in entries}
        self._election.note_vacancy(stored.LEADER_KEY not in found)
        for entry in found.values():
            self.change(entry)

    def change(self, entry: keyvalue.Entry) -> None:
        """Take one entry."""
        if entry.key == stored.LEADER_KEY:
            self._election.observe(entry)
        elif entry.key == stored.PENDING_KEY and not entry.deleted:
            pending = observers.decode(entry, stored.Pending)
            if pending is not None:
                self._intake.pending_by_queue = pending.counts_by_queue
