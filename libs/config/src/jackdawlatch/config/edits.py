"""Edits of the configuration, as pure functions of it."""

import abc
import dataclasses
from typing import TypeVar

from jackdawlatch.model import presets, records

Item = TypeVar('Item')


class Edit(abc.ABC):
    """A change that an operator requests.

    ``scope`` lists the field paths that the edit depends on: it conflicts
    with a concurrent change of one of them, and with no other.
    """

    @property
    @abc.abstractmethod
    def scope(self) -> tuple[str, ...]:
        """Return the field paths that this edit depends on."""

    @abc.abstractmethod
    def apply(self, current: presets.Configuration) -> presets.Configuration:
        """Return the configuration with the change applied."""


@dataclasses.dataclass(frozen=True)
class Put(Edit):
    """Add a preset, pool or service, or replace the one of the same name."""

    item: presets.Preset | presets.Pool | presets.Service

    @property
    def scope(self) -> tuple[str, ...]:
        """Return the path of the item."""
        field = _field_name(type(self.item))
        name = self.item.name
        return (f'{field}.{name}',)

    def apply(self, current: presets.Configuration) -> presets.Configuration:
        """Return the configuration with the item added or replaced."""
        field = _field_name(type(self.item))
        items = {**getattr(current, field), self.item.name: self.item}
        return records.replace(current, **{field: items})


@dataclasses.dataclass(frozen=True)
class Remove(Edit):
    """Remove a preset, pool or service; no change if it does not exist."""

    item_type: type[presets.Preset] | type[presets.Pool] | type[presets.Service]
    name: str

    @property
    def scope(self) -> tuple[str, ...]:
        """Return the path of the item."""
        return (f'{_field_name(self.item_type)}.{self.name}',)

    def apply(self, current: presets.Configuration) -> presets.Configuration:
        """Return the configuration without the item."""
        field = _field_name(self.item_type)
        items = {
            name: item
            for name, item in getattr(current, field).items()
            if name != self.name
        }
        return records.replace(current, **{field: items})


@dataclasses.dataclass(frozen=True)
class PutInForce(Edit):
    """Put a preset in force."""

    name: str

    @property
    def scope(self) -> tuple[str, ...]:
        """Return the paths of the active preset's name and of this preset."""
        return ('in_force', f'presets_by_name.{self.name}')

    def apply(self, current: presets.Configuration) -> presets.Configuration:
        """Return the configuration with this preset in force."""
        return records.replace(current, in_force=self.name)


@dataclasses.dataclass(frozen=True)
class Replace(Edit):
    """Replace the whole configuration."""

    wanted: presets.Configuration

    @property
    def scope(self) -> tuple[str, ...]:
        """Return the paths of all fields that can be edited."""
        return (
            'in_force',
            'presets_by_name',
            'pools_by_name',
            'services_by_name',
        )

    def apply(self, current: presets.Configuration) -> presets.Configuration:
        """Return the replacement with the current version and edit ids."""
        return records.replace(
            current,
            **{field: getattr(self.wanted, field) for field in self.scope},
        )


def _field_name(
    item_type: type[presets.Preset]
    | type[presets.Pool]
    | type[presets.Service],
) -> str:
    name = item_type.__name__.lower()
    return f'{name}s_by_name'
