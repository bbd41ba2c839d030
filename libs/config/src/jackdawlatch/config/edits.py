"""The edits that operators make, as pure functions of the configuration."""

import abc
import dataclasses
from typing import TypeVar

from jackdawlatch.model import presets, records

Item = TypeVar('Item')


class Edit(abc.ABC):
    """One change that an operator asks for.

    ``scope`` lists the field paths on which the operator's decision rests:
    a rival's change to one of them is a conflict, any other is not.
    """

    @property
    @abc.abstractmethod
    def scope(self) -> tuple[str, ...]:
        """Return the field paths that this edit rests on."""

    @abc.abstractmethod
    def apply(self, present: presets.Configuration) -> presets.Configuration:
        """Return the configuration with the change made."""


@dataclasses.dataclass(frozen=True)
class Put(Edit):
    """Add a preset, a pool or a service, or replace the one of its name."""

    item: presets.Preset | presets.Pool | presets.Service

    @property
    def scope(self) -> tuple[str, ...]:
        """Return the path of the item."""
        field = _field(type(self.item))
        name = self.item.name
        return (f'{field}.{name}',)

    def apply(self, present: presets.Configuration) -> presets.Configuration:
        """Return the configuration with the item in it."""
        field = _field(type(self.item))
        items = {**getattr(present, field), self.item.name: self.item}
        return records.replace(present, **{field: items})


@dataclasses.dataclass(frozen=True)
class Remove(Edit):
    """Remove a preset, a pool or a service; absent is no change."""

    item_type: type[presets.Preset] | type[presets.Pool] | type[presets.Service]
    name: str

    @property
    def scope(self) -> tuple[str, ...]:
        """Return the path of the item."""
        return (f'{_field(self.item_type)}.{self.name}',)

    def apply(self, present: presets.Configuration) -> presets.Configuration:
        """Return the configuration without the item."""
        field = _field(self.item_type)
        items = {
            name: item
            for name, item in getattr(present, field).items()
            if name != self.name
        }
        return records.replace(present, **{field: items})


@dataclasses.dataclass(frozen=True)
class PutInForce(Edit):
    """Put a preset in force."""

    name: str

    @property
    def scope(self) -> tuple[str, ...]:
        """Return the choice and the content of what is chosen."""
        return ('in_force', f'presets_by_name.{self.name}')

    def apply(self, present: presets.Configuration) -> presets.Configuration:
        """Return the configuration with this preset in force."""
        return records.replace(present, in_force=self.name)


@dataclasses.dataclass(frozen=True)
class Replace(Edit):
    """Put a whole configuration in the place of the present one."""

    wanted: presets.Configuration

    @property
    def scope(self) -> tuple[str, ...]:
        """Return every field of the configuration."""
        return (
            'in_force',
            'presets_by_name',
            'pools_by_name',
            'services_by_name',
        )

    def apply(self, present: presets.Configuration) -> presets.Configuration:
        """Return the wanted one, under the present version."""
        return records.replace(
            present,
            **{field: getattr(self.wanted, field) for field in self.scope},
        )


def _field(
    item_type: type[presets.Preset]
    | type[presets.Pool]
    | type[presets.Service],
) -> str:
    name = item_type.__name__.lower()
    return f'{name}s_by_name'
