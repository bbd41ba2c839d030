"""Wires a placer from what its process has."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Coroutine
from typing import Any

from jackdawlatch.backends import workers
from jackdawlatch.model import clocks, hosts, presets
from jackdawlatch.placement import book, view
from jackdawlatch.placement import workers as judgements
from jackdawlatch.placer import daemon, planning, sites, tools, trackers
from jackdawlatch.store import keyvalue
from jackdawlatch.telemetry import events, invariants, meters


@dataclasses.dataclass(frozen=True)
class Process:
    """What a process gives to its placer."""

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
    """A placer, and what its process asks it about."""

    tools: tools.Tools
    planning: planning.Planning
    placer: daemon.Placer


def build(
    process: Process, authority: tools.Authority, options: book.Options
) -> Parts:
    """Wire a placer; nothing is started yet."""
    own = tools.Tools(
        authority=authority,
        book=book.Book(process.store, options, process.clock),
        clock=process.clock,
        health=judgements.Health(),
        meters=process.meters,
        invariants=process.invariants,
        ring=process.ring,
        rng=process.rng,
        sites=sites.Sites(process.membership, process.clock),
        spawn=process.spawn,
        tracker=trackers.Tracker(process.clock),
        view=view.View(),
        workers=process.workers,
    )
    plans = planning.Planning(own, process.configuration)
    placer = daemon.Placer(own, plans, options.shard, process.store)
    return Parts(own, plans, placer)
