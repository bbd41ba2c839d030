"""The settings of every process of a deployment on one machine."""

import dataclasses
import pathlib
from collections.abc import Mapping

import msgspec

from jackdawlatch.command import settings as command_settings
from jackdawlatch.entry import settings as entry_settings
from jackdawlatch.settings import daemons
from jackdawlatch.standins import (
    back_ends,
    hostlist,
    inventory,
    ports,
    profiles,
    serving,
)
from jackdawlatch.steward import settings as steward_settings

SEEDS = 3


@dataclasses.dataclass(frozen=True)
class Place:
    """The entry host with a number: its zone, and what its daemons share."""

    number: int
    zone: str
    peer: str
    seeds: tuple[str, ...]
    store_url: str
    one_way_ms: float
    strict: bool


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Everything that is started, by the name of its process."""

    profile: profiles.Profile
    store: back_ends.Store
    hosts: hostlist.Settings
    racks: tuple[inventory.Rack, ...]
    entries_by_name: Mapping[str, entry_settings.Entry]
    stewards_by_name: Mapping[str, steward_settings.Steward]
    placers_by_name: Mapping[str, daemons.Daemon]
    operator: command_settings.Operator

    @property
    def runners(self) -> back_ends.Runners:
        """The runners of all racks, for one process."""
        return back_ends.Runners(
            runners=tuple(
                one for rack in self.racks for one in rack.runners.runners
            )
        )

    @property
    def workers(self) -> back_ends.Workers:
        """The workers of all racks, for one process."""
        return back_ends.Workers(
            workers=tuple(
                one for rack in self.racks for one in rack.workers.workers
            )
        )


def build(
    profile: profiles.Profile,
    free: ports.Ports,
    executions: pathlib.Path | None = None,
) -> Deployment:
    """Return the settings of all processes, at ports from ``free``.

    Where runs are written down below ``executions``, a violated invariant
    is an error in every daemon.
    """
    store = back_ends.Store(port=free.take())
    control = _url(free.take())
    racks = inventory.racks(profile, free, control, executions)
    places = _places(profile, _url(store.port), free, executions is not None)
    entries = [_entry(place, free) for place in places]
    stewards = [_steward(place, free, control) for place in places]
    placers = [_placer(place, free) for place in places]
    return Deployment(
        profile=profile,
        store=store,
        hosts=hostlist.Settings(
            port=int(control.rpartition(':')[2]),
            hosts=tuple(host for rack in racks for host in rack.members),
        ),
        racks=racks,
        entries_by_name={one.id: one for one in entries},
        stewards_by_name={one.id: one for one in stewards},
        placers_by_name={one.id: one for one in placers},
        operator=command_settings.Operator(
            store_addresses=(_url(store.port),),
            operations_addresses=tuple(
                one.operations_address for one in entries
            ),
        ),
    )


def _places(
    profile: profiles.Profile, store_url: str, free: ports.Ports, strict: bool
) -> tuple[Place, ...]:
    peers = tuple(_address(free) for _ in range(profile.entries))
    return tuple(
        Place(
            number=number + 1,
            zone=profile.zones[number % len(profile.zones)],
            peer=peer,
            seeds=peers[:SEEDS],
            store_url=store_url,
            one_way_ms=profile.one_way_ms,
            strict=strict,
        )
        for number, peer in enumerate(peers)
    )


def _entry(place: Place, free: ports.Ports) -> entry_settings.Entry:
    shared = _daemon('entry', place, place.peer, free)
    return entry_settings.Entry(
        **msgspec.structs.asdict(shared), http_address=_address(free)
    )


def _steward(
    place: Place, free: ports.Ports, control: str
) -> steward_settings.Steward:
    shared = _daemon('steward', place, _address(free), free)
    return steward_settings.Steward(
        **msgspec.structs.asdict(shared), hosts_address=control
    )


def _placer(place: Place, free: ports.Ports) -> daemons.Daemon:
    return _daemon('placer', place, _address(free), free)


def _daemon(
    role: str, place: Place, peer: str, free: ports.Ports
) -> daemons.Daemon:
    return daemons.Daemon(
        id=f'{role}-{place.number}',
        zone=place.zone,
        peer_address=peer,
        operations_address=_address(free),
        store_addresses=(place.store_url,),
        seed_addresses=place.seeds,
        peer_delay_ms=place.one_way_ms,
        strict_invariants=place.strict,
    )


def _address(free: ports.Ports) -> str:
    return f'{serving.LOOPBACK}:{free.take()}'


def _url(port: int) -> str:
    return f'http://{serving.LOOPBACK}:{port}'
