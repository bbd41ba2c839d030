"""Commands on single presets, pools and services."""

import dataclasses
import pathlib
from typing import Any, ClassVar

import msgspec
from returns import result

from jackdawlatch.command import editing, fleet_client, operation
from jackdawlatch.config import edits, files
from jackdawlatch.model import decoding, failures, presets

Item = presets.Preset | presets.Pool | presets.Service
ItemType = type[Item]


class NotFound(failures.Problem, frozen=True, kw_only=True):
    """No item has this name."""

    code: ClassVar[str] = 'not-found'


@dataclasses.dataclass(frozen=True)
class ListItems(operation.Operation):
    """Lists the names of the items of one type."""

    item_type: ItemType

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Read the names from the configuration."""
        current = await editing.read_configuration(client)
        if isinstance(current, result.Failure):
            return current
        configuration = current.unwrap()
        by_name = editing.items_by_name(configuration, self.item_type)
        lines = tuple(
            f'{name} (in force)'
            if self._is_in_force(configuration, name)
            else name
            for name in sorted(by_name)
        )
        return result.Success(operation.Report(sorted(by_name), lines))

    def _is_in_force(
        self, configuration: presets.Configuration, name: str
    ) -> bool:
        is_preset = self.item_type is presets.Preset
        return is_preset and configuration.in_force == name


@dataclasses.dataclass(frozen=True)
class ShowItem(operation.Operation):
    """Shows an item as JSON, in the format that ``put`` reads."""

    item_type: ItemType
    name: str

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Read the item."""
        current = await _find_item(client, self.item_type, self.name)
        if isinstance(current, result.Failure):
            return current
        item = current.unwrap()
        text = msgspec.json.format(msgspec.json.encode(item), indent=2)
        return result.Success(operation.Report(item, (text.decode(),)))


@dataclasses.dataclass(frozen=True)
class PutItem(operation.Operation):
    """Creates or replaces an item from a JSON file."""

    item_type: ItemType
    file: pathlib.Path
    based_on: int | None = None
    wait: bool = False

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Read the file and write the item."""
        loaded = files.read(self.file, self.item_type)
        if isinstance(loaded, result.Failure):
            return loaded
        edit = edits.Put(loaded.unwrap())
        return await editing.apply_edit(client, edit, self.based_on, self.wait)


@dataclasses.dataclass(frozen=True)
class EditItem(operation.Operation):
    """Changes fields: ``queue_limit=100``, ``pools_by_name.desk={...}``."""

    item_type: ItemType
    name: str
    changes: tuple[str, ...]
    wait: bool = False

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Write the item with the changed fields."""
        current = await editing.read_configuration(client)
        if isinstance(current, result.Failure):
            return current
        configuration = current.unwrap()
        item = editing.items_by_name(configuration, self.item_type).get(
            self.name
        )
        if item is None:
            return result.Failure(_not_found(self.name))
        changed = self._apply_changes(item)
        if isinstance(changed, result.Failure):
            return changed
        edit = edits.Put(changed.unwrap())
        return await editing.apply_edit(client, edit, configuration, self.wait)

    def _apply_changes(
        self, item: Item
    ) -> result.Result[Item, failures.Invalid]:
        fields = msgspec.to_builtins(item)
        for change in self.changes:
            path, _, text = change.partition('=')
            changed = _set_field(fields, path.split('.'), _parse_value(text))
            if isinstance(changed, result.Failure):
                return changed
        if fields['name'] != self.name:
            return result.Failure(
                failures.Invalid(
                    message=f'{self.name!r} cannot be renamed',
                    hint='add an item of the new name and remove this one',
                )
            )
        try:
            return result.Success(msgspec.convert(fields, self.item_type))
        except msgspec.ValidationError as error:
            return result.Failure(
                failures.Invalid(
                    message=str(error), hint='write each change as PATH=JSON'
                )
            )


@dataclasses.dataclass(frozen=True)
class RemoveItem(operation.Operation):
    """Removes an item that no other item refers to."""

    item_type: ItemType
    name: str

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Write the configuration without the item."""
        current = await _find_item(client, self.item_type, self.name)
        if isinstance(current, result.Failure):
            return current
        edit = edits.Remove(self.item_type, self.name)
        return await editing.apply_edit(client, edit, None, wait=False)


async def _find_item(
    client: fleet_client.FleetClient, item_type: ItemType, name: str
) -> result.Result[Item, failures.Problem]:
    current = await editing.read_configuration(client)
    if isinstance(current, result.Failure):
        return current
    item = editing.items_by_name(current.unwrap(), item_type).get(name)
    if item is None:
        return result.Failure(_not_found(name))
    return result.Success(item)


def _not_found(name: str) -> NotFound:
    return NotFound(
        message=f'no item is named {name}', hint='use `list` for the names'
    )


def _set_field(
    fields: Any, path: list[str], content: Any
) -> result.Result[None, failures.Invalid]:
    for name in path[:-1]:
        fields = fields.setdefault(name, {})
        if not isinstance(fields, dict):
            return result.Failure(
                failures.Invalid(
                    message=f'{name!r} in {".".join(path)!r} has no fields',
                    hint='write each change as PATH=JSON',
                )
            )
    fields[path[-1]] = content
    return result.Success(None)


def _parse_value(text: str) -> Any:
    try:
        return decoding.from_json(text, object)
    except msgspec.DecodeError:
        return text
