"""Parses the command line, runs its operation and prints the report."""

import asyncio
import dataclasses
import os
from collections.abc import Mapping, Sequence
from typing import TextIO

import cyclopts
import msgspec
from returns import result
from rich import console as consoles

from jackdawlatch.command import (
    definition,
    exit_statuses,
    fleet_client,
    invocation,
    operation,
    settings,
)
from jackdawlatch.model import failures
from jackdawlatch.settings import loading

PROGRAM = 'jackdawlatch'
SETTINGS_VARIABLE = 'JACKDAWLATCH_SETTINGS'
HELP_HINT = '(hint: see --help)'


@dataclasses.dataclass(frozen=True)
class Environment:
    """The arguments, streams and environment variables of a run."""

    arguments: Sequence[str]
    stdout: TextIO
    stderr: TextIO
    variables: Mapping[str, str] = dataclasses.field(
        default_factory=lambda: os.environ
    )


def main(environment: Environment) -> exit_statuses.ExitStatus:
    """Run a command line in a new event loop and return its exit status."""
    return asyncio.run(execute(environment))


async def execute(environment: Environment) -> exit_statuses.ExitStatus:
    """Run a command line in the current event loop, like ``main``."""
    app = definition.create_app(
        consoles.Console(file=environment.stdout, highlight=False)
    )
    try:
        parsed = app(
            environment.arguments,
            exit_on_error=False,
            print_error=False,
            result_action='return_value',
        )
    except cyclopts.CycloptsError as error:
        return _print_error(
            environment, _usage_message(error), exit_statuses.ExitStatus.USAGE
        )
    if not isinstance(parsed, invocation.Invocation):
        # cyclopts has already printed the help or the version.
        return exit_statuses.ExitStatus.OK
    return await _run_invocation(parsed, environment)


async def _run_invocation(
    parsed: invocation.Invocation, environment: Environment
) -> exit_statuses.ExitStatus:
    reported = await _run_operation(parsed, environment)
    if isinstance(reported, result.Failure):
        return _print_problem(environment, reported.failure())
    report = reported.unwrap()
    if parsed.options.json:
        encoded = msgspec.json.encode(report.content)
        environment.stdout.write(f'{encoded.decode()}\n')
    else:
        environment.stdout.writelines(f'{line}\n' for line in report.lines)
    return report.exit_status


async def _run_operation(
    parsed: invocation.Invocation, environment: Environment
) -> operation.Outcome:
    path = _settings_path(parsed.options, environment)
    if not path and isinstance(parsed.operation, operation.Detached):
        return await parsed.operation.run_detached()
    loaded = _load_settings(path)
    if isinstance(loaded, result.Failure):
        return loaded
    client = fleet_client.FleetClient(loaded.unwrap())
    return await parsed.operation.run(client)


def _settings_path(
    options: invocation.Options, environment: Environment
) -> str:
    return options.settings or environment.variables.get(SETTINGS_VARIABLE, '')


def _load_settings(
    path: str,
) -> result.Result[settings.Operator, failures.Problem]:
    if path:
        return loading.load(path, settings.Operator)
    return result.Failure(
        loading.SettingsInvalid(
            message='no settings file given',
            hint=f'pass --settings FILE or set {SETTINGS_VARIABLE}',
        )
    )


def _print_problem(
    environment: Environment, problem: failures.Problem
) -> exit_statuses.ExitStatus:
    return _print_error(
        environment, problem.line(), exit_statuses.for_problem(problem)
    )


def _print_error(
    environment: Environment,
    message: str,
    exit_status: exit_statuses.ExitStatus,
) -> exit_statuses.ExitStatus:
    one_line = ' '.join(message.split())
    environment.stderr.write(f'{PROGRAM}: {one_line}\n')
    return exit_status


def _usage_message(error: cyclopts.CycloptsError) -> str:
    return f'usage: {error} {HELP_HINT}'
