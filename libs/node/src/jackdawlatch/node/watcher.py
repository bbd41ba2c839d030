"""The daemon's single store watch; updates documents, roster and leaders."""

import asyncio
from collections.abc import Callable

import msgspec
from returns import result

from jackdawlatch.model import records
from jackdawlatch.node import dependencies as node_dependencies
from jackdawlatch.node import documents, leadership, roster
from jackdawlatch.store import keyvalue, skipped_entries

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
        self._skipped = skipped_entries.SkippedEntries()
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
            self._apply_document(entry)

    def _apply_document(self, entry: keyvalue.Entry) -> None:
        try:
            self._documents.apply(
                documents.Document(
                    key=entry.key,
                    revision=entry.revision,
                    content=entry.value,
                )
            )
        except msgspec.DecodeError as error:
            self._skipped.log(entry.key, str(error))

    def _apply_peer(self, entry: keyvalue.Entry) -> None:
        peer = None if entry.deleted else self._peer(entry)
        if peer is None:
            self._roster.unregister(entry.key)
        else:
            self._roster.register(peer)

    def _peer(self, entry: keyvalue.Entry) -> roster.Peer | None:
        """Return the peer in an entry, None if there is no valid one."""
        try:
            return records.decode(entry.value, roster.Peer)
        except msgspec.DecodeError as error:
            self._skipped.log(entry.key, str(error))
            return None

    def _reset(self, changes: keyvalue.Changes) -> None:
        self._leaders.reset(changes.entries)
        peers_by_key = {
            entry.key: self._peer(entry)
            for entry in changes.entries
            if entry.key.startswith(roster.PEERS_PREFIX)
        }
        self._roster.reset(
            {
                key: peer
                for key, peer in peers_by_key.items()
                if peer is not None
            }
        )
