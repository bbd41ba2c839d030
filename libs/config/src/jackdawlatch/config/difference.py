"""The typed difference of two configurations, by field path."""

import dataclasses
import enum
from collections.abc import Iterator
from typing import Any

import msgspec

from jackdawlatch.model import presets, records

# These fields describe the write, not what operators asked for.
BOOKKEEPING = frozenset(('version', 'edit_id', 'recent_edit_ids'))


class ChangeType(enum.StrEnum):
    """What happened to a field."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class FieldChange(records.Record, frozen=True, kw_only=True):
    """One field that differs; ``before`` and ``after`` are JSON text.

    The side on which the field does not exist is empty.
    """

    path: str
    type: ChangeType
    before: str = ''
    after: str = ''

    def line(self) -> str:
        """Return the change as one line of text."""
        if self.type is ChangeType.ADDED:
            return f'+ {self.path}: {self.after}'
        if self.type is ChangeType.REMOVED:
            return f'- {self.path}: {self.before}'
        return f'~ {self.path}: {self.before} -> {self.after}'


Difference = tuple[FieldChange, ...]


@dataclasses.dataclass(frozen=True)
class Sides:
    """The two plain values that a field has."""

    before: Any
    after: Any


def between(
    before: presets.Configuration, after: presets.Configuration
) -> Difference:
    """Return what an operator would have to change to get ``after``."""
    sides = Sides(_plain(before), _plain(after))
    return tuple(_walk('', sides))


def within(difference: Difference, path: str) -> Difference:
    """Return the changes at a path, below it or around it."""
    return tuple(
        change
        for change in difference
        if _covers(change.path, path) or _covers(path, change.path)
    )


def _covers(outer: str, inner: str) -> bool:
    return inner == outer or inner.startswith((f'{outer}.', f'{outer}['))


def _plain(configuration: presets.Configuration) -> dict[str, Any]:
    fields: dict[str, Any] = msgspec.to_builtins(configuration)
    return {
        name: field for name, field in fields.items() if name not in BOOKKEEPING
    }


def _walk(path: str, sides: Sides) -> Iterator[FieldChange]:
    if sides.before == sides.after:
        return
    if isinstance(sides.before, dict) and isinstance(sides.after, dict):
        yield from _walk_names(path, sides)
        return
    yield FieldChange(
        path=path,
        type=ChangeType.CHANGED,
        before=_text(sides.before),
        after=_text(sides.after),
    )


def _walk_names(path: str, sides: Sides) -> Iterator[FieldChange]:
    for name in sorted(sides.before.keys() | sides.after.keys()):
        below = f'{path}.{name}' if path else name
        if name not in sides.before:
            yield FieldChange(
                path=below,
                type=ChangeType.ADDED,
                after=_text(sides.after[name]),
            )
        elif name not in sides.after:
            yield FieldChange(
                path=below,
                type=ChangeType.REMOVED,
                before=_text(sides.before[name]),
            )
        else:
            pair = Sides(sides.before[name], sides.after[name])
            yield from _walk(below, pair)


def _text(plain: Any) -> str:
    return msgspec.json.encode(plain).decode()
