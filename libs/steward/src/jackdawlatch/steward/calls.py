"""Calls to hosts that a pass of the steward decides on."""

import abc
import dataclasses

from jackdawlatch.membership import shards
from jackdawlatch.model import hosts
from jackdawlatch.steward import backends


@dataclasses.dataclass(frozen=True)
class Call(abc.ABC):
    """A call that is right only while the host is in a certain phase.

    ``since_s`` tells that phase from a later one of the same name.
    """

    host: str
    phase: hosts.Phase
    since_s: float

    def due(self, value: shards.Shard) -> bool:
        """Return whether the present value still asks for the call."""
        found = value.assignments_by_host.get(self.host)
        if found is None:
            return False
        return (found.phase, found.since_s) == (self.phase, self.since_s)

    @abc.abstractmethod
    async def make(
        self, host: hosts.Host, through: backends.Backends
    ) -> backends.Done:
        """Make the call."""


@dataclasses.dataclass(frozen=True)
class Drain(Call):
    """Ask the host to refuse new requests."""

    async def make(
        self, host: hosts.Host, through: backends.Backends
    ) -> backends.Done:
        """Make the call."""
        return await through.drain(host)


@dataclasses.dataclass(frozen=True)
class Resume(Call):
    """Ask the host to accept requests again."""

    async def make(
        self, host: hosts.Host, through: backends.Backends
    ) -> backends.Done:
        """Make the call."""
        return await through.resume(host)


@dataclasses.dataclass(frozen=True)
class Reboot(Call):
    """Ask the platform to reboot the host."""

    async def make(
        self, host: hosts.Host, through: backends.Backends
    ) -> backends.Done:
        """Make the call."""
        return await through.reboot(host)
