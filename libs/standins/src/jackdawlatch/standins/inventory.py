"""The hosts of a deployment, with the settings of their stand-ins."""

import dataclasses
import pathlib

from jackdawlatch.model import hosts
from jackdawlatch.standins import (
    back_ends,
    ports,
    profiles,
    runner_state,
    serving,
    worker_settings,
)


@dataclasses.dataclass(frozen=True)
class Rack:
    """The hosts of one rack, with the settings of their back ends."""

    name: str
    members: tuple[hosts.Host, ...]
    runners: back_ends.Runners
    workers: back_ends.Workers


def build_racks(
    profile: profiles.Profile,
    free_ports: ports.Ports,
    control: str,
    executions: pathlib.Path | None = None,
) -> tuple[Rack, ...]:
    """Return all racks, assigned to the zones in turn.

    ``control`` is the base URL at which hosts are rebooted.  Runs are logged
    below the directory ``executions``, if one is given.
    """
    count = profiles.HOSTS_PER_POOL * len(profile.pools)
    numbers = range(0, count, profiles.HOSTS_PER_RACK)
    return tuple(
        _rack(
            profile,
            tuple(
                _host(profile, free_ports, control, number)
                for number in range(
                    first, min(first + profiles.HOSTS_PER_RACK, count)
                )
            ),
            executions,
        )
        for first in numbers
    )


def _host(
    profile: profiles.Profile,
    free_ports: ports.Ports,
    control: str,
    number: int,
) -> hosts.Host:
    rack = number // profiles.HOSTS_PER_RACK
    host_id = f'host-{number + 1:02}'
    return hosts.Host(
        id=host_id,
        zone=profile.zones[rack % len(profile.zones)],
        rack=f'rack-{rack + 1}',
        runner=_url(free_ports),
        worker=_url(free_ports),
        control=f'{control}/hosts/{host_id}',
        capacity=hosts.Capacity(
            processors=profile.processors,
            memory_mb=profiles.MEMORY_GB * profiles.MB_PER_GB,
        ),
    )


def _rack(
    profile: profiles.Profile,
    members: tuple[hosts.Host, ...],
    executions: pathlib.Path | None,
) -> Rack:
    return Rack(
        name=members[0].rack,
        members=members,
        runners=back_ends.Runners(
            runners=tuple(
                runner_state.Settings(
                    host=host.id,
                    port=_port(host.runner),
                    delay_ms=profile.one_way_ms,
                    executions_path=_log_path(executions, f'{host.id}.runs'),
                )
                for host in members
            )
        ),
        workers=back_ends.Workers(
            workers=tuple(
                worker_settings.Settings(
                    host=host.id,
                    port=_port(host.worker),
                    capacity=host.capacity,
                    executions_path=_log_path(executions, f'{host.id}.starts'),
                )
                for host in members
            )
        ),
    )


def _log_path(directory: pathlib.Path | None, name: str) -> str:
    return str(directory / name) if directory else ''


def _url(free_ports: ports.Ports) -> str:
    return f'http://{serving.LOOPBACK}:{free_ports.take()}'


def _port(url: str) -> int:
    return int(url.rpartition(':')[2])
