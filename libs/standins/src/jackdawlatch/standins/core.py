"""The command line ``jackdawlatch-standin``."""

import pathlib
from collections.abc import Sequence
from typing import Literal, TextIO

import cyclopts

from jackdawlatch.node import launching
from jackdawlatch.standins import (
    back_ends,
    demo,
    examples,
    hostlist,
    profiles,
    programs,
    soak,
)

Status = launching.ExitStatus
Deployment = Literal['brolly-adfer', 'prairie-slate']
SOAK_S = 60.0


def main(arguments: Sequence[str], stdout: TextIO, stderr: TextIO) -> Status:
    """Run one command line and return its exit status."""
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
        return programs.run(
            programs.store_servers, back_ends.Store, settings, stderr
        )

    @app.command
    def hosts(*, settings: str) -> Status:
        """Serve the host list with the settings of a JSON file."""
        return programs.run(
            programs.host_list_servers, hostlist.Settings, settings, stderr
        )

    @app.command
    def runners(*, settings: str) -> Status:
        """Serve runners with the settings of a JSON file."""
        return programs.run(
            programs.runner_servers, back_ends.Runners, settings, stderr
        )

    @app.command
    def workers(*, settings: str) -> Status:
        """Serve workers with the settings of a JSON file."""
        return programs.run(
            programs.worker_servers, back_ends.Workers, settings, stderr
        )

    @app.command(name='soak')
    def run_soak(
        *,
        deployment: Deployment = 'brolly-adfer',
        seed: int = 1,
        seconds: float = SOAK_S,
    ) -> Status:
        """Run a deployment under faults and check it for violations."""
        return soak.run(
            profiles.PROFILES_BY_NAME[deployment], seed, seconds, stdout
        )

    @app.command(name='demo')
    def run_demo(
        *, deployment: Deployment = 'brolly-adfer', seed: int = 1
    ) -> Status:
        """Run a deployment and check it step by step, within a minute."""
        return demo.run(profiles.PROFILES_BY_NAME[deployment], seed, stdout)

    @app.command(name='examples')
    def write_examples(directory: pathlib.Path, /) -> Status:
        """Write the settings of both deployments below a directory."""
        examples.write(directory)
        return Status.OK

    return app
