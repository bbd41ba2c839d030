"""The HTTP servers of the daemon, each with its own bounds."""

import dataclasses
from collections.abc import Callable

from jackdawlatch.jobs import intake
from jackdawlatch.listeners import bounds, closings, guard, roster, server
from jackdawlatch.model import clocks
from jackdawlatch.platform import ingress
from jackdawlatch.policy import unfinished
from jackdawlatch.telemetry import decisions, meters
from jackdawlatch.unified import metrics, readiness
from jackdawlatch.unified import settings as unified_settings

MEGABYTE = 1024 * 1024
# One half of the memory for clients is for connections that send nothing, the
# other one for the requests on them.
REQUESTS_FRACTION = 0.5
# A host that is smaller than the reserve still serves a few clients.
MIN_CLIENTS_MB = 8
MIN_CONNECTIONS = 16


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """What the servers work with."""

    job_intake: intake.Intake
    is_ready: Callable[[], bool]
    clock: clocks.Clock
    instruments: meters.Meters
    log: decisions.DecisionLog


class Servers:
    """The servers for callers, the load balancer and the operator."""

    def __init__(
        self, settings: unified_settings.Unified, dependencies: Dependencies
    ) -> None:
        self._settings = settings
        self._dependencies = dependencies
        self._limits = client_bounds(settings.host, settings.limits)
        control = self._limits.for_control()
        self.front = self._create(
            'front',
            ('.*', ingress.JobHandler, {'job_intake': dependencies.job_intake}),
            self._limits,
        )
        self._ready = self._create(
            'ready',
            (
                '/ready',
                readiness.ReadyHandler,
                {'is_ready': dependencies.is_ready},
            ),
            control,
        )
        self._metrics = self._create(
            'metrics',
            (
                '/metrics',
                metrics.MetricsHandler,
                {'instruments': dependencies.instruments},
            ),
            control,
        )

    def listen(self) -> None:
        """Listen on all addresses; raises ``OSError`` if one is not available."""
        front_host, _, front_port = self._settings.front_address.rpartition(':')
        ready_host, _, ready_port = self._settings.ready_address.rpartition(':')
        self.front.listen(int(front_port), front_host)
        self._ready.listen(int(ready_port), ready_host)
        self._metrics.listen(self._settings.metrics_port, front_host)

    def stop(self) -> None:
        """Stop listening."""
        for one in (self.front, self._ready, self._metrics):
            one.stop()

    def _create(
        self, name: str, route: server.Route, limits: bounds.Bounds
    ) -> server.BoundedServer:
        instruments = self._dependencies.instruments
        closed = closings.Closings(name, instruments, self._dependencies.log)
        clients = guard.Guard(
            roster.Roster(limits, self._dependencies.clock, closed)
        )
        instruments.gauge(f'{name}_connections', lambda: len(clients.roster))
        instruments.gauge(f'{name}_request_bytes', lambda: clients.held_bytes)
        return server.create([route], clients)


def client_bounds(
    host: unified_settings.Host, limits: unified_settings.Limits
) -> bounds.Bounds:
    """Return the bounds of the server for callers."""
    memory_mb = max(host.memory_mb - limits.reserve_mb, MIN_CLIENTS_MB)
    memory = memory_mb * MEGABYTE
    budget = memory * REQUESTS_FRACTION
    descriptors = host.descriptors - limits.reserved_descriptors
    return bounds.Bounds(
        max_connections=min(
            max(descriptors, MIN_CONNECTIONS),
            bounds.connections_within(
                memory - budget, limits.receive_buffer_bytes
            ),
        ),
        budget_bytes=int(budget),
        max_body_bytes=limits.max_body_bytes,
        max_header_bytes=limits.max_header_bytes,
        receive_buffer_bytes=limits.receive_buffer_bytes,
        pace=unfinished.Pace(
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            min_bytes_per_s=limits.min_bytes_per_s,
        ),
    )
