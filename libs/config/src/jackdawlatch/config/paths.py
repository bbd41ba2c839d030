"""Conversion of JSON values to records, with the exact path in errors.

msgspec writes ``[...]`` for the key of a mapping; the key is found by
converting the value again with one key of the mapping at a time.
"""

import copy
import re
from typing import Any, TypeVar

import msgspec
from returns import result

from jackdawlatch.model import failures, records

UNKNOWN_KEY = '...'
PATH_PART = re.compile(r'\.([^.\[\]]+)|\[([^\]]+)\]')
MSGSPEC_ERROR = re.compile(
    r'^(?P<expected>.*?)(?: - at (?P<key>`key` in )?`\$(?P<path>.*)`)?$'
)

RecordType = TypeVar('RecordType', bound=records.Record)


def convert(
    json_value: Any, record_type: type[RecordType]
) -> result.Result[RecordType, failures.Invalid]:
    """Return the validated record, or a failure with the field's path."""
    try:
        return result.Success(msgspec.convert(json_value, record_type))
    except msgspec.ValidationError as error:
        return result.Failure(_invalid(json_value, record_type, str(error)))


def _invalid(
    json_value: Any, record_type: type[records.Record], error: str
) -> failures.Invalid:
    match = MSGSPEC_ERROR.match(error)
    parts = _split_path(match['path'] or '') if match else []
    expected = match['expected'] if match else error
    resolved = _resolve_keys(json_value, record_type, parts)
    path = _format_path(resolved)
    location = path or 'document'
    return failures.Invalid(
        message=f'{location}: {expected}',
        path=path,
        expected=expected,
    )


def _split_path(path: str) -> list[str]:
    return [name or index for name, index in PATH_PART.findall(path)]


def _resolve_keys(
    json_value: Any, record_type: type[records.Record], parts: list[str]
) -> list[str]:
    resolved: list[str] = []
    # Only the containers on the path are copied, however deep the others are.
    pruned = _copied(json_value)
    parent = pruned
    for part in parts:
        if resolved:
            parent = _copy_child(parent, resolved[-1])
        if part == UNKNOWN_KEY and isinstance(parent, dict):
            part = _invalid_key(pruned, record_type, parent)
        resolved.append(part)
    return resolved


def _copy_child(parent: Any, part: str) -> Any:
    index = _index(parent, part)
    parent[index] = _copied(parent[index])
    return parent[index]


def _copied(container: Any) -> Any:
    if isinstance(container, tuple):
        return list(container)
    return copy.copy(container)


def _index(parent: Any, part: str) -> int | str:
    return int(part) if isinstance(parent, list | tuple) else part


def _invalid_key(
    root: Any, record_type: type[records.Record], parent: dict[str, Any]
) -> str:
    # Converts ``root`` with one child of ``parent`` at a time; the invalid one
    # is left in place, so that errors deeper down are found in it.
    children = dict(parent)
    for key, child in children.items():
        parent.clear()
        parent[key] = child
        try:
            msgspec.convert(root, record_type)
        except msgspec.ValidationError:
            return key
    return UNKNOWN_KEY


def _format_path(parts: list[str]) -> str:
    return ''.join(map(_format_part, parts)).removeprefix('.')


def _format_part(part: str) -> str:
    return f'[{part}]' if part.isdigit() else f'.{part}'
