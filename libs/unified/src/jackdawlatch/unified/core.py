"""The program ``jackdawlatch-unified``."""

import asyncio
import dataclasses
import os
from collections.abc import Mapping, Sequence
from typing import TextIO

from absl import logging
from returns import result

from jackdawlatch.node import launching
from jackdawlatch.settings import loading
from jackdawlatch.unified import root
from jackdawlatch.unified import settings as unified_settings

SETTINGS_VARIABLE = 'JACKDAWLATCH_SETTINGS'
CHECK_FLAG = '--check'
USAGE = f'usage: {SETTINGS_VARIABLE}=FILE jackdawlatch-unified [{CHECK_FLAG}]'


@dataclasses.dataclass(frozen=True)
class Environment:
    """Command-line arguments, environment variables and output streams."""

    arguments: Sequence[str]
    variables: Mapping[str, str]
    stdout: TextIO
    stderr: TextIO

    @classmethod
    def of_process(
        cls, arguments: Sequence[str], **streams: TextIO
    ) -> 'Environment':
        """Return the environment of this process."""
        return cls(arguments=arguments, variables=os.environ, **streams)


def main(environment: Environment) -> launching.ExitStatus:
    """Run the program and return its exit status."""
    path = environment.variables.get(SETTINGS_VARIABLE, '')
    if not path or set(environment.arguments) - {CHECK_FLAG}:
        environment.stderr.write(f'{USAGE}\n')
        return launching.ExitStatus.USAGE
    loaded = load(path)
    if isinstance(loaded, result.Failure):
        environment.stderr.write(f'{loaded.failure().line()}\n')
        return launching.ExitStatus.USAGE
    if CHECK_FLAG in environment.arguments:
        environment.stdout.write(f'{path}: ok\n')
        return launching.ExitStatus.OK
    logging.set_verbosity(logging.INFO)
    return asyncio.run(_run(path, loaded.unwrap()))


def load(
    path: str,
) -> result.Result[unified_settings.Unified, loading.SettingsInvalid]:
    """Return the validated settings of a file."""
    return loading.load(path, unified_settings.Unified).bind(
        lambda settings: unified_settings.check(settings, path)
    )


async def _run(
    path: str, settings: unified_settings.Unified
) -> launching.ExitStatus:
    daemon = root.Root(settings)
    try:
        daemon.listen()
    except OSError as error:
        logging.error(
            '%s: cannot listen on a configured address: %s', path, error
        )
        return launching.ExitStatus.USAGE
    await daemon.run()
    return (
        launching.ExitStatus.FAILED
        if daemon.failed
        else launching.ExitStatus.OK
    )
