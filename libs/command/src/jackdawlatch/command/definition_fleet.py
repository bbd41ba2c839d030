"""The commands on hosts and maintenance waves."""

import cyclopts

from jackdawlatch.command import fleet, invocation


def hosts() -> cyclopts.App:
    """Return the commands on hosts."""
    app = cyclopts.App(name='host', help='List hosts and move them.')

    @app.command(name='list')
    def list_hosts(
        *, pool: str = '', options: invocation.Options = invocation.NO_OPTIONS
    ) -> invocation.Invocation:
        """List hosts with pool, phase and liveness."""
        return invocation.Invocation(fleet.ListHosts(pool), options)

    return app


def waves() -> cyclopts.App:
    """Return the commands on maintenance waves."""
    app = cyclopts.App(name='wave', help='Maintenance waves.')

    @app.command(name='list')
    def list_waves(
        *, options: invocation.Options = invocation.NO_OPTIONS
    ) -> invocation.Invocation:
        """List waves and how far they are."""
        return invocation.Invocation(fleet.ListWaves(), options)

    return app
