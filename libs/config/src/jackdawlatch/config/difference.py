"""The difference between two configurations, field by field."""

import dataclasses
import enum
from collections.abc import Iterator
from typing import Any

import msgspec

from jackdawlatch.model import presets, records

# These fields describe the last write, not the configuration itself.
METADATA_FIELDS = frozenset(('version', 'edit_id', 'recent_edit_ids'))


class ChangeType(enum.StrEnum):
    """What happened to a field."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


class FieldChange(records.Record, frozen=True, kw_only=True):
    """A field that differs; ``before`` and ``after`` are JSON text.

    That of the configuration that does not have the field is empty.
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
class ValuePair:
    """The values of a field before and after, as JSON types."""

    before: Any
    after: Any


def between(
    before: presets.Configuration, after: presets.Configuration
) -> Difference:
    """Return the changes that lead from ``before`` to ``after``."""
    pair = ValuePair(_editable_fields(before), _editable_fields(after))
    return tuple(changes('', pair))


def within(difference: Difference, path: str) -> Difference:
    """Return the changes of a field, of its descendants and its ancestors."""
    return tuple(
        change
        for change in difference
        if _covers(change.path, path) or _covers(path, change.path)
    )


def _covers(outer: str, inner: str) -> bool:
    return inner == outer or inner.startswith((f'{outer}.', f'{outer}['))


def _editable_fields(configuration: presets.Configuration) -> dict[str, Any]:
    fields: dict[str, Any] = msgspec.to_builtins(configuration)
    return {
        name: field
        for name, field in fields.items()
        if name not in METADATA_FIELDS
    }


def changes(path: str, pair: ValuePair) -> Iterator[FieldChange]:
    """Yield the changes below a path."""
    if pair.before == pair.after:
        return
    if isinstance(pair.before, dict) and isinstance(pair.after, dict):
        yield from _mapping_changes(path, pair)
        return
    yield FieldChange(
        path=path,
        type=ChangeType.CHANGED,
        before=_json_text(pair.before),
        after=_json_text(pair.after),
    )


def _mapping_changes(path: str, pair: ValuePair) -> Iterator[FieldChange]:
    for name in sorted(pair.before.keys() | pair.after.keys()):
        child_path = f'{path}.{name}' if path else name
        if name not in pair.before:
            yield FieldChange(
                path=child_path,
                type=ChangeType.ADDED,
                after=_json_text(pair.after[name]),
            )
        elif name not in pair.after:
            yield FieldChange(
                path=child_path,
                type=ChangeType.REMOVED,
                before=_json_text(pair.before[name]),
            )
        else:
            child_pair = ValuePair(pair.before[name], pair.after[name])
            yield from changes(child_path, child_pair)


def _json_text(json_value: Any) -> str:
    return msgspec.json.encode(json_value).decode()
