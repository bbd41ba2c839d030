"""The program ``jackdawlatch-steward``."""

from absl import logging
from returns import result

from jackdawlatch.backends import http_hostlist, http_workers
from jackdawlatch.node import launching
from jackdawlatch.steward import http_backends, root
from jackdawlatch.steward import settings as steward_settings
from jackdawlatch.store import remote


class Program(launching.Program[steward_settings.Steward]):
    """A steward over the platform's store, host list and hosts."""

    name = 'jackdawlatch-steward'
    settings_type = steward_settings.Steward

    async def run(
        self, settings: steward_settings.Steward
    ) -> launching.ExitStatus:
        """Run until stopped."""
        store = remote.RemoteStore(settings.store_addresses)
        platform = http_hostlist.HttpHostList(settings.hosts_address)
        own_workers = http_workers.HttpWorkers()
        through = http_backends.HttpBackends(platform, own_workers)
        steward = root.Root(settings, store, through)
        started = await steward.start()
        if isinstance(started, result.Failure):
            logging.error('%s', started.failure().line())
            return launching.ExitStatus.USAGE
        await steward.run()
        for opened in (through, own_workers, platform, store):
            opened.close()
        if steward.node.failed:
            return launching.ExitStatus.FAILED
        return launching.ExitStatus.OK


def main(environment: launching.Environment) -> launching.ExitStatus:
    """Run the command line to its end."""
    return launching.launch(Program(), environment)
