"""Creates the components that every daemon has."""

import dataclasses
import random

from jackdawlatch.model import clocks
from jackdawlatch.node import documents, leadership, roster
from jackdawlatch.peers import endpoint, hybrid_clocks
from jackdawlatch.settings import daemons
from jackdawlatch.store import keyvalue
from jackdawlatch.telemetry import decisions, events, invariants, meters

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """The components that a role shares with its node."""

    settings: daemons.Daemon
    store: keyvalue.Store
    clock: clocks.Clock
    rng: random.Random
    meters: meters.Meters
    log: decisions.DecisionLog
    invariants: invariants.Invariants
    ring: events.Ring
    documents: documents.Documents
    roster: roster.Roster
    leaders: leadership.Leaders
    endpoint: endpoint.Endpoint


def build(
    settings: daemons.Daemon, role: str, store: keyvalue.Store
) -> Dependencies:
    """Create the components of one process without starting them."""
    clock = clocks.SystemClock()
    local_peer = roster.Peer(
        id=settings.id,
        role=role,
        zone=settings.zone,
        shard=settings.shard,
        peer_address=settings.peer_address,
        operations_address=settings.operations_address,
        started_s=clock.wall_s(),
    )
    hybrid_clock = hybrid_clocks.HybridClock(clock, f'{role}/{settings.id}')
    process_meters = meters.Meters(role, settings.id)
    peer_endpoint = endpoint.Endpoint(
        hybrid_clock, settings.peer_delay_ms / MS_PER_S
    )
    unfinished = peer_endpoint.unfinished
    process_meters.gauge('peer_unfinished_bytes', lambda: unfinished.held_bytes)
    process_meters.gauge('peer_streams_closed', lambda: unfinished.closed)
    return Dependencies(
        settings=settings,
        store=store,
        clock=clock,
        rng=random.Random(),
        meters=process_meters,
        log=decisions.DecisionLog(settings.id, clock, process_meters),
        invariants=invariants.Invariants(
            process_meters, settings.strict_invariants
        ),
        ring=events.Ring(hybrid_clock.now),
        documents=documents.Documents(),
        roster=roster.Roster(local_peer, clock),
        leaders=leadership.Leaders(),
        endpoint=peer_endpoint,
    )
