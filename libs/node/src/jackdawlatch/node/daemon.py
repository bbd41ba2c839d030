"""The frame of a daemon: its start and its graceful shutdown."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, ClassVar

from absl import logging
from returns import result
from tornado import httpserver

from jackdawlatch.model import failures, records
from jackdawlatch.node import (
    context,
    gossip,
    journal,
    leadership,
    operations,
    parts,
    presence,
    tasks,
)
from jackdawlatch.node import roster as rosters
from jackdawlatch.node import watcher as watchers
from jackdawlatch.settings import daemons
from jackdawlatch.store import keyvalue

START_S = 3
START_POLL_S = 0.02


class AddressTaken(failures.Problem, frozen=True, kw_only=True):
    """An address of the settings can't be listened on."""

    code: ClassVar[str] = 'address-taken'


class Status(records.Record, frozen=True, kw_only=True):
    """The state of a daemon; ``details`` depends on the role."""

    peer: rosters.Peer
    ready: bool
    store_reachable: bool
    configuration_version: int
    in_force: str
    revisions_by_key: dict[str, int]
    peers: int = 0
    leading: tuple[str, ...] = ()
    invariant_violations: int = 0
    details: dict[str, Any] = {}


class Node:
    """What every daemon shares.

    A role adds background work with ``spawn``, serves peers by
    ``parts.endpoint``, and sets ``explain`` and ``details`` for operators.
    """

    def __init__(
        self, settings: daemons.Daemon, role: str, store: keyvalue.Store
    ) -> None:
        self.parts = parts.build(settings, role, store)
        traffic = self.parts.endpoint.traffic
        meters = self.parts.meters
        meters.gauge('peer_sent_bytes', lambda: traffic.sent_bytes)
        meters.gauge('peer_received_bytes', lambda: traffic.received_bytes)
        self.journal = journal.Journal(self.parts)
        self.stopping = asyncio.Event()
        self.explain: context.Explain = _explain_nothing
        self.details: Callable[[], dict[str, Any]] = dict
        self.failed = False
        self._serving = False
        self._watcher = watchers.Watcher(self.parts)
        self._presence = presence.Presence(
            store, self.parts.roster.own, settings.lease_ttl_s
        )
        self._leaderships: list[leadership.Candidacy] = []
        self._tasks = tasks.Tasks(self._fail)

    @property
    def store_reachable(self) -> bool:
        """Whether the last call of the watch was answered."""
        return self._watcher.reachable

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here: not before the role listens."""
        configured = self.parts.documents.configuration.version > 0
        return configured and self._serving and not self.stopping.is_set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run background work until shutdown."""
        return self._tasks.spawn(work)

    def lead(self, shard: str) -> leadership.Candidacy:
        """Stand for leadership of a shard in this process's role."""
        own = self.parts.roster.own
        candidacy = leadership.Candidacy(
            self.parts.leaders,
            leadership.Candidate(
                store=self.parts.store,
                holder=own.id,
                clock=self.parts.clock,
                ttl_s=self.parts.settings.lease_ttl_s,
            ),
            f'{leadership.LEADERS_PREFIX}{own.role}/{shard}',
        )
        self._leaderships.append(candidacy)

        def changed(held: bool) -> None:
            name = 'leading' if held else 'not-leading'
            self.journal.change(name, candidacy.key)

        self.spawn(candidacy.run(changed))
        return candidacy

    async def start(self) -> result.Result[None, AddressTaken]:
        """Listen on all addresses and start the background work.

        Returns once the configuration is known, or after ``START_S``.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        try:
            self._listen()
        except OSError as error:
            return result.Failure(
                AddressTaken(
                    message=str(error),
                    hint='choose free addresses in the settings',
                )
            )
        self.spawn(self._watcher.run(self.journal.store_changed))
        self.spawn(self._presence.run())
        self.spawn(gossip.Gossip(self.parts).run())
        await self._await_configuration()
        return result.Success(None)

    async def run(self, drain: Callable[[], Awaitable[None]]) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop.

        The role has to listen on its own addresses by now.  ``drain`` must
        return once nothing of the role is in flight.
        """
        self._serving = True
        await self.stopping.wait()
        self.journal.change('stopping')
        # Peers learn of the stop before the drain begins.
        await self._presence.withdraw()
        for candidacy in self._leaderships:
            await candidacy.resign()
        await drain()
        self._tasks.cancel()
        self.parts.endpoint.close()

    def _listen(self) -> None:
        settings = self.parts.settings
        host, port = _split(settings.peer_address)
        self.parts.endpoint.listen(port, host)
        application = operations.application(
            context.Context(
                ready=lambda: self.ready,
                status=self._status,
                explain=lambda kind, subject: self.explain(kind, subject),
                meters=self.parts.meters,
                ring=self.parts.ring,
                documents=self.parts.documents,
            )
        )
        host, port = _split(settings.operations_address)
        httpserver.HTTPServer(application).listen(port, host)

    def _status(self) -> Status:
        known = self.parts.documents
        return Status(
            peer=self.parts.roster.own,
            ready=self.ready,
            store_reachable=self.store_reachable,
            configuration_version=known.configuration.version,
            in_force=known.configuration.in_force,
            revisions_by_key=known.revisions_by_key(),
            peers=len(self.parts.roster.everyone()),
            leading=tuple(one.key for one in self._leaderships if one.held),
            invariant_violations=self.parts.invariants.violations,
            details=self.details(),
        )

    async def _await_configuration(self) -> None:
        deadline_s = self.parts.clock.monotonic_s() + START_S
        while self.parts.clock.monotonic_s() < deadline_s:
            if self.parts.documents.configuration.version:
                return
            await asyncio.sleep(START_POLL_S)

    def _fail(self, error: BaseException) -> None:
        # A daemon without one of its loops is worse than none.
        logging.error('background work failed', exc_info=error)
        self.parts.meters.count('background_failures')
        self.failed = True
        self.stopping.set()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def _explain_nothing(
    _kind: str, _subject: str
) -> tuple[context.Explanation, ...]:
    return ()
