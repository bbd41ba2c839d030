"""Every command and option of the command line, in one place.

A command's function only packs its arguments into an operation; the work is
in the operation's module.
"""

from typing import Literal

import cyclopts
from rich import console as consoles

from jackdawlatch.command import (
    configuration,
    definition_fleet,
    definition_items,
    invocation,
    overview,
    timeline,
)
from jackdawlatch.model import presets

HELP = 'Operate a jackdawlatch fleet by its presets.'
EXAMPLES = """Examples:

`jackdawlatch preset use peak --wait`

`jackdawlatch preset edit peak queue_limit=100`

`jackdawlatch wave start w1 --pool desk`

`jackdawlatch explain host desk-3 --json`
"""

Subject = Literal['host', 'request', 'job', 'pool', 'preset']


def application(console: consoles.Console) -> cyclopts.App:
    """Return the command line as cyclopts parses it."""
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
        app.command(definition_items.commands(name, item_type))
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
    options: invocation.Options = invocation.NO_OPTIONS,
) -> invocation.Invocation:
    """Put a preset in force; --wait reports who has applied it."""
    return invocation.Invocation(
        configuration.UsePreset(name, based_on, wait), options
    )


def _configuration_commands() -> cyclopts.App:
    app = cyclopts.App(name='config', help='The configuration as a whole.')

    @app.command(name='show')
    def show(
        *, options: invocation.Options = invocation.NO_OPTIONS
    ) -> invocation.Invocation:
        """Show the configuration as JSON."""
        return invocation.Invocation(configuration.ShowConfiguration(), options)

    @app.command(name='validate')
    def validate(
        file: invocation.File,
        /,
        *,
        options: invocation.Options = invocation.NO_OPTIONS,
    ) -> invocation.Invocation:
        """Check a file and change nothing."""
        return invocation.Invocation(configuration.ValidateFile(file), options)

    @app.command(name='diff')
    def diff(
        file: invocation.File,
        /,
        *,
        options: invocation.Options = invocation.NO_OPTIONS,
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
        options: invocation.Options = invocation.NO_OPTIONS,
    ) -> invocation.Invocation:
        """Replace the configuration by that of a file."""
        work = configuration.ApplyFile(file, based_on, wait)
        return invocation.Invocation(work, options)

    return app


def show_status(
    *, options: invocation.Options = invocation.NO_OPTIONS
) -> invocation.Invocation:
    """Show every live process and what it has applied."""
    return invocation.Invocation(overview.ShowStatus(), options)


def show_timeline(
    subject: Subject | Literal[''] = '',
    name: str = '',
    /,
    *,
    limit: int = 100,
    options: invocation.Options = invocation.NO_OPTIONS,
) -> invocation.Invocation:
    """Merge the events of all processes, as in `timeline host desk-3`."""
    work = timeline.ShowTimeline(subject, name, limit)
    return invocation.Invocation(work, options)


def explain(
    subject: Subject,
    name: str,
    /,
    *,
    options: invocation.Options = invocation.NO_OPTIONS,
) -> invocation.Invocation:
    """Say why a job waits, a host moved, a request was refused."""
    return invocation.Invocation(timeline.Explain(subject, name), options)
