"""The program ``jackdawlatch-placer``."""

from absl import logging
from returns import result

from jackdawlatch.backends import http_workers
from jackdawlatch.node import launching
from jackdawlatch.placer import root
from jackdawlatch.settings import daemons
from jackdawlatch.store import remote


class Program(launching.Program[daemons.Daemon]):
    """A placer over the platform's store and workers."""

    name = 'jackdawlatch-placer'
    settings_type = daemons.Daemon

    async def run(self, settings: daemons.Daemon) -> launching.ExitStatus:
        """Run until stopped."""
        store = remote.RemoteStore(settings.store_addresses)
        own_workers = http_workers.HttpWorkers()
        placer = root.Root(settings, store, own_workers)
        started = await placer.start()
        if isinstance(started, result.Failure):
            logging.error('%s', started.failure().line())
            return launching.ExitStatus.USAGE
        await placer.run()
        own_workers.close()
        store.close()
        if placer.node.failed:
            return launching.ExitStatus.FAILED
        return launching.ExitStatus.OK


def main(environment: launching.Environment) -> launching.ExitStatus:
    """Run the command line to its end."""
    return launching.launch(Program(), environment)
