"""Conversion of plain values whose error names the exact field.

msgspec writes ``[...]`` for the key of a mapping; the key is found by
converting the value again with one key of the mapping at a time.
"""

import copy
import re
from typing import Any, TypeVar

import msgspec
from returns import result

from jackdawlatch.model import failures, records

ANY_KEY = '...'
PART = re.compile(r'\.([^.\[\]]+)|\[([^\]]+)\]')
ERROR = re.compile(
    r'^(?P<expected>.*?)(?: - at (?P<key>`key` in )?`\$(?P<path>.*)`)?$'
)

RecordType = TypeVar('RecordType', bound=records.Record)


def convert(
    plain: Any, record_type: type[RecordType]
) -> result.Result[RecordType, failures.Invalid]:
    """Return a checked record, or the path of the field that is wrong."""
    try:
        return result.Success(msgspec.convert(plain, record_type))
    except msgspec.ValidationError as error:
        return result.Failure(_invalid(plain, record_type, str(error)))


def _invalid(
    plain: Any, record_type: type[records.Record], error: str
) -> failures.Invalid:
    found = ERROR.match(error)
    parts = _parts(found['path'] or '') if found else []
    expected = found['expected'] if found else error
    exact = _exact(plain, record_type, parts)
    path = _path(exact)
    place = path or 'document'
    return failures.Invalid(
        message=f'{place}: {expected}',
        path=path,
        expected=expected,
    )


def _parts(path: str) -> list[str]:
    return [name or index for name, index in PART.findall(path)]


def _exact(
    plain: Any, record_type: type[records.Record], parts: list[str]
) -> list[str]:
    exact: list[str] = []
    pruned = copy.deepcopy(plain)
    for part in parts:
        parent = _at(pruned, exact)
        if part == ANY_KEY and isinstance(parent, dict):
            part = _faulty_key(pruned, record_type, parent)
        exact.append(part)
    return exact


def _at(plain: Any, parts: list[str]) -> Any:
    for part in parts:
        plain = plain[_index(plain, part)]
    return plain


def _index(parent: Any, part: str) -> int | str:
    return int(part) if isinstance(parent, list | tuple) else part


def _faulty_key(
    root: Any, record_type: type[records.Record], parent: dict[str, Any]
) -> str:
    whole = dict(parent)
    for key, below in whole.items():
        parent.clear()
        parent[key] = below
        try:
            msgspec.convert(root, record_type)
        except msgspec.ValidationError:
            return key
    return ANY_KEY


def _path(parts: list[str]) -> str:
    return ''.join(map(_step, parts)).removeprefix('.')


def _step(part: str) -> str:
    return f'[{part}]' if part.isdigit() else f'.{part}'
