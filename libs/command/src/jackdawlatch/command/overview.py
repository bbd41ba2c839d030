"""The command that shows the state of every process."""

import asyncio
import dataclasses

import msgspec
from returns import result

from jackdawlatch.command import operation, session
from jackdawlatch.node import daemon

WHO_COLUMNS = 20
ZONE_COLUMNS = 12


@dataclasses.dataclass(frozen=True)
class ShowStatus(operation.Operation):
    """Shows every live daemon with what it has applied."""

    async def run(self, opened: session.Session) -> operation.Reported:
        """Ask each daemon for its status."""
        peers = await opened.daemons()
        statuses = await asyncio.gather(
            *(
                opened.ask(peer.operations_address, '/status', daemon.Status)
                for peer in peers
            )
        )
        content = [
            one.unwrap() for one in statuses if isinstance(one, result.Success)
        ]
        silent = [
            f'{peer.role}/{peer.id}: no answer'
            for peer, one in zip(peers, statuses, strict=True)
            if isinstance(one, result.Failure)
        ]
        if not content:
            return result.Failure(
                session.Unreachable(
                    message='no daemon answered',
                    hint='check operations_addresses in the settings',
                )
            )
        lines = (*(_status_line(one) for one in content), *silent)
        return result.Success(operation.Report(content, lines))


def _status_line(status: daemon.Status) -> str:
    ready = 'ready' if status.ready else 'not-ready'
    store = 'store-ok' if status.store_reachable else 'store-lost'
    leading = ','.join(status.leading)
    columns = (
        f'{status.peer.role}/{status.peer.id}'.ljust(WHO_COLUMNS),
        status.peer.zone.ljust(ZONE_COLUMNS),
        ready,
        store,
        f'v{status.configuration_version}',
        status.in_force,
        f'leads={leading}',
        msgspec.json.encode(status.details).decode(),
    )
    return ' '.join(columns)
