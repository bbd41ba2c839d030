"""Commands on hosts."""

import dataclasses
from collections.abc import Callable

from returns import result

from jackdawlatch.command import operation, session, shards
from jackdawlatch.model import hosts

HOST_COLUMNS = 16
POOL_COLUMNS = 14


@dataclasses.dataclass(frozen=True)
class ListHosts(operation.Operation):
    """Lists hosts with pool, phase and liveness."""

    pool: str = ''

    async def run(self, opened: session.Session) -> operation.Reported:
        """Read the membership."""
        found = await shards.membership(opened)
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
class MoveHost(operation.Operation):
    """Drains a host and moves it to another pool."""

    host: str
    pool: str

    async def run(self, opened: session.Session) -> operation.Reported:
        """Write the move, if the budget allows."""
        moved = await shards.operators_of(opened).move(self.host, self.pool)
        return moved.map(_host_report(self.host))


@dataclasses.dataclass(frozen=True)
class DrainHost(operation.Operation):
    """Drains and reboots a host."""

    host: str

    async def run(self, opened: session.Session) -> operation.Reported:
        """Write the drain, if the budget allows."""
        drained = await shards.operators_of(opened).drain(self.host)
        return drained.map(_host_report(self.host))


def _host_report(
    host: str,
) -> Callable[[hosts.Membership], operation.Report]:
    def report(value: hosts.Membership) -> operation.Report:
        assignment = value.assignments_by_host[host]
        line = host_line(host, assignment, value)
        return operation.Report(assignment, (line,))

    return report


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
