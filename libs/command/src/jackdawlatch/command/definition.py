"""The top-level commands of the command line.

A command function only turns its arguments into an operation; the operation
is implemented in its own module.
"""

from typing import Literal

import cyclopts
from rich import console as consoles

from jackdawlatch.command import (
    checking,
    configuration,
    daemon_status,
    definition_fleet,
    definition_items,
    invocation,
    timeline,
)
from jackdawlatch.model import presets

HELP = 'Manage the presets, hosts and maintenance waves of a fleet.'
EXAMPLES = """Examples:

`jackdawlatch preset use peak --wait`

`jackdawlatch preset edit peak queue_limit=100`

`jackdawlatch wave start w1 --pool desk`

`jackdawlatch explain host desk-3 --json`
"""

SubjectKind = Literal['host', 'request', 'job', 'pool', 'preset']


def create_app(console: consoles.Console) -> cyclopts.App:
    """Return the cyclopts application with all commands."""
    app = cyclopts.App(
        name='jackdawlatch',
        help=HELP,
        help_epilogue=EXAMPLES,
        help_format='markdown',
        version='0.1.0',
        console=console,
    )
    for name, item_type in (
        ('preset', presets.Preset),
        ('pool', presets.Pool),
        ('service', presets.Service),
    ):
        app.command(definition_items.item_commands(name, item_type))
    app['preset'].command(use_preset, name='use')
    app.command(_configuration_commands())
    app.command(definition_fleet.host_commands())
    app.command(definition_fleet.wave_commands())
    app.command(show_status, name='status')
    app.command(show_timeline, name='timeline')
    app.command(explain, name='explain')
    return app


def use_preset(
    name: str,
    /,
    *,
    based_on: invocation.BasedOn = None,
    wait: invocation.Wait = False,
    options: invocation.Options = invocation.DEFAULT_OPTIONS,
) -> invocation.Invocation:
    """Put a preset in force; --wait reports the daemons that applied it."""
    return invocation.Invocation(
        configuration.UsePreset(name, based_on, wait), options
    )


def _configuration_commands() -> cyclopts.App:
    app = cyclopts.App(
        name='config', help='Show, check and apply the configuration.'
    )

    @app.command(name='show')
    def show(
        *, options: invocation.Options = invocation.DEFAULT_OPTIONS
    ) -> invocation.Invocation:
        """Show the configuration as JSON."""
        return invocation.Invocation(configuration.ShowConfiguration(), options)

    @app.command(name='validate')
    def validate(
        file: invocation.File,
        /,
        *,
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Validate a file without applying it."""
        return invocation.Invocation(configuration.ValidateFile(file), options)

    @app.command(name='check')
    def check(
        file: invocation.File,
        /,
        *,
        sources: checking.Sources = checking.DEFAULT_SOURCES,
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Report errors, entries of no use and changes, before sending a file."""
        operation = checking.CheckFile(file, sources)
        return invocation.Invocation(operation, options)

    @app.command(name='diff')
    def diff(
        file: invocation.File,
        /,
        *,
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Show what applying a file would change."""
        return invocation.Invocation(configuration.DiffFile(file), options)

    @app.command(name='apply')
    def apply_file(
        file: invocation.File,
        /,
        *,
        based_on: invocation.BasedOn = None,
        wait: invocation.Wait = False,
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Replace the configuration with the contents of a file."""
        operation = configuration.ApplyFile(file, based_on, wait)
        return invocation.Invocation(operation, options)

    return app


def show_status(
    *, options: invocation.Options = invocation.DEFAULT_OPTIONS
) -> invocation.Invocation:
    """Show the status of every live daemon."""
    return invocation.Invocation(daemon_status.ShowStatus(), options)


def show_timeline(
    subject: SubjectKind | Literal[''] = '',
    name: str = '',
    /,
    *,
    limit: int = 100,
    options: invocation.Options = invocation.DEFAULT_OPTIONS,
) -> invocation.Invocation:
    """Show the events of all daemons, as in `timeline host desk-3`."""
    operation = timeline.ShowTimeline(subject, name, limit)
    return invocation.Invocation(operation, options)


def explain(
    subject: SubjectKind,
    name: str,
    /,
    *,
    options: invocation.Options = invocation.DEFAULT_OPTIONS,
) -> invocation.Invocation:
    """Explain why a job waits, a host moved or a request was refused."""
    return invocation.Invocation(timeline.Explain(subject, name), options)
