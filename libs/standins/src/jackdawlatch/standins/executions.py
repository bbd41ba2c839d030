"""What runners and workers really ran, written down for an oracle."""

import pathlib

from jackdawlatch.model import records
from jackdawlatch.standins import json_lines


class Execution(records.Record, frozen=True, kw_only=True):
    """One run of a request or a task.

    ``number`` counts the runs of one life of the host.  ``start_s`` and
    ``end_s`` are seconds since the epoch; a run without an end has 0.
    """

    host: str
    number: int
    id: str
    key: str = ''
    service: str = ''
    method: str = ''
    path: str = ''
    start_s: float
    end_s: float = 0
    outcome: str = ''


class Refusal(records.Record, frozen=True, kw_only=True):
    """Work that was refused since its target was leaving.

    Times are seconds since the epoch.
    """

    host: str
    id: str
    leaving_since_s: float
    at_s: float


class ExecutionLog:
    """Remembers every run, and appends it to a file if one is given.

    A run is written at its start and once more at its end.
    """

    def __init__(self, path: str = '') -> None:
        self._writer = json_lines.JsonLinesWriter(path)
        self._executions: list[Execution] = []

    def begin(self, execution: Execution) -> Execution:
        """Write a run down before it starts; returns it with its number."""
        numbered = records.replace(execution, number=len(self._executions))
        self._executions.append(numbered)
        self._writer.append(numbered)
        return numbered

    def end(self, execution: Execution, end_s: float, outcome: str) -> None:
        """Write down how a run ended."""
        ended = records.replace(execution, end_s=end_s, outcome=outcome)
        self._executions[execution.number] = ended
        self._writer.append(ended)

    def since(self, number: int) -> tuple[Execution, ...]:
        """Return the runs from a number on."""
        return tuple(self._executions[number:])


def read(path: pathlib.Path) -> tuple[Execution, ...]:
    """Return the runs of a file, each as it was last written."""
    runs_by_start: dict[tuple[int, float], Execution] = {}
    for execution in json_lines.read(path, Execution):
        key = (execution.number, execution.start_s)
        runs_by_start[key] = execution
    return tuple(runs_by_start.values())
