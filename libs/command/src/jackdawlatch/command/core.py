"""Parses a command line, runs its operation and prints the report."""

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
    invocation,
    operation,
    session,
    settings,
    status,
)
from jackdawlatch.model import failures
from jackdawlatch.settings import loading

PROGRAM = 'jackdawlatch'
SETTINGS_VARIABLE = 'JACKDAWLATCH_SETTINGS'
HELP_HINT = '(hint: see --help)'


@dataclasses.dataclass(frozen=True)
class Environment:
    """What the command line gets from outside."""

    arguments: Sequence[str]
    stdout: TextIO
    stderr: TextIO
    variables: Mapping[str, str] = dataclasses.field(
        default_factory=lambda: os.environ
    )


def main(environment: Environment) -> status.ExitStatus:
    """Run one command line to its end."""
    return asyncio.run(execute(environment))


async def execute(environment: Environment) -> status.ExitStatus:
    """Run one command line inside a loop that already runs."""
    app = definition.application(
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
        return _complain(
            environment, _first_line(error), status.ExitStatus.USAGE
        )
    if not isinstance(parsed, invocation.Invocation):
        # Help and version were printed by cyclopts.
        return status.ExitStatus.OK
    return await _run(parsed, environment)


async def _run(
    parsed: invocation.Invocation, environment: Environment
) -> status.ExitStatus:
    loaded = _settings(parsed.options, environment)
    if isinstance(loaded, result.Failure):
        return _fail(environment, loaded.failure())
    reported = await _operate(parsed, loaded.unwrap())
    if isinstance(reported, result.Failure):
        return _fail(environment, reported.failure())
    report = reported.unwrap()
    if parsed.options.json:
        encoded = msgspec.json.encode(report.content)
        environment.stdout.write(f'{encoded.decode()}\n')
    else:
        environment.stdout.writelines(f'{line}\n' for line in report.lines)
    return report.exit_status


async def _operate(
    parsed: invocation.Invocation, loaded: settings.Operator
) -> operation.Reported:
    opened = session.Session(loaded)
    return await parsed.operation.run(opened)


def _settings(
    options: invocation.Options, environment: Environment
) -> result.Result[settings.Operator, failures.Problem]:
    path = options.settings or environment.variables.get(SETTINGS_VARIABLE)
    if path:
        return loading.load(path, settings.Operator)
    return result.Failure(
        loading.SettingsInvalid(
            message='no settings file was named',
            hint=f'give --settings FILE or set {SETTINGS_VARIABLE}',
        )
    )


def _fail(
    environment: Environment, problem: failures.Problem
) -> status.ExitStatus:
    return _complain(environment, problem.line(), status.of(problem))


def _complain(
    environment: Environment, message: str, exit_status: status.ExitStatus
) -> status.ExitStatus:
    one_line = ' '.join(message.split())
    environment.stderr.write(f'{PROGRAM}: {one_line}\n')
    return exit_status


def _first_line(error: cyclopts.CycloptsError) -> str:
    return f'usage: {error} {HELP_HINT}'
