"""The composition root of the unified daemon."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

from absl import logging

from jackdawlatch.jobs import intake, queues, stored
from jackdawlatch.model import clocks
from jackdawlatch.platform import (
    advice,
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
    pools,
    waves,
)
from jackdawlatch.scheduler import observers as scheduler_observers
from jackdawlatch.store import following, monitored
from jackdawlatch.telemetry import decisions, meters
from jackdawlatch.unified import connections, gauges, observers, servers
from jackdawlatch.unified import settings as unified_settings

MILLISECONDS_PER_SECOND = 1000
# The load balancer checks readiness once a second and stops sending requests
# after two failed checks.
BALANCER_REMOVAL_S = 2.5
# Hosts apply a configuration within this time.  If no host has one, lasting tasks
# need a leader all the same.
CONFIGURATION_WAIT_S = 3.0
CONFIGURATION_POLL_S = 0.02
DRAIN_IDLE_S = 0.3
DRAIN_POLL_S = 0.05
# Draining has to end before the platform kills the process, which it does at
# the end of the grace period.
DRAIN_FRACTION = 0.8


class Root:
    """Creates all components of the daemon and runs them until SIGTERM.

    ``failed`` tells whether the daemon stopped because a component failed.
    """

    def __init__(self, settings: unified_settings.Unified) -> None:
        self.failed = False
        self._settings = settings
        self._clock = clocks.SuspendAwareClock()
        instruments = meters.Meters('unified', settings.name)
        self._log = decisions.DecisionLog(
            settings.name, self._clock, instruments
        )
        self._clients = connections.Clients(settings.limits, instruments)
        self._store = monitored.MonitoredStore(
            store.PlatformStore(settings.store_address, self._clients.store()),
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
            intake.Dependencies(
                self._store, self._clock, self._log, instruments
            )
        )
        self._lease_sightings = scheduler_observers.LeaseSightings(self._clock)
        self._leader: leader.Leader | None = None
        self._operator_observer = observers.OperatorObserver(
            self._intake, lambda: self._leader, self._log
        )
        self._servers = servers.Servers(
            settings,
            servers.Dependencies(
                self._intake,
                self._is_ready,
                self._clock,
                instruments,
                self._log,
            ),
        )
        gauges.register(instruments, self._intake, lambda: self._leader)

    def listen(self) -> None:
        """Listen on all addresses; raises ``OSError`` if one is not available."""
        self._servers.listen()

    async def run(self) -> None:
        """Run until SIGTERM, then drain and close."""
        self._log.note('start', zone=self._settings.zone)
        self._handle_signals()
        fleet_observer = observers.FleetObserver(
            self._election, self._intake, self._lease_sightings
        )
        for prefix, observer in (
            (operator.PREFIX, self._operator_observer),
            (stored.FLEET_PREFIX, fleet_observer),
        ):
            follower = following.Follower(
                self._store, prefix, observer, following.WatchTiming()
            )
            self._spawn(follower.run())
        self._spawn(self._lead())
        await self._stopping.wait()
        await self._drain()
        self._log.note('stop', dropped_lines=self._log.dropped)
        self.close()

    def close(self) -> None:
        """Stop listening and cancel all background tasks."""
        self._servers.stop()
        for task in tuple(self._tasks):
            task.cancel()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)

    async def _lead(self) -> None:
        # Others lead meanwhile, who know the teams of the jobs they read.
        await _wait_for_configuration(self._intake, self._clock)
        while True:
            term = await self._election.win()
            self._log.note('leading', token=term.token)
            clients = self._clients.term()
            self._leader = self._new_leader(term, clients)
            self._operator_observer.add_known_waves(self._leader)
            renewal = asyncio.create_task(self._election.keep_renewing())
            await self._leader.run()
            renewal.cancel()
            self._leader = None
            clients.close()
            self._log.note('not-leading', token=term.token)
            await self._election.resign()

    def _new_leader(
        self, term: persistence.Term, clients: connections.Connections
    ) -> leader.Leader:
        bounds = self._settings.bounds
        return leader.Leader(
            leader.Dependencies(
                store=self._store,
                clock=self._clock,
                log=self._log,
                worker_client=workers.RunnerClient(
                    clients.requests,
                    clients.waiting_polls,
                    lambda: self._election.leading,
                ),
                machine_client=machines.HttpMachineClient(
                    self._settings.machines_address,
                    self._settings.name,
                    clients.machine_requests,
                    lambda: self._election.leading,
                ),
                advice_client=advice.HttpAdviceClient(
                    self._settings.advice_address, clients.requests
                ),
                directory=workers.RunnerDirectory(),
                lease_sightings=self._lease_sightings,
                leading=lambda: self._election.leading,
                held=lambda: self._election.term is not None,
                settings=leader.Settings(
                    bounds=cluster_state.Bounds(
                        lease_s=bounds.lease_ms / MILLISECONDS_PER_SECOND,
                        stop_s=bounds.stop_ms / MILLISECONDS_PER_SECOND,
                        report_s=bounds.report_ms / MILLISECONDS_PER_SECOND,
                    ),
                    retention_s=bounds.retention_s,
                    pools=pools.Limits(
                        migration_s=bounds.migration_s,
                        moves_per_s=bounds.moves_per_s,
                    ),
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
        # Other hosts may reach the store while it refuses this one.
        return serving and self._store.answering

    async def _drain(self) -> None:
        """Answer requests until the connections are idle or the time is up.

        Requests still arrive until the load balancer has noticed that this
        daemon is not ready, and after that on connections that are open.
        """
        self._log.note('draining')
        self._intake.draining = True
        deadline_s = self._clock.monotonic_s() + (
            self._settings.bounds.drain_s * DRAIN_FRACTION
        )
        await self._election.step_aside()
        await asyncio.sleep(BALANCER_REMOVAL_S)
        self._servers.front.stop()
        idle_since_s = self._clock.monotonic_s()
        while self._clock.monotonic_s() < min(
            idle_since_s + DRAIN_IDLE_S, deadline_s
        ):
            await asyncio.sleep(DRAIN_POLL_S)
            if self._intake.in_flight:
                idle_since_s = self._clock.monotonic_s()
        await self._servers.front.close_all_connections()
        await self._election.withdraw()

    def _on_reload(self) -> None:
        self._log.note('reload', outcome='settings apply at the next start')

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # A daemon that lacks one of its loops must not go on serving.
            logging.error('background task failed', exc_info=task.exception())
            self.failed = True
            self._stopping.set()


async def _wait_for_configuration(
    job_intake: intake.Intake, clock: clocks.Clock
) -> None:
    deadline_s = clock.monotonic_s() + CONFIGURATION_WAIT_S
    while job_intake.catalog.version == queues.NO_VERSION:
        if clock.monotonic_s() >= deadline_s:
            return
        await asyncio.sleep(CONFIGURATION_POLL_S)
