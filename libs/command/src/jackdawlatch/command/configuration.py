"""Commands on the whole configuration and on the preset in force."""

import dataclasses
import pathlib

import msgspec
from returns import result

from jackdawlatch.command import constraints, editing, fleet_client, operation
from jackdawlatch.config import difference, edits, files, validation
from jackdawlatch.model import presets


@dataclasses.dataclass(frozen=True)
class ShowConfiguration(operation.Operation):
    """Shows the configuration as JSON."""

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Read the configuration."""
        current = await editing.read_configuration(client)
        if isinstance(current, result.Failure):
            return current
        content = current.unwrap()
        text = msgspec.json.format(msgspec.json.encode(content), indent=2)
        return result.Success(operation.Report(content, (text.decode(),)))


@dataclasses.dataclass(frozen=True)
class ValidateFile(operation.Operation):
    """Validates a configuration file without applying it."""

    file: pathlib.Path

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Validate the file."""
        read = files.read(self.file, presets.Configuration)
        if isinstance(read, result.Failure):
            return read
        checked = validation.check(
            read.unwrap(), constraints.SUPPORTED_POLICIES
        )
        if isinstance(checked, result.Failure):
            return checked
        report = operation.Report({'valid': True}, (f'{self.file}: ok',))
        return result.Success(report)


@dataclasses.dataclass(frozen=True)
class DiffFile(operation.Operation):
    """Shows what applying a configuration file would change."""

    file: pathlib.Path

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Compare the file with the current configuration."""
        read = files.read(self.file, presets.Configuration)
        if isinstance(read, result.Failure):
            return read
        current = await editing.read_configuration(client)
        if isinstance(current, result.Failure):
            return current
        changes = difference.between(current.unwrap(), read.unwrap())
        lines = editing.format_difference(changes)
        return result.Success(operation.Report(changes, lines))


@dataclasses.dataclass(frozen=True)
class ApplyFile(operation.Operation):
    """Replaces the configuration with the contents of a file."""

    file: pathlib.Path
    based_on: int | None = None
    wait: bool = False

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Read the file and write the configuration."""
        read = files.read(self.file, presets.Configuration)
        if isinstance(read, result.Failure):
            return read
        edit = edits.Replace(read.unwrap())
        return await editing.apply_edit(client, edit, self.based_on, self.wait)


@dataclasses.dataclass(frozen=True)
class UsePreset(operation.Operation):
    """Puts a preset in force."""

    name: str
    based_on: int | None = None
    wait: bool = False

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Write the name of the preset in force."""
        edit = edits.PutInForce(self.name)
        return await editing.apply_edit(client, edit, self.based_on, self.wait)
