"""The command that shows the status of the daemons."""

import asyncio
import dataclasses

import msgspec
from returns import result

from jackdawlatch.command import fleet_client, operation
from jackdawlatch.node import daemon

DAEMON_WIDTH_CHARS = 20
ZONE_WIDTH_CHARS = 12


@dataclasses.dataclass(frozen=True)
class ShowStatus(operation.Operation):
    """Shows the status of every live daemon."""

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Request the status of each daemon."""
        peers = await client.daemons()
        responses = await asyncio.gather(
            *(
                client.get(peer.operations_address, '/status', daemon.Status)
                for peer in peers
            )
        )
        content = [
            response.unwrap()
            for response in responses
            if isinstance(response, result.Success)
        ]
        failed = [
            f'{peer.role}/{peer.id}: no answer'
            for peer, response in zip(peers, responses, strict=True)
            if isinstance(response, result.Failure)
        ]
        if not content:
            return result.Failure(
                fleet_client.Unreachable(
                    message='no daemon answered',
                    hint='check operations_addresses in the settings',
                )
            )
        lines = (*(_status_line(status) for status in content), *failed)
        return result.Success(operation.Report(content, lines))


def _status_line(status: daemon.Status) -> str:
    ready = 'ready' if status.ready else 'not-ready'
    store = 'store-ok' if status.store_reachable else 'store-lost'
    leading = ','.join(status.leading)
    columns = (
        f'{status.peer.role}/{status.peer.id}'.ljust(DAEMON_WIDTH_CHARS),
        status.peer.zone.ljust(ZONE_WIDTH_CHARS),
        ready,
        store,
        f'v{status.configuration_version}',
        status.in_force,
        f'leads={leading}',
        msgspec.json.encode(status.details).decode(),
    )
    return ' '.join(columns)
