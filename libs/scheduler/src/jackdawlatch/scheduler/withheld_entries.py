"""Withholds the registrations of services that nobody has named.

Another writer may have left such an entry.  It may also be read before the
configuration that names its service, and is not written again for that.
"""

from jackdawlatch.scheduler import cluster_state, reports


class WithheldEntries:
    """The registrations that name no worker to use, yet, by worker id."""

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        self._cluster = cluster
        self._entries_by_id: dict[str, reports.WorkerEntry] = {}

    def admits(self, entry: reports.WorkerEntry) -> bool:
        """Whether an entry may be that of a worker.

        The service of a boot that is known may have been removed meanwhile.
        """
        known = self._cluster.workers_by_id.get(entry.id)
        if known is not None and known.entry.boot == entry.boot:
            if known.entry.service == entry.service:
                return True
        return entry.service in self._cluster.dependencies.named_services

    def add(self, entry: reports.WorkerEntry) -> None:
        """Withhold an entry, and log it unless it has not changed."""
        if self._entries_by_id.get(entry.id) != entry:
            self._cluster.dependencies.log.note(
                'registration-withheld',
                worker=entry.id,
                born=entry.born_ms,
                machine=entry.machine,
                service=entry.service,
            )
        self._entries_by_id[entry.id] = entry

    def remove(self, worker_id: str) -> None:
        """Forget the entry of a worker, since another one has replaced it."""
        self._entries_by_id.pop(worker_id, None)

    def clear(self) -> None:
        """Forget all entries."""
        self._entries_by_id.clear()

    def admitted(self) -> list[reports.WorkerEntry]:
        """Return the entries whose service is named now."""
        return list(filter(self.admits, self._entries_by_id.values()))
