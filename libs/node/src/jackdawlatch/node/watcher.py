"""The one watch of a daemon: feeds documents, roster and leaders."""

import asyncio
from collections.abc import Callable

from returns import result

from jackdawlatch.model import records
from jackdawlatch.node import documents, leadership, parts, roster
from jackdawlatch.store import keyvalue

FLEET_PREFIX = 'fleet/'
WATCH_S = 20
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1


class Watcher:
    """Follows the store, and says whether it can be reached."""

    def __init__(self, own: parts.Parts) -> None:
        self._store = own.store
        self._documents = own.documents
        self._roster = own.roster
        self._leaders = own.leaders
        self._rng = own.rng
        self._revision: int | None = None
        self.reachable = False

    async def run(self, changed: Callable[[bool], None]) -> None:
        """Follow the store until cancelled.

        ``changed`` is told when the store comes within reach or is lost.
        """
        while True:
            seen = await self._next()
            reachable = isinstance(seen, result.Success)
            if reachable is not self.reachable:
                self.reachable = reachable
                changed(reachable)
            if isinstance(seen, result.Success):
                self._take(seen.unwrap())
            else:
                pause_s = self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
                await asyncio.sleep(pause_s)

    async def _next(
        self,
    ) -> result.Result[keyvalue.Changes, keyvalue.Unavailable]:
        if self._revision is None:
            return await self._store.scan(FLEET_PREFIX)
        return await self._store.watch(FLEET_PREFIX, self._revision, WATCH_S)

    def _take(self, changes: keyvalue.Changes) -> None:
        if changes.reset:
            self._reset(changes)
        for entry in changes.entries:
            self._take_entry(entry)
        self._revision = changes.revision

    def _take_entry(self, entry: keyvalue.Entry) -> None:
        if entry.key.startswith(roster.PEERS_PREFIX):
            self._take_peer(entry)
        elif entry.key.startswith(leadership.LEADERS_PREFIX):
            self._leaders.take(entry)
        elif documents.is_document(entry.key) and not entry.deleted:
            self._documents.offer(
                documents.Document(
                    key=entry.key,
                    revision=entry.revision,
                    content=entry.value,
                )
            )

    def _take_peer(self, entry: keyvalue.Entry) -> None:
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
