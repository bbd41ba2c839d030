"""Follows the keys below a prefix: reads them all, then watches them."""

import abc
import asyncio
import dataclasses
import functools
from collections.abc import Callable, Iterable

from absl import logging
from returns import result

from jackdawlatch.store import keyvalue, skipped_entries

RETRY_S = 0.1


class Observer(abc.ABC):
    """Receives the content of the keys below a prefix, and its changes.

    An entry whose handling raises an exception is logged and skipped.
    """

    @functools.cached_property
    def skipped(self) -> skipped_entries.SkippedEntries:
        """The log of the entries that were skipped."""
        return skipped_entries.SkippedEntries()

    @abc.abstractmethod
    def reset(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Replace all content by these entries; pass each to ``observe``."""

    async def load(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Replace all content as ``reset`` does, perhaps in several turns."""
        self.reset(entries)

    @abc.abstractmethod
    def change(self, entry: keyvalue.Entry) -> None:
        """Handle a key that was written or removed."""

    def observe(
        self,
        entry: keyvalue.Entry,
        handle_entry: Callable[[keyvalue.Entry], None] | None = None,
    ) -> None:
        """Pass an entry to ``change``, or to another function."""
        try:
            (handle_entry or self.change)(entry)
        except Exception as error:
            self.skipped.log_error(entry.key, error)


@dataclasses.dataclass(frozen=True)
class WatchTiming:
    """How long a watch waits, and the pause between two watches.

    A short wait detects a dead connection; the pause limits the rate of
    calls for a prefix that changes all the time.
    """

    wait_s: float = 1.5
    pause_s: float = 0


class Follower:
    """Keeps an observer up to date until cancelled.

    ``reachable`` tells whether the last call succeeded; ``started`` is set
    once the observer has got the full content.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        prefix: str,
        observer: Observer,
        pace: WatchTiming,
    ) -> None:
        self.reachable = False
        self.started = asyncio.Event()
        self._store = store
        self._prefix = prefix
        self._observer = observer
        self._pace = pace
        self._revision: int | None = None

    async def run(self) -> None:
        """Follow until cancelled; failed calls are retried."""
        while True:
            reached = await self._step()
            if reached is not self.reachable:
                self.reachable = reached
                logging.info(
                    'store %s for prefix %s',
                    'reachable' if reached else 'unreachable',
                    self._prefix,
                )
            await asyncio.sleep(self._pace.pause_s if reached else RETRY_S)

    async def _step(self) -> bool:
        try:
            if self._revision is None:
                return await self._read_all()
            return await self._watch(self._revision)
        except Exception as error:
            self._observer.skipped.log_error(self._prefix, error)
            return False

    async def _read_all(self) -> bool:
        scanned = await self._store.scan(self._prefix)
        if isinstance(scanned, result.Failure):
            return False
        try:
            await self._deliver(scanned.unwrap())
        finally:
            self.started.set()
        return True

    async def _watch(self, revision: int) -> bool:
        watched = await self._store.watch(
            self._prefix, revision, self._pace.wait_s
        )
        if isinstance(watched, result.Failure):
            return False
        await self._deliver(watched.unwrap())
        return True

    async def _deliver(self, changes: keyvalue.Changes) -> None:
        self._revision = changes.revision
        if changes.reset:
            await self._observer.load(changes.entries)
            return
        for entry in changes.entries:
            self._observer.observe(entry)
