"""The program ``jackdawlatch-steward``."""

from absl import logging
from returns import result

from jackdawlatch.backends import http_hostlist, http_workers
from jackdawlatch.node import launching
from jackdawlatch.steward import http_fleet_client, root
from jackdawlatch.steward import settings as steward_settings
from jackdawlatch.store import remote


class Program(launching.Program[steward_settings.Steward]):
    """A steward that uses the platform's store and host list over HTTP."""

    name = 'jackdawlatch-steward'
    settings_type = steward_settings.Steward

    async def run(
        self, settings: steward_settings.Steward
    ) -> launching.ExitStatus:
        """Run until stopped; return the exit status."""
        store = remote.RemoteStore(settings.store_addresses)
        host_list = http_hostlist.HttpHostList(settings.hosts_address)
        worker_client = http_workers.HttpWorkers()
        client = http_fleet_client.HttpFleetClient(host_list, worker_client)
        steward = root.Root(settings, store, client)
        started = await steward.start()
        if isinstance(started, result.Failure):
            logging.error('%s', started.failure().line())
            return launching.ExitStatus.USAGE
        await steward.run()
        for resource in (client, worker_client, host_list, store):
            resource.close()
        if steward.node.failed:
            return launching.ExitStatus.FAILED
        return launching.ExitStatus.OK


def main(environment: launching.Environment) -> launching.ExitStatus:
    """Run the command line; return the exit status."""
    return launching.launch(Program(), environment)
