"""The collaborators that the components of an entry share."""

import dataclasses

from jackdawlatch.entry import entry_peers
from jackdawlatch.entry import fleet as fleets
from jackdawlatch.model import clocks
from jackdawlatch.node import roster as rosters
from jackdawlatch.peers import endpoint as endpoints
from jackdawlatch.routing import leaving
from jackdawlatch.telemetry import events, invariants, meters


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """The collaborators of the components of an entry."""

    fleet: fleets.Fleet
    roster: rosters.Roster
    entry_peers: entry_peers.EntryPeers
    leaving_hosts: leaving.LeavingHosts
    endpoint: endpoints.Endpoint
    clock: clocks.Clock
    meters: meters.Meters
    invariants: invariants.Invariants
    ring: events.Ring
