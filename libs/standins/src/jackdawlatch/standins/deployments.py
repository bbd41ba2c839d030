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
class DaemonHost:
    """One host of the daemons: an entry, a steward and a placer.

    ``peer`` is the entry's peer address, ``seeds`` are the peer addresses at
    which every daemon joins, and ``one_way_ms`` is the network latency.
    """

    number: int
    zone: str
    peer: str
    seeds: tuple[str, ...]
    store_url: str
    one_way_ms: float
    strict: bool


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The settings of all processes, and the operator's."""

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
        """The settings of one process that serves the runners of all racks."""
        return back_ends.Runners(
            runners=tuple(
                one for rack in self.racks for one in rack.runners.runners
            )
        )

    @property
    def workers(self) -> back_ends.Workers:
        """The settings of one process that serves the workers of all racks."""
        return back_ends.Workers(
            workers=tuple(
                one for rack in self.racks for one in rack.workers.workers
            )
        )


def build(
    profile: profiles.Profile,
    free_ports: ports.Ports,
    executions: pathlib.Path | None = None,
) -> Deployment:
    """Return the settings of all processes, with ports of ``free_ports``.

    If a directory ``executions`` is given, runners and workers log their runs
    there, and every daemon treats a violated invariant as an error.
    """
    store = back_ends.Store(port=free_ports.take())
    host_list_url = _url(free_ports.take())
    racks = inventory.build_racks(
        profile, free_ports, host_list_url, executions
    )
    daemon_hosts = _daemon_hosts(
        profile, _url(store.port), free_ports, executions is not None
    )
    entries = [_entry(daemon_host, free_ports) for daemon_host in daemon_hosts]
    stewards = [
        _steward(daemon_host, free_ports, host_list_url)
        for daemon_host in daemon_hosts
    ]
    placers = [_placer(daemon_host, free_ports) for daemon_host in daemon_hosts]
    return Deployment(
        profile=profile,
        store=store,
        hosts=hostlist.Settings(
            port=int(host_list_url.rpartition(':')[2]),
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


def _daemon_hosts(
    profile: profiles.Profile,
    store_url: str,
    free_ports: ports.Ports,
    strict: bool,
) -> tuple[DaemonHost, ...]:
    peers = tuple(_address(free_ports) for _ in range(profile.entries))
    return tuple(
        DaemonHost(
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


def _entry(
    daemon_host: DaemonHost, free_ports: ports.Ports
) -> entry_settings.Entry:
    shared = _daemon('entry', daemon_host, daemon_host.peer, free_ports)
    return entry_settings.Entry(
        **msgspec.structs.asdict(shared), http_address=_address(free_ports)
    )


def _steward(
    daemon_host: DaemonHost, free_ports: ports.Ports, host_list_url: str
) -> steward_settings.Steward:
    shared = _daemon('steward', daemon_host, _address(free_ports), free_ports)
    return steward_settings.Steward(
        **msgspec.structs.asdict(shared), hosts_address=host_list_url
    )


def _placer(daemon_host: DaemonHost, free_ports: ports.Ports) -> daemons.Daemon:
    return _daemon('placer', daemon_host, _address(free_ports), free_ports)


def _daemon(
    role: str, daemon_host: DaemonHost, peer: str, free_ports: ports.Ports
) -> daemons.Daemon:
    return daemons.Daemon(
        id=f'{role}-{daemon_host.number}',
        zone=daemon_host.zone,
        peer_address=peer,
        operations_address=_address(free_ports),
        store_addresses=(daemon_host.store_url,),
        seed_addresses=daemon_host.seeds,
        peer_delay_ms=daemon_host.one_way_ms,
        strict_invariants=daemon_host.strict,
    )


def _address(free_ports: ports.Ports) -> str:
    return f'{serving.LOOPBACK}:{free_ports.take()}'


def _url(port: int) -> str:
    return f'http://{serving.LOOPBACK}:{port}'
