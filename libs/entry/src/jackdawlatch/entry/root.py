"""The composition root of an entry."""

import asyncio
import contextlib
from typing import Any

from returns import result

from jackdawlatch.backends import http_runners, runners
from jackdawlatch.entry import explaining as explanations
from jackdawlatch.entry import (
    fleet,
    front,
    job_handlers,
    jobs,
    keyed_parts,
    members,
    sending_parts,
    server,
)
from jackdawlatch.entry import settings as entry_settings
from jackdawlatch.entry import surroundings as surroundings_of_entry
from jackdawlatch.node import daemon
from jackdawlatch.placement import book
from jackdawlatch.routing import leaving
from jackdawlatch.store import keyvalue

ROLE = 'entry'
QUIET_S = 0.3
FLUSH_S = 2
QUIET_POLL_S = 0.05


class Root:
    """Wires the parts of an entry around its node."""

    def __init__(
        self,
        settings: entry_settings.Entry,
        store: keyvalue.Store,
        own_runners: runners.Runners | None = None,
    ) -> None:
        self.settings = settings
        self.node = daemon.Node(settings, ROLE, store)
        parts = self.node.parts
        signs = leaving.Leaving()
        self.around = surroundings_of_entry.Surroundings(
            fleet=fleet.Fleet(parts.documents, signs),
            roster=parts.roster,
            members=members.Members(parts.roster, parts.endpoint),
            signs=signs,
            endpoint=parts.endpoint,
            clock=parts.clock,
            meters=parts.meters,
            invariants=parts.invariants,
            ring=parts.ring,
        )
        self.sending = sending_parts.build(
            self.around,
            own_runners or http_runners.HttpRunners(parts.clock),
        )
        self.keyed = keyed_parts.build(
            self.around, store, settings, self.sending.dispatcher.run
        )
        self.front = front.Front(
            self.around, self.sending.dispatcher.run, self.keyed.forwarder.run
        )
        self.server = server.serve(
            server.Context(
                desk=self.front,
                jobs=jobs.Jobs(
                    self.around.fleet,
                    book.Book(store, book.Options(settings.shard), parts.clock),
                ),
                body_limit_bytes=settings.body_limit_bytes,
            ),
            job_handlers.ROUTES,
        )
        parts.documents.listen(self._refresh)

    async def start(self) -> result.Result[None, daemon.AddressTaken]:
        """Start the node, then listen for callers."""
        started = await self.node.start()
        if isinstance(started, result.Failure):
            return started
        host, _, port = self.settings.http_address.rpartition(':')
        try:
            self.server.listen(int(port), host)
        except OSError as error:
            return result.Failure(
                daemon.AddressTaken(
                    message=f'{self.settings.http_address}: {error}',
                    hint='choose a free http_address in the settings',
                )
            )
        self.node.details = self._details
        self.node.explain = explanations.Explainer(self.around.ring).explain
        self.node.spawn(self.keyed.ownership.run())
        self.node.spawn(self.sending.slots.run())
        self.node.spawn(self.sending.brokerage.brokers.run())
        self.node.spawn(self.sending.brokerage.shares.run())
        return result.Success(None)

    async def run(self) -> None:
        """Serve until stopped, and answer all that is in flight."""
        await self.node.run(self._drain)

    async def _drain(self) -> None:
        await self._retire()
        # Callers are asked to close their connections from here on.
        self.front.draining = True
        # The balancer goes on sending here until it has seen the stop.
        await asyncio.sleep(self.settings.drain_delay_s)
        self.server.stop_accepting()
        await self._quiet()
        await self.server.close_all_connections()
        await self._flush()

    async def _retire(self) -> None:
        await self.around.members.retire()
        # The brokers that take over learn at once which slots are held here.
        await self.sending.slots.synchronize()

    async def _flush(self) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.keyed.keyed.flush(), FLUSH_S)

    async def _quiet(self) -> None:
        """Return when nothing was in flight for a moment, nor is now."""
        clock = self.around.clock
        busy_s = clock.monotonic_s()
        while clock.monotonic_s() < busy_s + QUIET_S:
            await asyncio.sleep(QUIET_POLL_S)
            if self._in_flight():
                busy_s = clock.monotonic_s()

    def _in_flight(self) -> int:
        return self.front.in_flight + self.keyed.in_flight

    def _refresh(self, _key: str) -> None:
        self.sending.brokerage.refresh()

    def _details(self) -> dict[str, Any]:
        return {
            'in_flight': self._in_flight(),
            'waiting': self.sending.slots.waiting,
            'brokered_services': self.sending.brokerage.brokers.services(),
            'static_services': self.sending.brokerage.shares.services(),
        }
