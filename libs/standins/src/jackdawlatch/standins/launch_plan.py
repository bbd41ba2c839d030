"""The program and settings of each process of a deployment."""

import dataclasses
import itertools
from collections.abc import Iterator

from jackdawlatch.model import records
from jackdawlatch.settings import daemons
from jackdawlatch.standins import back_ends, deployments, serving

STANDINS_PACKAGE = 'jackdawlatch.standins'


@dataclasses.dataclass(frozen=True)
class Launch:
    """One process; ``probe`` is a URL that answers 200 once it is ready."""

    name: str
    program: tuple[str, ...]
    settings: records.Record
    probe: str


def launches(
    deployment: deployments.Deployment, by_rack: bool
) -> tuple[Launch, ...]:
    """Return every process, in the order in which they are started.

    With ``by_rack``, the runners and the workers of each rack have processes
    of their own, so that the loss of one rack can be simulated.
    """
    daemons_in_order = itertools.chain(
        _daemons('entry', dict(deployment.entries_by_name)),
        _daemons('steward', dict(deployment.stewards_by_name)),
        _daemons('placer', dict(deployment.placers_by_name)),
    )
    return (
        _standin('store', 'store', deployment.store, deployment.store.port),
        _standin('hosts', 'hosts', deployment.hosts, deployment.hosts.port),
        *_back_ends(deployment, by_rack),
        *daemons_in_order,
    )


def _back_ends(
    deployment: deployments.Deployment, by_rack: bool
) -> Iterator[Launch]:
    if by_rack:
        for rack in deployment.racks:
            yield _runners(f'runners-{rack.name}', rack.runners)
            yield _workers(f'workers-{rack.name}', rack.workers)
    else:
        yield _runners('runners', deployment.runners)
        yield _workers('workers', deployment.workers)


def _runners(name: str, settings: back_ends.Runners) -> Launch:
    return _standin(name, 'runners', settings, settings.runners[-1].port)


def _workers(name: str, settings: back_ends.Workers) -> Launch:
    return _standin(name, 'workers', settings, settings.workers[-1].port)


def _standin(
    name: str, kind: str, settings: records.Record, port: int
) -> Launch:
    probe = f'http://{serving.LOOPBACK}:{port}/healthz'
    return Launch(name, (STANDINS_PACKAGE, kind), settings, probe)


def _daemons(
    role: str, settings_by_name: dict[str, daemons.Daemon]
) -> Iterator[Launch]:
    for name, settings in settings_by_name.items():
        yield Launch(
            name,
            (f'jackdawlatch.{role}',),
            settings,
            f'http://{settings.operations_address}/readyz',
        )
