"""Builds a placer from the services of its process."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Coroutine
from typing import Any

from jackdawlatch.backends import workers
from jackdawlatch.model import clocks, hosts, presets
from jackdawlatch.placement import book, view, worker_health
from jackdawlatch.placer import daemon, host_status, planning, shared, trackers
from jackdawlatch.store import keyvalue
from jackdawlatch.telemetry import events, invariants, meters


@dataclasses.dataclass(frozen=True)
class Process:
    """The services that a process provides to its placer."""

    store: keyvalue.Store
    workers: workers.Workers
    clock: clocks.Clock
    rng: random.Random
    meters: meters.Meters
    invariants: invariants.Invariants
    ring: events.Ring
    spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]
    membership: Callable[[], hosts.Membership]
    configuration: Callable[[], presets.Configuration]


@dataclasses.dataclass(frozen=True)
class Parts:
    """A placer and the components that its process queries."""

    context: shared.Context
    round_planner: planning.RoundPlanner
    placer: daemon.Placer


def build(
    process: Process, authority: shared.Authority, options: book.Options
) -> Parts:
    """Build a placer without starting it."""
    context = shared.Context(
        authority=authority,
        job_registry=book.Book(process.store, options, process.clock),
        clock=process.clock,
        health=worker_health.Health(),
        meters=process.meters,
        invariants=process.invariants,
        ring=process.ring,
        rng=process.rng,
        host_status=host_status.HostStatus(process.membership, process.clock),
        spawn=process.spawn,
        tracker=trackers.Tracker(process.clock),
        view=view.View(),
        workers=process.workers,
    )
    round_planner = planning.RoundPlanner(context, process.configuration)
    placer = daemon.Placer(context, round_planner, options.shard, process.store)
    return Parts(context, round_planner, placer)
