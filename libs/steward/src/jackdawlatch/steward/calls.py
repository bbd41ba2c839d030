"""Calls that a steward's pass plans to make to hosts and the platform."""

import abc
import dataclasses

from jackdawlatch.membership import shards
from jackdawlatch.model import hosts
from jackdawlatch.steward import fleet_client


@dataclasses.dataclass(frozen=True)
class Call(abc.ABC):
    """A call that is valid only while the host is in the phase it names.

    ``since_s`` distinguishes that phase from a later one of the same name.
    """

    host: str
    phase: hosts.Phase
    since_s: float

    def is_due(self, value: shards.Shard) -> bool:
        """Return whether the host is still in the call's phase."""
        found = value.assignments_by_host.get(self.host)
        if found is None:
            return False
        return (found.phase, found.since_s) == (self.phase, self.since_s)

    @abc.abstractmethod
    async def send(
        self, host: hosts.Host, client: fleet_client.FleetClient
    ) -> fleet_client.CallResult:
        """Send the call; return its failure, if any."""


@dataclasses.dataclass(frozen=True)
class Drain(Call):
    """Ask the host to refuse new requests."""

    async def send(
        self, host: hosts.Host, client: fleet_client.FleetClient
    ) -> fleet_client.CallResult:
        """Send the drain call to the host."""
        return await client.drain(host)


@dataclasses.dataclass(frozen=True)
class Resume(Call):
    """Ask the host to accept requests again."""

    async def send(
        self, host: hosts.Host, client: fleet_client.FleetClient
    ) -> fleet_client.CallResult:
        """Send the resume call to the host."""
        return await client.resume(host)


@dataclasses.dataclass(frozen=True)
class Reboot(Call):
    """Ask the platform to reboot the host."""

    async def send(
        self, host: hosts.Host, client: fleet_client.FleetClient
    ) -> fleet_client.CallResult:
        """Request the reboot from the platform."""
        return await client.reboot(host)
