"""The interface through which a steward calls hosts and the platform."""

import abc

from returns import result

from jackdawlatch.model import failures, hosts, records

CallResult = result.Result[None, failures.Problem]
HostListResult = result.Result[tuple[hosts.Host, ...], failures.Problem]


class HostState(records.Record, frozen=True, kw_only=True):
    """What runs on a host, as reported by the host itself.

    ``in_use`` is the number of requests in flight, ``tasks`` that of running
    tasks.  ``leaving`` is set while the host refuses new requests.
    """

    in_use: int = 0
    tasks: int = 0
    leaving: bool = False

    @property
    def idle(self) -> bool:
        """Whether a reboot would interrupt no request and no task."""
        return not self.in_use and not self.tasks


HostStateResult = result.Result[HostState, failures.Problem]


class FleetClient(abc.ABC):
    """Calls to the hosts and the platform; every call is idempotent.

    Each method returns a ``failures.Problem`` if its call fails.
    """

    @abc.abstractmethod
    async def list_hosts(self) -> HostListResult:
        """Return the platform's list of hosts, which lags behind the hosts."""

    @abc.abstractmethod
    async def state(self, host: hosts.Host) -> HostStateResult:
        """Return what runs on a host, as the host itself reports it."""

    @abc.abstractmethod
    async def drain(self, host: hosts.Host) -> CallResult:
        """Make the host refuse new requests and complete those in flight."""

    @abc.abstractmethod
    async def resume(self, host: hosts.Host) -> CallResult:
        """Make the host accept requests again."""

    @abc.abstractmethod
    async def reboot(self, host: hosts.Host) -> CallResult:
        """Ask the platform to reboot the host."""
