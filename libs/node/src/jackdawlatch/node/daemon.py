"""Start, operation and graceful shutdown of a daemon."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, ClassVar

from absl import logging
from returns import result

from jackdawlatch.model import failures, records
from jackdawlatch.node import (
    background,
    change_recorder,
    context,
    dependencies,
    gossip,
    leadership,
    operation_guards,
    operations,
    registration,
)
from jackdawlatch.node import roster as rosters
from jackdawlatch.node import watcher as watchers
from jackdawlatch.settings import daemons
from jackdawlatch.store import keyvalue

START_TIMEOUT_S = 3
CONFIGURATION_POLL_S = 0.02


class AddressTaken(failures.Problem, frozen=True, kw_only=True):
    """An address from the settings is not available to listen on."""

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
    """The common base of the daemons, whatever their role.

    A role adds background tasks with ``spawn``, registers handlers for peers
    on ``dependencies.endpoint``, and sets ``explain`` and ``details``, which
    answer operators' requests.
    """

    def __init__(
        self, settings: daemons.Daemon, role: str, store: keyvalue.Store
    ) -> None:
        self.dependencies = dependencies.build(settings, role, store)
        traffic = self.dependencies.endpoint.traffic
        meters = self.dependencies.meters
        meters.gauge('peer_sent_bytes', lambda: traffic.sent_bytes)
        meters.gauge('peer_received_bytes', lambda: traffic.received_bytes)
        self.change_recorder = change_recorder.ChangeRecorder(self.dependencies)
        self.stopping = asyncio.Event()
        self.explain: context.Explain = _no_explanations
        self.details: Callable[[], dict[str, Any]] = dict
        self.failed = False
        self._serving = False
        self._watcher = watchers.Watcher(self.dependencies)
        self._registration = registration.Registration(
            store, self.dependencies.roster.local_peer, settings.lease_ttl_s
        )
        self._leaderships: list[leadership.Candidacy] = []
        self._tasks = background.BackgroundTasks(self._on_background_failure)

    @property
    def store_reachable(self) -> bool:
        """Whether the last call of the store watch succeeded."""
        return self._watcher.reachable

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send callers to this process.

        It is false until the role listens, and while the process stops.
        """
        configured = self.dependencies.documents.configuration.version > 0
        return configured and self._serving and not self.stopping.is_set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a background task that is cancelled at shutdown."""
        return self._tasks.spawn(work)

    def lead(self, shard: str) -> leadership.Candidacy:
        """Run for leadership of a shard in this process's role."""
        local_peer = self.dependencies.roster.local_peer
        candidacy = leadership.Candidacy(
            self.dependencies.leaders,
            leadership.Candidate(
                store=self.dependencies.store,
                holder=local_peer.id,
                clock=self.dependencies.clock,
                ttl_s=self.dependencies.settings.lease_ttl_s,
            ),
            f'{leadership.LEADERS_PREFIX}{local_peer.role}/{shard}',
        )
        self._leaderships.append(candidacy)

        def changed(held: bool) -> None:
            name = 'leading' if held else 'not-leading'
            self.change_recorder.record(name, candidacy.key)

        self.spawn(candidacy.run(changed))
        return candidacy

    async def start(self) -> result.Result[None, AddressTaken]:
        """Listen on the node's own addresses and start background tasks.

        Returns once the configuration is known, or after
        ``START_TIMEOUT_S``.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stopping.set)
        try:
            self._listen()
        except OSError as error:
            return result.Failure(
                AddressTaken(
                    message=str(error),
                    hint='choose unused addresses in the settings',
                )
            )
        self.spawn(self._watcher.run(self.change_recorder.store_changed))
        self.spawn(self._registration.run())
        self.spawn(gossip.Gossip(self.dependencies).run())
        await self._await_configuration()
        return result.Success(None)

    async def run(self, drain: Callable[[], Awaitable[None]]) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop.

        Call it once the role listens on its addresses.  ``drain`` must
        return when the role has no request in flight.
        """
        self._serving = True
        await self.stopping.wait()
        self.change_recorder.record('stopping')
        # Peers see the deregistration before draining begins.
        await self._registration.deregister()
        for candidacy in self._leaderships:
            await candidacy.resign()
        await drain()
        self._tasks.cancel()
        self.dependencies.endpoint.close()

    def _listen(self) -> None:
        settings = self.dependencies.settings
        host, port = _split_address(settings.peer_address)
        self.dependencies.endpoint.listen(port, host)
        server = operations.server(
            context.Context(
                ready=lambda: self.ready,
                status=self._status,
                explain=lambda kind, subject: self.explain(kind, subject),
                meters=self.dependencies.meters,
                ring=self.dependencies.ring,
                documents=self.dependencies.documents,
            ),
            operation_guards.create(self.dependencies),
        )
        host, port = _split_address(settings.operations_address)
        server.listen(port, host)

    def _status(self) -> Status:
        documents = self.dependencies.documents
        return Status(
            peer=self.dependencies.roster.local_peer,
            ready=self.ready,
            store_reachable=self.store_reachable,
            configuration_version=documents.configuration.version,
            in_force=documents.configuration.in_force,
            revisions_by_key=documents.revisions_by_key(),
            peers=len(self.dependencies.roster.all_peers()),
            leading=tuple(
                candidacy.key
                for candidacy in self._leaderships
                if candidacy.held
            ),
            invariant_violations=self.dependencies.invariants.violations,
            details=self.details(),
        )

    async def _await_configuration(self) -> None:
        deadline_s = self.dependencies.clock.monotonic_s() + START_TIMEOUT_S
        while self.dependencies.clock.monotonic_s() < deadline_s:
            if self.dependencies.documents.configuration.version:
                return
            await asyncio.sleep(CONFIGURATION_POLL_S)

    def _on_background_failure(self, error: BaseException) -> None:
        # Stop the daemon: it would go on serving without one of its loops.
        logging.error('background task failed; stopping', exc_info=error)
        self.dependencies.meters.count('background_failures')
        self.failed = True
        self.stopping.set()


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def _no_explanations(
    _kind: str, _subject: str
) -> tuple[context.Explanation, ...]:
    return ()
