"""What the parts of an entry share."""

import dataclasses

from jackdawlatch.entry import fleet as fleets
from jackdawlatch.entry import members
from jackdawlatch.model import clocks
from jackdawlatch.node import roster as rosters
from jackdawlatch.peers import endpoint as endpoints
from jackdawlatch.routing import leaving
from jackdawlatch.telemetry import events, invariants, meters


@dataclasses.dataclass(frozen=True)
class Surroundings:
    """The process around the parts of an entry."""

    fleet: fleets.Fleet
    roster: rosters.Roster
    members: members.Members
    signs: leaving.Leaving
    endpoint: endpoints.Endpoint
    clock: clocks.Clock
    meters: meters.Meters
    invariants: invariants.Invariants
    ring: events.Ring
