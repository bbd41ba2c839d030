"""Interface to the platform's host list."""

import abc
from typing import ClassVar

from returns import result

from jackdawlatch.model import failures, hosts


class ListUnavailable(failures.Problem, frozen=True, kw_only=True):
    """The list could not be read."""

    code: ClassVar[str] = 'host-list-unavailable'


class RebootRefused(failures.NotRun, frozen=True, kw_only=True):
    """The platform will definitely not reboot the host for this call."""

    code: ClassVar[str] = 'reboot-refused'


class RebootUncertain(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The host may or may not be rebooted."""

    code: ClassVar[str] = 'reboot-uncertain'


class HostList(abc.ABC):
    """The platform's host list; it lags behind the actual state."""

    @abc.abstractmethod
    async def read(
        self,
    ) -> result.Result[tuple[hosts.Host, ...], ListUnavailable]:
        """Return every host of the platform."""

    @abc.abstractmethod
    async def reboot(
        self, host_id: str
    ) -> result.Result[None, RebootRefused | RebootUncertain]:
        """Request a reboot; success means it was accepted."""
