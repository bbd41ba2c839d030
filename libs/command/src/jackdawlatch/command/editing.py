"""Reads and edits the configuration on behalf of the commands."""

import asyncio
from collections.abc import Mapping
from typing import Any

from returns import result

from jackdawlatch.command import known, operation, session
from jackdawlatch.config import difference, edits, outcomes
from jackdawlatch.config import editor as editors
from jackdawlatch.model import failures, presets, records
from jackdawlatch.node import daemon, documents, roster
from jackdawlatch.store import keyvalue

WAIT_S = 7
POLL_S = 0.05


class Edited(records.Record, frozen=True, kw_only=True):
    """An accepted edit; ``changed`` is false when nothing had to change.

    ``applied_by`` and ``silent`` list the daemons that have, and have not,
    said that they applied it, when the command waited for them.
    """

    version: int
    changed: bool
    applied_by: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()


async def read(
    opened: session.Session,
) -> result.Result[presets.Configuration, failures.Problem]:
    """Return the present configuration."""
    return await editors.Editor(opened.store).read()


def by_name(
    configuration: presets.Configuration, item_type: type[Any]
) -> Mapping[str, Any]:
    """Return the items of one type."""
    if item_type is presets.Preset:
        return configuration.presets_by_name
    if item_type is presets.Pool:
        return configuration.pools_by_name
    return configuration.services_by_name


async def apply(
    opened: session.Session,
    edit: edits.Edit,
    based_on: editors.Base,
    wait: bool,
) -> operation.Reported:
    """Make an edit, hand it to the live daemons and wait if asked to."""
    peers = await opened.daemons()
    editor = editors.Editor(opened.store, known.POLICIES)
    outcome = await editor.edit(edit, based_on)
    if isinstance(outcome, result.Failure):
        return outcome
    applied = outcome.unwrap()
    changed = isinstance(applied, outcomes.Applied)
    if changed and editor.last_entry:
        await opened.hand_over(_document(editor.last_entry), peers)
    edited = Edited(version=applied.version, changed=changed)
    if wait:
        edited = await _wait(opened, edited, peers)
    word = 'applied' if changed else 'unchanged'
    lines = [f'{word}: version {edited.version}']
    if wait:
        lines.append(f'in force in {len(edited.applied_by)} processes')
        lines.extend(f'no word from {who}' for who in edited.silent)
    return result.Success(operation.Report(edited, tuple(lines)))


def difference_lines(changes: difference.Difference) -> tuple[str, ...]:
    """Return a difference as lines of text."""
    return tuple(change.line() for change in changes)


async def _wait(
    opened: session.Session,
    edited: Edited,
    peers: tuple[roster.Peer, ...],
) -> Edited:
    """Ask each daemon until it has the version, at most ``WAIT_S``."""
    applied = await asyncio.gather(
        *(_applies(opened, peer, edited.version) for peer in peers)
    )
    names = [f'{peer.role}/{peer.id}' for peer in peers]
    pairs = tuple(zip(names, applied, strict=True))
    return records.replace(
        edited,
        applied_by=tuple(name for name, one in pairs if one),
        silent=tuple(name for name, one in pairs if not one),
    )


async def _applies(
    opened: session.Session, peer: roster.Peer, version: int
) -> bool:
    address = peer.operations_address
    for _ in range(int(WAIT_S / POLL_S)):
        answered = await opened.ask(address, '/status', daemon.Status)
        if isinstance(answered, result.Failure):
            return False
        if answered.unwrap().configuration_version >= version:
            return True
        await asyncio.sleep(POLL_S)
    return False


def _document(entry: keyvalue.Entry) -> documents.Document:
    return documents.Document(
        key=entry.key, revision=entry.revision, content=entry.value
    )
