"""Fields of a JSON document that its record type does not have.

Decoding ignores them, so a misspelt field silently keeps its default.
"""

import dataclasses
import difflib
import re
from collections.abc import Iterator
from typing import Any

from msgspec import inspect

from jackdawlatch.config import findings

# Fields at least this similar to a known one are taken for misspelt.
SIMILARITY = 0.8
INDEX = re.compile(r'\[\d+\]')


@dataclasses.dataclass(frozen=True)
class Finder:
    """Finds unknown fields, except for those of the paths in ``exempt``.

    A path in ``exempt`` has no indexes, as in ``routes.type``.
    """

    exempt: frozenset[str] = frozenset()

    def find(
        self, json_value: Any, record_type: type[Any]
    ) -> Iterator[findings.Finding]:
        """Yield a finding for each unknown field of a decoded document."""
        yield from self._walk('', json_value, inspect.type_info(record_type))

    def _walk(
        self, path: str, json_value: Any, known: inspect.Type
    ) -> Iterator[findings.Finding]:
        if isinstance(known, inspect.UnionType):
            for member in known.types:
                yield from self._walk(path, json_value, member)
        elif isinstance(json_value, list):
            yield from self._walk_items(path, json_value, known)
        elif isinstance(json_value, dict):
            yield from self._walk_fields(path, json_value, known)

    def _walk_items(
        self, path: str, children: list[Any], known: inspect.Type
    ) -> Iterator[findings.Finding]:
        if isinstance(known, inspect.VarTupleType):
            for index, child in enumerate(children):
                yield from self._walk(
                    f'{path}[{index}]', child, known.item_type
                )

    def _walk_fields(
        self, path: str, fields: dict[str, Any], known: inspect.Type
    ) -> Iterator[findings.Finding]:
        if not isinstance(known, inspect.StructType):
            return
        types_by_name = {
            field.encode_name: field.type for field in known.fields
        }
        for name, child in fields.items():
            child_path = f'{path}.{name}' if path else name
            child_type = types_by_name.get(name)
            if child_type is not None:
                yield from self._walk(child_path, child, child_type)
            elif INDEX.sub('', child_path) not in self.exempt:
                yield _unknown(child_path, name, list(types_by_name))


def _unknown(path: str, name: str, known: list[str]) -> findings.Finding:
    similar = difflib.get_close_matches(name, known, 1, SIMILARITY)
    if similar:
        return findings.error(path, f'unknown field, expected {similar[0]}')
    return findings.warning(path, 'unknown field, which no daemon reads')
