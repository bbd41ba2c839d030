"""The ``host`` and ``wave`` commands."""

import cyclopts

from jackdawlatch.command import fleet_hosts, invocation, waves


def host_commands() -> cyclopts.App:
    """Return the ``host`` command group."""
    app = cyclopts.App(name='host', help='List, move and drain hosts.')

    @app.command(name='list')
    def list_hosts(
        *,
        pool: str = '',
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """List hosts with pool, phase and liveness."""
        return invocation.Invocation(fleet_hosts.ListHosts(pool), options)

    @app.command(name='move')
    def move(
        host: str,
        pool: str,
        /,
        *,
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Drain a host and move it to another pool, within the budget."""
        return invocation.Invocation(fleet_hosts.MoveHost(host, pool), options)

    @app.command(name='drain')
    def drain(
        host: str,
        /,
        *,
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Drain and reboot a host, within its pool's budget."""
        return invocation.Invocation(fleet_hosts.DrainHost(host), options)

    return app


def wave_commands() -> cyclopts.App:
    """Return the ``wave`` command group."""
    app = cyclopts.App(
        name='wave', help='List, start, halt and resume maintenance waves.'
    )

    @app.command(name='list')
    def list_waves(
        *, options: invocation.Options = invocation.DEFAULT_OPTIONS
    ) -> invocation.Invocation:
        """List waves with their progress."""
        return invocation.Invocation(waves.ListWaves(), options)

    @app.command(name='start')
    def start(
        wave: str,
        /,
        *,
        pool: str = '',
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Start a wave with the given id over one pool, or over all pools."""
        return invocation.Invocation(waves.StartWave(wave, pool), options)

    @app.command(name='halt')
    def halt(
        wave: str,
        /,
        *,
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Halt a wave; hosts already drained still return to service."""
        return invocation.Invocation(waves.HaltWave(wave), options)

    @app.command(name='resume')
    def resume(
        wave: str,
        /,
        *,
        options: invocation.Options = invocation.DEFAULT_OPTIONS,
    ) -> invocation.Invocation:
        """Resume a halted wave."""
        return invocation.Invocation(
            waves.HaltWave(wave, halted=False), options
        )

    return app
