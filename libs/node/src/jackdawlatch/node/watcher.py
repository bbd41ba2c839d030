"""The daemon's single store watch; updates documents, roster and leaders."""

import asyncio
from collections.abc import Callable

from returns import result

from jackdawlatch.model import records
from jackdawlatch.node import dependencies as node_dependencies
from jackdawlatch.node import documents, leadership, roster
from jackdawlatch.store import keyvalue

FLEET_PREFIX = 'fleet/'
WATCH_S = 20
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1


class Watcher:
    """Watches the fleet's keys; ``reachable``: whether the store answers."""

    def __init__(self, dependencies: node_dependencies.Dependencies) -> None:
        self._store = dependencies.store
        self._documents = dependencies.documents
        self._roster = dependencies.roster
        self._leaders = dependencies.leaders
        self._rng = dependencies.rng
        self._revision: int | None = None
        self.reachable = False

    async def run(self, changed: Callable[[bool], None]) -> None:
        """Watch the store until cancelled.

        ``changed`` is called with the new value whenever ``reachable``
        changes.
        """
        while True:
            received = await self._next()
            reachable = isinstance(received, result.Success)
            if reachable is not self.reachable:
                self.reachable = reachable
                changed(reachable)
            if isinstance(received, result.Success):
                self._apply(received.unwrap())
            else:
                pause_s = self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
                await asyncio.sleep(pause_s)

    async def _next(
        self,
    ) -> result.Result[keyvalue.Changes, keyvalue.Unavailable]:
        if self._revision is None:
            return await self._store.scan(FLEET_PREFIX)
        return await self._store.watch(FLEET_PREFIX, self._revision, WATCH_S)

    def _apply(self, changes: keyvalue.Changes) -> None:
        if changes.reset:
            self._reset(changes)
        for entry in changes.entries:
            self._apply_entry(entry)
        self._revision = changes.revision

    def _apply_entry(self, entry: keyvalue.Entry) -> None:
        if entry.key.startswith(roster.PEERS_PREFIX):
            self._apply_peer(entry)
        elif entry.key.startswith(leadership.LEADERS_PREFIX):
            self._leaders.apply(entry)
        elif documents.is_document(entry.key) and not entry.deleted:
            self._documents.apply(
                documents.Document(
                    key=entry.key,
                    revision=entry.revision,
                    content=entry.value,
                )
            )

    def _apply_peer(self, entry: keyvalue.Entry) -> None:
        if entry.deleted:
            self._roster.unregister(entry.key)
        else:
            self._roster.register(records.decode(entry.value, roster.Peer))

    def _reset(self, changes: keyvalue.Changes) -> None:
        self._leaders.reset(changes.entries)
        self._roster.reset(
            {
                entry.key: records.decode(entry.value, roster.Peer)
                for entry in changes.entries
                if entry.key.startswith(roster.PEERS_PREFIX)
            }
        )
