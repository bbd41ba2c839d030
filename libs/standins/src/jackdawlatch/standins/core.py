"""The command line ``jackdawlatch-standin``."""

import pathlib
from collections.abc import Sequence
from typing import TextIO

import cyclopts

from jackdawlatch.node import launching
from jackdawlatch.standins import (
    back_ends,
    demo,
    examples,
    hostlist,
    profiles,
    programs,
)

Status = launching.ExitStatus


def main(arguments: Sequence[str], stdout: TextIO, stderr: TextIO) -> Status:
    """Run one command line to its end."""
    app = _application(stdout, stderr)
    try:
        status = app(
            arguments,
            exit_on_error=False,
            print_error=False,
            result_action='return_value',
        )
    except cyclopts.CycloptsError as error:
        stderr.write(f'jackdawlatch-standin: {error} (hint: see --help)\n')
        return Status.USAGE
    return Status(status or Status.OK)


def _application(stdout: TextIO, stderr: TextIO) -> cyclopts.App:
    app = cyclopts.App(
        name='jackdawlatch-standin',
        help='Small stand-ins of the platform, for tests and the demo.',
        version='0.1.0',
    )

    @app.command
    def store(*, settings: str) -> Status:
        """Serve the key-value service with the settings of a JSON file."""
        return programs.run(programs.store, back_ends.Store, settings, stderr)

    @app.command
    def hosts(*, settings: str) -> Status:
        """Serve the host list with the settings of a JSON file."""
        return programs.run(programs.hosts, hostlist.Settings, settings, stderr)

    @app.command
    def runners(*, settings: str) -> Status:
        """Serve runners with the settings of a JSON file."""
        return programs.run(
            programs.runners, back_ends.Runners, settings, stderr
        )

    @app.command
    def workers(*, settings: str) -> Status:
        """Serve workers with the settings of a JSON file."""
        return programs.run(
            programs.workers, back_ends.Workers, settings, stderr
        )

    @app.command(name='demo')
    def run_demo(
        *, deployment: str = profiles.BROLLY_ADFER.name, seed: int = 1
    ) -> Status:
        """Run a deployment and check what it does, within a minute."""
        profile = profiles.PROFILES_BY_NAME.get(deployment)
        if profile is None:
            known = ', '.join(profiles.PROFILES_BY_NAME)
            stderr.write(f'jackdawlatch-standin: deployments: {known}\n')
            return Status.USAGE
        return demo.run(profile, seed, stdout)

    @app.command(name='examples')
    def write_examples(directory: pathlib.Path, /) -> Status:
        """Write the settings of both deployments below a directory."""
        examples.write(directory)
        return Status.OK

    return app
