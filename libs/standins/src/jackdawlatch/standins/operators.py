"""Runs the operators' command line in a subprocess."""

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
    """The outcome of a command; ``exit_status`` is None on a time-out."""

    exit_status: int | None
    stdout: str = ''
    stderr: str = ''

    @property
    def succeeded(self) -> bool:
        """Whether the exit status is 0."""
        return self.exit_status == 0


class Operator:
    """Runs ``jackdawlatch`` commands with one settings file."""

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
        """Run ``jackdawlatch`` with arguments, for at most ``TIMEOUT_S``."""
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
            return CommandResult(
                None, stderr=f'the command did not end within {TIMEOUT_S} s'
            )
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        return CommandResult(
            process.returncode, stdout.decode(), stderr.decode()
        )
