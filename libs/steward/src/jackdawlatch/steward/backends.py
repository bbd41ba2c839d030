"""What a steward asks of hosts and of the platform, behind one interface."""

import abc

from returns import result

from jackdawlatch.model import failures, hosts, records

Done = result.Result[None, failures.Problem]
Listed = result.Result[tuple[hosts.Host, ...], failures.Problem]


class HostState(records.Record, frozen=True, kw_only=True):
    """What runs on a host: requests in flight, tasks, whether it drains."""

    in_use: int = 0
    tasks: int = 0
    leaving: bool = False

    @property
    def idle(self) -> bool:
        """Whether a reboot would cut nothing."""
        return not self.in_use and not self.tasks


Stated = result.Result[HostState, failures.Problem]


class Backends(abc.ABC):
    """The hosts and the platform; every call is idempotent."""

    @abc.abstractmethod
    async def listed(self) -> Listed:
        """Return the platform's lagging list of hosts."""

    @abc.abstractmethod
    async def state(self, host: hosts.Host) -> Stated:
        """Return what runs on a host, from the host itself."""

    @abc.abstractmethod
    async def drain(self, host: hosts.Host) -> Done:
        """Let the host refuse new requests and complete those in flight."""

    @abc.abstractmethod
    async def resume(self, host: hosts.Host) -> Done:
        """Let the host accept requests again."""

    @abc.abstractmethod
    async def reboot(self, host: hosts.Host) -> Done:
        """Ask the platform to reboot the host."""
