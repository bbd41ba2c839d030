"""The interface of the operations that commands run."""

import abc
import dataclasses
from typing import Any

from returns import result

from jackdawlatch.command import exit_statuses, fleet_client
from jackdawlatch.model import failures


@dataclasses.dataclass(frozen=True)
class Report:
    """The output of a command: ``content`` for ``--json``, else ``lines``."""

    content: Any
    lines: tuple[str, ...]
    exit_status: exit_statuses.ExitStatus = exit_statuses.ExitStatus.OK


Outcome = result.Result[Report, failures.Problem]


class Operation(abc.ABC):
    """A command with its arguments; subclasses are frozen data classes."""

    @abc.abstractmethod
    async def run(self, client: fleet_client.FleetClient) -> Outcome:
        """Run the command and return its report, or the failure."""


class Detached(Operation):
    """A command that also runs without settings, on files alone."""

    @abc.abstractmethod
    async def run_detached(self) -> Outcome:
        """Run the command without access to the fleet."""
