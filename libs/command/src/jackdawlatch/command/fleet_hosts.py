"""Commands on the hosts of the fleet."""

import dataclasses
from collections.abc import Callable

from returns import result

from jackdawlatch.command import fleet_client, operation, shard_membership
from jackdawlatch.model import hosts

HOST_WIDTH_CHARS = 16
POOL_WIDTH_CHARS = 14


@dataclasses.dataclass(frozen=True)
class ListHosts(operation.Operation):
    """Lists the hosts of one pool, or of all, with phase and liveness."""

    pool: str = ''

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Read the membership of the shard."""
        found = await shard_membership.read(client)
        if isinstance(found, result.Failure):
            return found
        membership = found.unwrap()
        selected = {
            host: assignment
            for host, assignment in sorted(
                membership.assignments_by_host.items()
            )
            if self.pool in {'', assignment.pool}
        }
        lines = tuple(
            host_line(host, assignment, membership)
            for host, assignment in selected.items()
        )
        return result.Success(operation.Report(selected, lines))


@dataclasses.dataclass(frozen=True)
class MoveHost(operation.Operation):
    """Drains a host and moves it to another pool."""

    host: str
    pool: str

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Start the move, if the budget of the pool allows it."""
        moved = await shard_membership.operator_edits(client).move(
            self.host, self.pool
        )
        return moved.map(_host_report(self.host))


@dataclasses.dataclass(frozen=True)
class DrainHost(operation.Operation):
    """Drains and reboots a host."""

    host: str

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Start the drain, if the budget of the pool allows it."""
        drained = await shard_membership.operator_edits(client).drain(self.host)
        return drained.map(_host_report(self.host))


def _host_report(
    host: str,
) -> Callable[[hosts.Membership], operation.Report]:
    def report(membership: hosts.Membership) -> operation.Report:
        assignment = membership.assignments_by_host[host]
        line = host_line(host, assignment, membership)
        return operation.Report(assignment, (line,))

    return report


def host_line(
    host: str, assignment: hosts.Assignment, membership: hosts.Membership
) -> str:
    """Format a host as one line of text."""
    host_record = membership.hosts_by_id.get(
        host, hosts.Host(id=host, zone='', rack='')
    )
    columns = (
        host.ljust(HOST_WIDTH_CHARS),
        assignment.pool.ljust(POOL_WIDTH_CHARS),
        assignment.phase,
        host_record.liveness,
        host_record.zone,
        host_record.rack,
        assignment.wave,
        assignment.next_pool,
    )
    return ' '.join(columns).rstrip()
