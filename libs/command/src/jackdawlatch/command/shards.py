"""Reads and edits the membership of the settings' shard."""

from returns import result

from jackdawlatch.command import session
from jackdawlatch.membership import operators
from jackdawlatch.model import clocks, failures, hosts
from jackdawlatch.node import documents
from jackdawlatch.store import editing


async def membership(
    opened: session.Session,
) -> result.Result[hosts.Membership, failures.Problem]:
    """Return the present membership of the settings' shard."""
    key = f'{documents.MEMBERSHIP_PREFIX}{opened.settings.shard}'
    return await editing.Editor(opened.store, key, hosts.Membership()).read()


def operators_of(opened: session.Session) -> operators.Operators:
    """Return the edits that operators may make."""
    return operators.Operators(
        opened.store, opened.settings.shard, clocks.SystemClock()
    )
