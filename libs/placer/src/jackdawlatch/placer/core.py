"""The program ``jackdawlatch-placer``."""

from absl import logging
from returns import result

from jackdawlatch.backends import http_workers
from jackdawlatch.node import launching
from jackdawlatch.placer import root
from jackdawlatch.settings import daemons
from jackdawlatch.store import remote


class Program(launching.Program[daemons.Daemon]):
    """A placer on the platform's store and workers."""

    name = 'jackdawlatch-placer'
    settings_type = daemons.Daemon

    async def run(self, settings: daemons.Daemon) -> launching.ExitStatus:
        """Run the placer until it is stopped."""
        store = remote.RemoteStore(settings.store_addresses)
        worker_client = http_workers.HttpWorkers()
        placer = root.Root(settings, store, worker_client)
        started = await placer.start()
        if isinstance(started, result.Failure):
            logging.error('%s', started.failure().line())
            return launching.ExitStatus.USAGE
        await placer.run()
        worker_client.close()
        store.close()
        if placer.node.failed:
            return launching.ExitStatus.FAILED
        return launching.ExitStatus.OK


def main(environment: launching.Environment) -> launching.ExitStatus:
    """Run the command line and return its exit status."""
    return launching.launch(Program(), environment)
