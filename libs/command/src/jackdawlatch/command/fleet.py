"""Commands on hosts and maintenance waves."""

import dataclasses

from returns import result

from jackdawlatch.command import operation, session
from jackdawlatch.model import failures, hosts
from jackdawlatch.node import documents
from jackdawlatch.store import editing

HOST_COLUMNS = 16
POOL_COLUMNS = 14


@dataclasses.dataclass(frozen=True)
class ListHosts(operation.Operation):
    """Lists hosts with pool, phase and liveness."""

    pool: str = ''

    async def run(self, opened: session.Session) -> operation.Reported:
        """Read the membership."""
        found = await membership(opened)
        if isinstance(found, result.Failure):
            return found
        value = found.unwrap()
        chosen = {
            host: assignment
            for host, assignment in sorted(value.assignments_by_host.items())
            if self.pool in {'', assignment.pool}
        }
        lines = tuple(
            host_line(host, assignment, value)
            for host, assignment in chosen.items()
        )
        return result.Success(operation.Report(chosen, lines))


@dataclasses.dataclass(frozen=True)
class ListWaves(operation.Operation):
    """Lists waves and how far they are."""

    async def run(self, opened: session.Session) -> operation.Reported:
        """Read the membership."""
        found = await membership(opened)
        if isinstance(found, result.Failure):
            return found
        waves = found.unwrap().waves_by_id
        lines = tuple(wave_line(wave) for _, wave in sorted(waves.items()))
        return result.Success(operation.Report(waves, lines))


async def membership(
    opened: session.Session,
) -> result.Result[hosts.Membership, failures.Problem]:
    """Return the present membership of the settings' shard."""
    key = f'{documents.MEMBERSHIP_PREFIX}{opened.settings.shard}'
    return await editing.Editor(opened.store, key, hosts.Membership()).read()


def host_line(
    host: str, assignment: hosts.Assignment, value: hosts.Membership
) -> str:
    """Return a host as one line of text."""
    known = value.hosts_by_id.get(host, hosts.Host(id=host, zone='', rack=''))
    columns = (
        host.ljust(HOST_COLUMNS),
        assignment.pool.ljust(POOL_COLUMNS),
        assignment.phase,
        known.liveness,
        known.zone,
        known.rack,
        assignment.wave,
        assignment.next_pool,
    )
    return ' '.join(columns).rstrip()


def wave_line(wave: hosts.Wave) -> str:
    """Return a wave as one line of text."""
    state = f'halted: {wave.reason}' if wave.halted else 'running'
    total = len(wave.done) + len(wave.remaining)
    return f'{wave.id} pool={wave.pool} {len(wave.done)}/{total} {state}'
