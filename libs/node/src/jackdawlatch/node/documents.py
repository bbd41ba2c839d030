"""Local copies of the fleet's accepted documents.

The documents are the configuration and the membership of each shard.
"""

import dataclasses
from collections.abc import Callable
from typing import TypeVar

import msgspec

from jackdawlatch.model import hosts, keys, presets, records

CONFIG_KEY = keys.CONFIG
MEMBERSHIP_PREFIX = keys.MEMBERSHIP_PREFIX

RecordType = TypeVar('RecordType', bound=records.Record)
Listener = Callable[[str], None]


class Document(records.Record, frozen=True, kw_only=True):
    """An accepted value of the store and its store revision."""

    key: str
    revision: int
    content: bytes


@dataclasses.dataclass(frozen=True)
class Decoded:
    """A document and its decoded content."""

    document: Document
    record: records.Record


class Documents:
    """Keeps the highest revision of each document and ignores older ones.

    Documents come from the store's watch, from peers and from the command
    line, in any order and possibly more than once.
    """

    def __init__(self) -> None:
        self._decoded_by_key: dict[str, Decoded] = {}
        self._listeners: list[Listener] = []

    @property
    def configuration(self) -> presets.Configuration:
        """Return the newest configuration, an empty one if there is none."""
        found = self._decoded_by_key.get(CONFIG_KEY)
        if found and isinstance(found.record, presets.Configuration):
            return found.record
        return presets.Configuration()

    def membership(self, shard: str) -> hosts.Membership:
        """Return the membership of a shard, an empty one if there is none."""
        found = self._decoded_by_key.get(MEMBERSHIP_PREFIX + shard)
        if found and isinstance(found.record, hosts.Membership):
            return found.record
        return hosts.Membership()

    def memberships(self) -> tuple[hosts.Membership, ...]:
        """Return the membership of every shard."""
        return tuple(
            found.record
            for found in self._decoded_by_key.values()
            if isinstance(found.record, hosts.Membership)
        )

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with the key of each document that changes."""
        self._listeners.append(listener)

    def apply(self, document: Document) -> bool:
        """Apply a document if it is newer; return whether it was.

        Raises ``msgspec.DecodeError`` if the content is malformed and its
        subclass ``msgspec.ValidationError`` if the key is unknown.
        """
        if document.revision <= self.revision_of(document.key):
            return False
        record_type = _type_of(document.key)
        record = records.decode(document.content, record_type)
        self._decoded_by_key[document.key] = Decoded(document, record)
        for listener in self._listeners:
            listener(document.key)
        return True

    def revision_of(self, key: str) -> int:
        """Return the revision of a document, 0 if there is none."""
        found = self._decoded_by_key.get(key)
        return found.document.revision if found else 0

    def revisions_by_key(self) -> dict[str, int]:
        """Return the revision of every document."""
        return {
            key: found.document.revision
            for key, found in self._decoded_by_key.items()
        }

    def newer_than(
        self, revisions_by_key: dict[str, int]
    ) -> tuple[Document, ...]:
        """Return the documents newer than the given revisions."""
        return tuple(
            found.document
            for key, found in self._decoded_by_key.items()
            if found.document.revision > revisions_by_key.get(key, 0)
        )


def is_document(key: str) -> bool:
    """Return whether a store key holds a document."""
    return key == CONFIG_KEY or key.startswith(MEMBERSHIP_PREFIX)


def _type_of(key: str) -> type[records.Record]:
    if key == CONFIG_KEY:
        return presets.Configuration
    if key.startswith(MEMBERSHIP_PREFIX):
        return hosts.Membership
    raise msgspec.ValidationError(f'{key} is not the key of a document')
