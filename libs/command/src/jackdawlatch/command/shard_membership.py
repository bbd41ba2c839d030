"""Access to the membership of the shard named in the settings."""

from returns import result

from jackdawlatch.command import fleet_client
from jackdawlatch.membership import operators
from jackdawlatch.model import clocks, failures, hosts
from jackdawlatch.node import documents
from jackdawlatch.store import editing


async def read(
    client: fleet_client.FleetClient,
) -> result.Result[hosts.Membership, failures.Problem]:
    """Read the current membership from the store."""
    key = f'{documents.MEMBERSHIP_PREFIX}{client.settings.shard}'
    return await editing.Editor(client.store, key, hosts.Membership()).read()


def operator_edits(client: fleet_client.FleetClient) -> operators.Operators:
    """Return the edits of the membership that operators can make."""
    return operators.Operators(
        client.store, client.settings.shard, clocks.SystemClock()
    )
