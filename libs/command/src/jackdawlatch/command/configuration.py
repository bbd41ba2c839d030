"""Commands on the configuration as a whole, and on what is in force."""

import dataclasses
import pathlib

import msgspec
from returns import result

from jackdawlatch.command import editing, known, operation, session
from jackdawlatch.config import difference, edits, files, validation
from jackdawlatch.model import presets


@dataclasses.dataclass(frozen=True)
class ShowConfiguration(operation.Operation):
    """Shows the whole configuration as JSON."""

    async def run(self, opened: session.Session) -> operation.Reported:
        """Read the configuration."""
        found = await editing.read(opened)
        if isinstance(found, result.Failure):
            return found
        content = found.unwrap()
        text = msgspec.json.format(msgspec.json.encode(content), indent=2)
        return result.Success(operation.Report(content, (text.decode(),)))


@dataclasses.dataclass(frozen=True)
class ValidateFile(operation.Operation):
    """Checks a configuration file and changes nothing."""

    file: pathlib.Path

    async def run(self, opened: session.Session) -> operation.Reported:
        """Check the file."""
        read = files.read(self.file, presets.Configuration)
        if isinstance(read, result.Failure):
            return read
        checked = validation.check(read.unwrap(), known.POLICIES)
        if isinstance(checked, result.Failure):
            return checked
        report = operation.Report({'valid': True}, (f'{self.file}: ok',))
        return result.Success(report)


@dataclasses.dataclass(frozen=True)
class DiffFile(operation.Operation):
    """Shows what applying a configuration file would change."""

    file: pathlib.Path

    async def run(self, opened: session.Session) -> operation.Reported:
        """Compare the file with the present configuration."""
        read = files.read(self.file, presets.Configuration)
        if isinstance(read, result.Failure):
            return read
        found = await editing.read(opened)
        if isinstance(found, result.Failure):
            return found
        changes = difference.between(found.unwrap(), read.unwrap())
        lines = editing.difference_lines(changes)
        return result.Success(operation.Report(changes, lines))


@dataclasses.dataclass(frozen=True)
class ApplyFile(operation.Operation):
    """Replaces the whole configuration by that of a file."""

    file: pathlib.Path
    based_on: int | None = None
    wait: bool = False

    async def run(self, opened: session.Session) -> operation.Reported:
        """Check the file and write the configuration."""
        read = files.read(self.file, presets.Configuration)
        if isinstance(read, result.Failure):
            return read
        edit = edits.Replace(read.unwrap())
        return await editing.apply(opened, edit, self.based_on, self.wait)


@dataclasses.dataclass(frozen=True)
class UsePreset(operation.Operation):
    """Puts a preset in force."""

    name: str
    based_on: int | None = None
    wait: bool = False

    async def run(self, opened: session.Session) -> operation.Reported:
        """Write the choice."""
        edit = edits.PutInForce(self.name)
        return await editing.apply(opened, edit, self.based_on, self.wait)
