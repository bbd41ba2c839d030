"""The composition root of the unified daemon."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

from absl import logging

from jackdawlatch.backends import exchange
from jackdawlatch.jobs import intake, queues, stored
from jackdawlatch.model import clocks
from jackdawlatch.platform import (
    advice,
    ingress,
    machines,
    operator,
    store,
    workers,
)
from jackdawlatch.scheduler import (
    cluster_state,
    election,
    leader,
    persistence,
    waves,
)
from jackdawlatch.store import following, monitored
from jackdawlatch.telemetry import decisions, meters
from jackdawlatch.unified import metrics, observers
from jackdawlatch.unified import settings as unified_settings

MILLISECONDS = 1000
STORE_CONNECTIONS = 24
WORKER_CONNECTIONS = 160
# The balancer stops sending after two misses, asked once a second.
BALANCER_S = 2.5
QUIET_S = 0.3
POLL_S = 0.05
# The platform kills a process at the end of its grace period.
DRAIN_FRACTION = 0.8


class Root:
    """Wires the parts, and runs them until SIGTERM."""

    def __init__(self, settings: unified_settings.Unified) -> None:
        self.failed = False
        self._settings = settings
        self._clock = clocks.SuspendAwareClock()
        instruments = meters.Meters('unified', settings.name)
        self._metrics = metrics.server(instruments)
        self._log = decisions.DecisionLog(
            settings.name, self._clock, instruments
        )
        self._store = monitored.MonitoredStore(
            store.PlatformStore(
                settings.store_address, exchange.Client(STORE_CONNECTIONS)
            ),
            monitored.Watchdog(self._clock, instruments),
        )
        self._stopping = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._election = election.Election(
            election.Candidate(
                settings.name,
                self._store,
                self._clock,
                election.candidacy_delay_s(
                    settings.host.cores, settings.host.link_mbps
                ),
            )
        )
        self._intake = intake.Intake(
            intake.Parts(self._store, self._clock, self._log)
        )
        self._leader: leader.Leader | None = None
        self._orders = observers.OrderObserver(
            self._intake, lambda: self._leader, self._log
        )
        self._front = ingress.front(self._intake)
        self._ready = ingress.ready(self._is_ready)

    def listen(self) -> None:
        """Listen on all addresses; raises ``OSError``."""
        for server, address in (
            (self._front, self._settings.front_address),
            (self._ready, self._settings.ready_address),
        ):
            host, _, port = address.rpartition(':')
            server.listen(int(port), host)
        host = self._settings.front_address.rpartition(':')[0]
        self._metrics.listen(self._settings.metrics_port, host)

    async def run(self) -> None:
        """Run until SIGTERM, then answer what is in flight."""
        self._log.note('start', zone=self._settings.zone)
        self._handle_signals()
        fleet = observers.FleetObserver(self._election, self._intake)
        for prefix, observer in (
            (operator.PREFIX, self._orders),
            (stored.FLEET_PREFIX, fleet),
        ):
            follower = following.Follower(
                self._store, prefix, observer, following.Pace()
            )
            self._spawn(follower.run())
        self._spawn(self._lead())
        await self._stopping.wait()
        await self._drain()
        self._log.note('stop', dropped_lines=self._log.dropped)
        self.close()

    def close(self) -> None:
        """Stop listening, and cancel all background work."""
        for server in (self._front, self._ready, self._metrics):
            server.stop()
        for task in tuple(self._tasks):
            task.cancel()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reloaded)

    async def _lead(self) -> None:
        while True:
            term = await self._election.win()
            self._log.note('leading', token=term.token)
            self._leader = self._new_leader(term)
            self._orders.brief(self._leader)
            keeping = asyncio.create_task(self._election.keep_renewing())
            await self._leader.run()
            keeping.cancel()
            self._leader = None
            self._log.note('not-leading', token=term.token)
            await self._election.resign()

    def _new_leader(self, term: persistence.Term) -> leader.Leader:
        bounds = self._settings.bounds
        client = exchange.Client(WORKER_CONNECTIONS)
        return leader.Leader(
            leader.Dependencies(
                store=self._store,
                clock=self._clock,
                log=self._log,
                worker_client=workers.RunnerClient(client),
                machine_client=machines.CloudClient(
                    self._settings.machines_address,
                    self._settings.name,
                    client,
                ),
                advice_client=advice.HintClient(
                    self._settings.advice_address, client
                ),
                directory=workers.RunnerDirectory(),
                leading=lambda: self._election.leading,
                held=lambda: self._election.term is not None,
                settings=leader.Settings(
                    bounds=cluster_state.Bounds(
                        lease_s=bounds.lease_ms / MILLISECONDS,
                        stop_s=bounds.stop_ms / MILLISECONDS,
                    ),
                    retention_s=bounds.retention_s,
                    migration_s=bounds.migration_s,
                    moves_per_s=bounds.moves_per_s,
                    waves=waves.Settings(
                        maintenance_s=bounds.maintenance_s,
                        status=operator.wave_status,
                    ),
                ),
            ),
            term,
            self._intake.catalog,
        )

    def _is_ready(self) -> bool:
        configured = self._intake.catalog.version != queues.NO_VERSION
        serving = configured and not self._stopping.is_set()
        # Other entries may reach a store that turns this host away.
        return serving and self._store.answering

    async def _drain(self) -> None:
        """Answer what is in flight, and what open connections still bring."""
        self._log.note('draining')
        self._intake.draining = True
        ends_s = self._clock.monotonic_s() + (
            self._settings.bounds.drain_s * DRAIN_FRACTION
        )
        await self._election.withdraw()
        await asyncio.sleep(BALANCER_S)
        self._front.stop()
        quiet_s = self._clock.monotonic_s()
        while self._clock.monotonic_s() < min(quiet_s + QUIET_S, ends_s):
            await asyncio.sleep(POLL_S)
            if self._intake.in_flight:
                quiet_s = self._clock.monotonic_s()
        await self._front.close_all_connections()

    def _reloaded(self) -> None:
        self._log.note('reload', outcome='settings apply at the next start')

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # A daemon without one of its loops is worse than none.
            logging.error('background work failed', exc_info=task.exception())
            self.failed = True
            self._stopping.set()
