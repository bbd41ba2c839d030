"""Reads and edits the stored configuration for the commands."""

import asyncio
from collections.abc import Mapping
from typing import Any

from returns import result

from jackdawlatch.command import constraints, fleet_client, operation
from jackdawlatch.config import difference, edits, outcomes
from jackdawlatch.config import editor as editors
from jackdawlatch.model import failures, presets, records
from jackdawlatch.node import daemon, documents, roster
from jackdawlatch.store import keyvalue

MAX_WAIT_S = 7
POLL_INTERVAL_S = 0.05


class Edited(records.Record, frozen=True, kw_only=True):
    """An accepted edit; ``changed`` is false if it changed nothing.

    If the command waited for the daemons, ``applied_by`` lists those that
    reported the version and ``silent`` those that did not.
    """

    version: int
    changed: bool
    applied_by: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()


async def read_configuration(
    client: fleet_client.FleetClient,
) -> result.Result[presets.Configuration, failures.Problem]:
    """Read the current configuration from the store."""
    return await editors.Editor(client.store).read()


def items_by_name(
    configuration: presets.Configuration, item_type: type[Any]
) -> Mapping[str, Any]:
    """Return the presets, pools or services of a configuration."""
    if item_type is presets.Preset:
        return configuration.presets_by_name
    if item_type is presets.Pool:
        return configuration.pools_by_name
    return configuration.services_by_name


async def apply_edit(
    client: fleet_client.FleetClient,
    edit: edits.Edit,
    based_on: editors.Base,
    wait: bool,
) -> operation.Outcome:
    """Write an edit to the store and send it to the live daemons.

    With ``wait``, also wait until the daemons have applied it.
    """
    peers = await client.daemons()
    editor = editors.Editor(client.store, constraints.SUPPORTED_POLICIES)
    outcome = await editor.edit(edit, based_on)
    if isinstance(outcome, result.Failure):
        return outcome
    applied = outcome.unwrap()
    changed = isinstance(applied, outcomes.Applied)
    if changed and editor.last_entry:
        await client.send_document(_to_document(editor.last_entry), peers)
    edited = Edited(version=applied.version, changed=changed)
    if wait:
        edited = await _poll_daemons(client, edited, peers)
    state = 'applied' if changed else 'unchanged'
    lines = [f'{state}: version {edited.version}']
    if wait:
        lines.append(f'applied by {len(edited.applied_by)} daemons')
        lines.extend(
            f'not confirmed by {daemon_name}' for daemon_name in edited.silent
        )
    return result.Success(operation.Report(edited, tuple(lines)))


def format_difference(changes: difference.Difference) -> tuple[str, ...]:
    """Return one line of text per changed field."""
    return tuple(change.line() for change in changes)


async def _poll_daemons(
    client: fleet_client.FleetClient,
    edited: Edited,
    peers: tuple[roster.Peer, ...],
) -> Edited:
    """Poll the daemons until they have the version, up to ``MAX_WAIT_S``.

    A daemon that does not answer a poll is not polled again.
    """
    applied = await asyncio.gather(
        *(_reaches_version(client, peer, edited.version) for peer in peers)
    )
    names = [f'{peer.role}/{peer.id}' for peer in peers]
    pairs = tuple(zip(names, applied, strict=True))
    return records.replace(
        edited,
        applied_by=tuple(name for name, is_applied in pairs if is_applied),
        silent=tuple(name for name, is_applied in pairs if not is_applied),
    )


async def _reaches_version(
    client: fleet_client.FleetClient, peer: roster.Peer, version: int
) -> bool:
    address = peer.operations_address
    for _ in range(int(MAX_WAIT_S / POLL_INTERVAL_S)):
        response = await client.get(address, '/status', daemon.Status)
        if isinstance(response, result.Failure):
            return False
        if response.unwrap().configuration_version >= version:
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False


def _to_document(entry: keyvalue.Entry) -> documents.Document:
    return documents.Document(
        key=entry.key, revision=entry.revision, content=entry.value
    )
