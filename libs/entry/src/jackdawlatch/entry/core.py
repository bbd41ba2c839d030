"""The program ``jackdawlatch-entry``."""

from absl import logging
from returns import result

from jackdawlatch.entry import root
from jackdawlatch.entry import settings as entry_settings
from jackdawlatch.node import launching
from jackdawlatch.store import remote


class Program(launching.Program[entry_settings.Entry]):
    """Runs an entry that uses the platform's store."""

    name = 'jackdawlatch-entry'
    settings_type = entry_settings.Entry

    async def run(self, settings: entry_settings.Entry) -> launching.ExitStatus:
        """Run until stopped; return the exit status of the process."""
        store = remote.RemoteStore(settings.store_addresses)
        entry = root.Root(settings, store)
        started = await entry.start()
        if isinstance(started, result.Failure):
            logging.error('%s', started.failure().line())
            return launching.ExitStatus.USAGE
        await entry.run()
        store.close()
        if entry.node.failed:
            return launching.ExitStatus.FAILED
        return launching.ExitStatus.OK


def main(environment: launching.Environment) -> launching.ExitStatus:
    """Run the program with its command line; return the exit status."""
    return launching.launch(Program(), environment)
