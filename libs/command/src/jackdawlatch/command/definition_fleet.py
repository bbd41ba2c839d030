"""The commands on hosts and maintenance waves."""

import cyclopts

from jackdawlatch.command import fleet, invocation, waves


def host_commands() -> cyclopts.App:
    """Return the commands on hosts."""
    app = cyclopts.App(name='host', help='List hosts and move them.')

    @app.command(name='list')
    def list_hosts(
        *, pool: str = '', options: invocation.Options = invocation.NO_OPTIONS
    ) -> invocation.Invocation:
        """List hosts with pool, phase and liveness."""
        return invocation.Invocation(fleet.ListHosts(pool), options)

    @app.command(name='move')
    def move(
        host: str,
        pool: str,
        /,
        *,
        options: invocation.Options = invocation.NO_OPTIONS,
    ) -> invocation.Invocation:
        """Drain a host and move it to another pool, within the budget."""
        return invocation.Invocation(fleet.MoveHost(host, pool), options)

    @app.command(name='drain')
    def drain(
        host: str, /, *, options: invocation.Options = invocation.NO_OPTIONS
    ) -> invocation.Invocation:
        """Drain and reboot a host, within the budget of its pool."""
        return invocation.Invocation(fleet.DrainHost(host), options)

    return app


def wave_commands() -> cyclopts.App:
    """Return the commands on maintenance waves."""
    app = cyclopts.App(name='wave', help='Maintenance waves.')

    @app.command(name='list')
    def list_waves(
        *, options: invocation.Options = invocation.NO_OPTIONS
    ) -> invocation.Invocation:
        """List waves and how far they are."""
        return invocation.Invocation(waves.ListWaves(), options)

    @app.command(name='start')
    def start(
        wave: str,
        /,
        *,
        pool: str = '',
        options: invocation.Options = invocation.NO_OPTIONS,
    ) -> invocation.Invocation:
        """Start a wave under an id over one pool, or over all."""
        return invocation.Invocation(waves.StartWave(wave, pool), options)

    @app.command(name='halt')
    def halt(
        wave: str, /, *, options: invocation.Options = invocation.NO_OPTIONS
    ) -> invocation.Invocation:
        """Halt a wave; hosts that are drained still come back."""
        return invocation.Invocation(waves.HaltWave(wave), options)

    @app.command(name='resume')
    def resume(
        wave: str, /, *, options: invocation.Options = invocation.NO_OPTIONS
    ) -> invocation.Invocation:
        """Let a halted wave go on."""
        return invocation.Invocation(
            waves.HaltWave(wave, halted=False), options
        )

    return app
