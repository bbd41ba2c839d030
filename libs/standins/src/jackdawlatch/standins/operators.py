"""Runs the operators' command line as a process of its own."""

import asyncio
import dataclasses
import pathlib
import sys

from jackdawlatch.command import settings as command_settings
from jackdawlatch.model import presets
from jackdawlatch.standins import examples

TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True)
class CommandResult:
    """One command line that has ended; None stands for none in time."""

    exit_status: int | None
    stdout: str = ''
    stderr: str = ''

    @property
    def succeeded(self) -> bool:
        """Whether it ended well."""
        return self.exit_status == 0


class Operator:
    """Runs commands with one settings file."""

    def __init__(
        self, directory: pathlib.Path, settings: command_settings.Operator
    ) -> None:
        self._directory = directory
        self._settings = directory / 'operator.json'
        examples.write_json(self._settings, settings)

    async def apply(
        self, configuration: presets.Configuration
    ) -> CommandResult:
        """Replace the whole configuration."""
        path = self._directory / 'configuration.json'
        examples.write_json(path, configuration)
        return await self.run('config', 'apply', str(path))

    async def run(self, *arguments: str) -> CommandResult:
        """Run ``jackdawlatch`` with arguments, to its end."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'jackdawlatch.command',
            *arguments,
            '--settings',
            str(self._settings),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(TIMEOUT_S):
                stdout, stderr = await process.communicate()
        except TimeoutError:
            return CommandResult(None, stderr=f'no end within {TIMEOUT_S} s')
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        return CommandResult(
            process.returncode, stdout.decode(), stderr.decode()
        )
