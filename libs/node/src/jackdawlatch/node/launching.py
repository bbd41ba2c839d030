"""Command line of the daemons: ``--settings FILE [--check]``."""

import abc
import asyncio
import dataclasses
import enum
from collections.abc import Sequence
from typing import Any, Generic, TextIO, TypeVar

from absl import flags, logging
from returns import result

from jackdawlatch.settings import daemons, loading

Settings = TypeVar('Settings', bound=daemons.Daemon)


class ExitStatus(enum.IntEnum):
    """Exit status of a program."""

    OK = 0
    FAILED = 1
    USAGE = 2


@dataclasses.dataclass(frozen=True)
class Environment:
    """Command-line arguments and standard streams of a program."""

    arguments: Sequence[str]
    stdout: TextIO
    stderr: TextIO


class Program(abc.ABC, Generic[Settings]):
    """A daemon: its name, its type of settings and its main function."""

    name: str
    settings_type: type[Settings]

    @abc.abstractmethod
    async def run(self, settings: Settings) -> ExitStatus:
        """Run until stopped and return the exit status."""

    def check(
        self, settings: Settings, source: str
    ) -> result.Result[Any, loading.SettingsInvalid]:
        """Check constraints between several fields of the settings."""
        return daemons.check(settings, source)


def launch(program: Program[Settings], environment: Environment) -> ExitStatus:
    """Parse the command line, then check the settings or run the daemon.

    Wrong arguments and invalid settings are reported on ``stderr``.
    """
    parser = _parser()
    try:
        remaining = parser((program.name, *environment.arguments))
    except flags.Error as error:
        return _usage_error(program, environment, str(error))
    if len(remaining) > 1 or parser.settings is None:
        return _usage_error(
            program,
            environment,
            '--settings FILE is required; positional arguments are not allowed',
        )
    loaded = load(program, parser.settings)
    if isinstance(loaded, result.Failure):
        problem = loaded.failure().line()
        environment.stderr.write(f'{program.name}: {problem}\n')
        return ExitStatus.USAGE
    if parser.check:
        environment.stdout.write(f'{parser.settings}: ok\n')
        return ExitStatus.OK
    logging.set_verbosity(logging.INFO)
    return asyncio.run(program.run(loaded.unwrap()))


def load(
    program: Program[Settings], path: str
) -> result.Result[Settings, loading.SettingsInvalid]:
    """Load and check the settings of a program."""
    loaded = loading.load(path, program.settings_type)
    if isinstance(loaded, result.Failure):
        return loaded
    checked = program.check(loaded.unwrap(), path)
    if isinstance(checked, result.Failure):
        return checked
    return loaded


def _parser() -> flags.FlagValues:
    parser = flags.FlagValues()
    flags.DEFINE_string(
        'settings', None, 'The JSON settings file.', flag_values=parser
    )
    flags.DEFINE_boolean(
        'check', False, 'Only check the settings.', flag_values=parser
    )
    return parser


def _usage_error(
    program: Program[Settings], environment: Environment, message: str
) -> ExitStatus:
    environment.stderr.write(
        f'{program.name}: usage: {message} '
        '(hint: --check validates the file without starting the daemon)\n'
    )
    return ExitStatus.USAGE
