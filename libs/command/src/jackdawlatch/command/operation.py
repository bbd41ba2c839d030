"""What a command does, apart from how it is typed."""

import abc
import dataclasses
from typing import Any

from returns import result

from jackdawlatch.command import session, status
from jackdawlatch.model import failures


@dataclasses.dataclass(frozen=True)
class Report:
    """What is printed: ``content`` as JSON, or ``lines`` as text."""

    content: Any
    lines: tuple[str, ...]
    exit_status: status.ExitStatus = status.ExitStatus.OK


Reported = result.Result[Report, failures.Problem]


class Operation(abc.ABC):
    """One command with its arguments; subclasses are frozen data classes."""

    @abc.abstractmethod
    async def run(self, opened: session.Session) -> Reported:
        """Do the work and return what to print."""
