"""The composition root of an entry: builds, starts and drains it."""

import asyncio
import contextlib
from typing import Any

from returns import result

from jackdawlatch.backends import http_runners, runners
from jackdawlatch.entry import (
    client_guards,
    entry_peers,
    explainer,
    fleet,
    job_handlers,
    jobs,
    keyed_components,
    request_router,
    sending_components,
    server,
    shared_dependencies,
)
from jackdawlatch.entry import settings as entry_settings
from jackdawlatch.node import daemon
from jackdawlatch.placement import job_registry
from jackdawlatch.routing import leaving
from jackdawlatch.store import keyvalue

ROLE = 'entry'
# How long nothing may be in flight before a drain goes on.
IDLE_S = 0.3
FLUSH_TIMEOUT_S = 2
IDLE_POLL_S = 0.05


class Root:
    """An entry: its node and all components, wired together."""

    def __init__(
        self,
        settings: entry_settings.Entry,
        store: keyvalue.Store,
        own_runners: runners.Runners | None = None,
    ) -> None:
        self.settings = settings
        self.node = daemon.Node(settings, ROLE, store)
        node_dependencies = self.node.dependencies
        leaving_hosts = leaving.LeavingHosts()
        self.dependencies = shared_dependencies.Dependencies(
            fleet=fleet.Fleet(node_dependencies.documents, leaving_hosts),
            roster=node_dependencies.roster,
            entry_peers=entry_peers.EntryPeers(
                node_dependencies.roster, node_dependencies.endpoint
            ),
            leaving_hosts=leaving_hosts,
            endpoint=node_dependencies.endpoint,
            clock=node_dependencies.clock,
            meters=node_dependencies.meters,
            invariants=node_dependencies.invariants,
            ring=node_dependencies.ring,
        )
        self.sending = sending_components.build(
            self.dependencies,
            own_runners or http_runners.HttpRunners(node_dependencies.clock),
        )
        self.keyed = keyed_components.build(
            self.dependencies, store, settings, self.sending.dispatcher.run
        )
        self.router = request_router.RequestRouter(
            self.dependencies,
            self.sending.dispatcher.run,
            self.keyed.forwarder.run,
        )
        self.server = server.build_server(
            server.Context(
                router=self.router,
                jobs=jobs.Jobs(
                    self.dependencies.fleet,
                    job_registry.JobRegistry(
                        store,
                        job_registry.Options(settings.shard),
                        node_dependencies.clock,
                    ),
                ),
            ),
            client_guards.create(
                settings, self.dependencies, node_dependencies.log
            ),
            job_handlers.ROUTES,
        )
        node_dependencies.documents.subscribe(self._refresh)

    async def start(self) -> result.Result[None, daemon.AddressTaken]:
        """Start the node, listen for callers and start the background loops.

        Fails with ``AddressTaken`` if an address can't be listened on.
        """
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
        self.node.explain = explainer.Explainer(self.dependencies.ring).explain
        self.node.spawn(self.keyed.ownership.run())
        self.node.spawn(self.sending.slots.run())
        self.node.spawn(self.sending.gateway.brokers.run())
        self.node.spawn(self.sending.gateway.static_brokers.run())
        return result.Success(None)

    async def run(self) -> None:
        """Serve until stopped, then drain the requests in flight."""
        await self.node.run(self._drain)

    async def _drain(self) -> None:
        await self._retire()
        # From here on, replies carry ``Connection: close``.
        self.router.draining = True
        # The load balancer sends requests until it notices the shutdown.
        await asyncio.sleep(self.settings.drain_delay_s)
        self.server.stop_accepting()
        await self._wait_until_idle()
        await self.server.close_all_connections()
        await self._flush()

    async def _retire(self) -> None:
        await self.dependencies.entry_peers.retire()
        # Report the held slots at once to the brokers that take over.
        await self.sending.slots.synchronize()

    async def _flush(self) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.keyed.requests.flush(), FLUSH_TIMEOUT_S)

    async def _wait_until_idle(self) -> None:
        """Return once nothing has been in flight for ``IDLE_S`` seconds."""
        clock = self.dependencies.clock
        last_busy_s = clock.monotonic_s()
        while clock.monotonic_s() < last_busy_s + IDLE_S:
            await asyncio.sleep(IDLE_POLL_S)
            if self._in_flight():
                last_busy_s = clock.monotonic_s()

    def _in_flight(self) -> int:
        return self.router.in_flight + self.keyed.in_flight

    def _refresh(self, _key: str) -> None:
        self.sending.gateway.refresh()

    def _details(self) -> dict[str, Any]:
        return {
            'in_flight': self._in_flight(),
            'waiting': self.sending.slots.waiting,
            'brokered_services': self.sending.gateway.brokers.services(),
            'static_services': self.sending.gateway.static_brokers.services(),
        }
