"""Commands on the presets, pools and services of the configuration."""

import dataclasses
import pathlib
from typing import Any, ClassVar

import msgspec
from returns import result

from jackdawlatch.command import editing, operation, session
from jackdawlatch.config import edits, files
from jackdawlatch.model import failures, presets

Item = presets.Preset | presets.Pool | presets.Service
ItemType = type[Item]


class NotFound(failures.Problem, frozen=True, kw_only=True):
    """There is no item of this name."""

    code: ClassVar[str] = 'not-found'


@dataclasses.dataclass(frozen=True)
class ListItems(operation.Operation):
    """Lists the names of all items of a type."""

    item_type: ItemType

    async def run(self, opened: session.Session) -> operation.Reported:
        """Read the configuration."""
        found = await editing.read(opened)
        if isinstance(found, result.Failure):
            return found
        configuration = found.unwrap()
        by_name = editing.by_name(configuration, self.item_type)
        lines = tuple(
            f'{name} (in force)'
            if self._in_force(configuration, name)
            else name
            for name in sorted(by_name)
        )
        return result.Success(operation.Report(sorted(by_name), lines))

    def _in_force(
        self, configuration: presets.Configuration, name: str
    ) -> bool:
        is_preset = self.item_type is presets.Preset
        return is_preset and configuration.in_force == name


@dataclasses.dataclass(frozen=True)
class ShowItem(operation.Operation):
    """Shows one item as JSON, fit for ``put`` after editing."""

    item_type: ItemType
    name: str

    async def run(self, opened: session.Session) -> operation.Reported:
        """Read the configuration."""
        found = await _find(opened, self.item_type, self.name)
        if isinstance(found, result.Failure):
            return found
        item = found.unwrap()
        text = msgspec.json.format(msgspec.json.encode(item), indent=2)
        return result.Success(operation.Report(item, (text.decode(),)))


@dataclasses.dataclass(frozen=True)
class PutItem(operation.Operation):
    """Creates or replaces an item from a JSON file."""

    item_type: ItemType
    file: pathlib.Path
    based_on: int | None = None
    wait: bool = False

    async def run(self, opened: session.Session) -> operation.Reported:
        """Check the file and write the item."""
        read = files.read(self.file, self.item_type)
        if isinstance(read, result.Failure):
            return read
        edit = edits.Put(read.unwrap())
        return await editing.apply(opened, edit, self.based_on, self.wait)


@dataclasses.dataclass(frozen=True)
class EditItem(operation.Operation):
    """Changes single fields: ``queue_limit=100``, ``pools_by_name.desk=…``."""

    item_type: ItemType
    name: str
    changes: tuple[str, ...]
    wait: bool = False

    async def run(self, opened: session.Session) -> operation.Reported:
        """Write the item with its fields changed."""
        found = await editing.read(opened)
        if isinstance(found, result.Failure):
            return found
        configuration = found.unwrap()
        item = editing.by_name(configuration, self.item_type).get(self.name)
        if item is None:
            return result.Failure(_not_found(self.name))
        changed = self._changed(item)
        if isinstance(changed, result.Failure):
            return changed
        edit = edits.Put(changed.unwrap())
        return await editing.apply(opened, edit, configuration, self.wait)

    def _changed(self, item: Item) -> result.Result[Item, failures.Invalid]:
        plain = msgspec.to_builtins(item)
        for change in self.changes:
            path, _, text = change.partition('=')
            _set(plain, path.split('.'), _parsed(text))
        try:
            return result.Success(msgspec.convert(plain, self.item_type))
        except msgspec.ValidationError as error:
            return result.Failure(
                failures.Invalid(
                    message=str(error), hint='changes are written PATH=JSON'
                )
            )


@dataclasses.dataclass(frozen=True)
class RemoveItem(operation.Operation):
    """Removes an item that nothing refers to."""

    item_type: ItemType
    name: str

    async def run(self, opened: session.Session) -> operation.Reported:
        """Write the configuration without the item."""
        found = await _find(opened, self.item_type, self.name)
        if isinstance(found, result.Failure):
            return found
        edit = edits.Remove(self.item_type, self.name)
        return await editing.apply(opened, edit, None, wait=False)


async def _find(
    opened: session.Session, item_type: ItemType, name: str
) -> result.Result[Item, failures.Problem]:
    found = await editing.read(opened)
    if isinstance(found, result.Failure):
        return found
    item = editing.by_name(found.unwrap(), item_type).get(name)
    if item is None:
        return result.Failure(_not_found(name))
    return result.Success(item)


def _not_found(name: str) -> NotFound:
    return NotFound(message=f'there is no {name}', hint='see `list`')


def _set(plain: Any, path: list[str], content: Any) -> None:
    for name in path[:-1]:
        plain = plain.setdefault(name, {})
    plain[path[-1]] = content


def _parsed(text: str) -> Any:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text
