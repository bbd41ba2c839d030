"""The parts that every daemon is made of, wired in one place."""

import dataclasses
import random

from jackdawlatch.model import clocks
from jackdawlatch.node import documents, leadership, roster
from jackdawlatch.peers import endpoint, stamps
from jackdawlatch.settings import daemons
from jackdawlatch.store import keyvalue
from jackdawlatch.telemetry import events, invariants, meters

MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True)
class Parts:
    """What a role may use of its node."""

    settings: daemons.Daemon
    store: keyvalue.Store
    clock: clocks.Clock
    rng: random.Random
    meters: meters.Meters
    invariants: invariants.Invariants
    ring: events.Ring
    documents: documents.Documents
    roster: roster.Roster
    leaders: leadership.Leaders
    endpoint: endpoint.Endpoint


def build(settings: daemons.Daemon, role: str, store: keyvalue.Store) -> Parts:
    """Wire the parts of one process; nothing is started yet."""
    clock = clocks.SystemClock()
    own = roster.Peer(
        id=settings.id,
        role=role,
        zone=settings.zone,
        shard=settings.shard,
        peer_address=settings.peer_address,
        operations_address=settings.operations_address,
        started_s=clock.wall_s(),
    )
    hybrid = stamps.HybridClock(clock, f'{role}/{settings.id}')
    instruments = meters.Meters(role, settings.id)
    return Parts(
        settings=settings,
        store=store,
        clock=clock,
        rng=random.Random(),
        meters=instruments,
        invariants=invariants.Invariants(
            instruments, settings.strict_invariants
        ),
        ring=events.Ring(hybrid.now),
        documents=documents.Documents(),
        roster=roster.Roster(own, clock),
        leaders=leadership.Leaders(),
        endpoint=endpoint.Endpoint(
            hybrid, settings.peer_delay_ms / MILLISECONDS
        ),
    )
