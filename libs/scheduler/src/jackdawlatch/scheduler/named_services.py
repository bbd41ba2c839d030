"""The services that may have workers."""

from collections.abc import Callable

from jackdawlatch.jobs import queues


class NamedServices:
    """The services that the configuration or an accepted job names.

    A job goes on if its queue and its service are removed, and may be read
    before the configuration.  ``on_named`` is called when there may be more.
    """

    def __init__(self) -> None:
        self.on_named: Callable[[], None] = _ignore
        self._of_jobs: set[str] = set()
        self._catalog = queues.Catalog()

    def __contains__(self, service: str) -> bool:
        """Whether a service is named."""
        return service in self._of_jobs or self._catalog.names_service(service)

    def configure(self, catalog: queues.Catalog) -> None:
        """Replace the configuration."""
        self._catalog = catalog
        self.on_named()

    def add(self, service: str) -> None:
        """Add the service of an accepted job."""
        if service not in self._of_jobs:
            self._of_jobs.add(service)
            self.on_named()


def _ignore() -> None:
    """Do nothing: the callback until the leader sets one."""
