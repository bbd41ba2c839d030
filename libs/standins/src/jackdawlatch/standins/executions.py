"""The log of what runners and workers ran, for the oracle."""

import pathlib

from jackdawlatch.model import records
from jackdawlatch.standins import json_lines


class Execution(records.Record, frozen=True, kw_only=True):
    """One run of a request or a task.

    ``number`` counts the runs of one process, from 0.  ``start_s`` and
    ``end_s`` are seconds since the epoch; ``end_s`` is 0 until the run ended.
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
    """A request that was refused because its target was leaving.

    Times are seconds since the epoch.
    """

    host: str
    id: str
    leaving_since_s: float
    at_s: float


class ExecutionLog:
    """Keeps every run in memory, and appends it to a file if one is given.

    A run is written at its start and once more at its end.
    """

    def __init__(self, path: str = '') -> None:
        self._writer = json_lines.JsonLinesWriter(path)
        self._executions: list[Execution] = []

    def begin(self, execution: Execution) -> Execution:
        """Log a run before it starts; returns it with its number."""
        numbered = records.replace(execution, number=len(self._executions))
        self._executions.append(numbered)
        self._writer.append(numbered)
        return numbered

    def end(self, execution: Execution, end_s: float, outcome: str) -> None:
        """Log the end of a run."""
        ended = records.replace(execution, end_s=end_s, outcome=outcome)
        self._executions[execution.number] = ended
        self._writer.append(ended)

    def since(self, number: int) -> tuple[Execution, ...]:
        """Return the runs, beginning with a number."""
        return tuple(self._executions[number:])


def read(path: pathlib.Path) -> tuple[Execution, ...]:
    """Return the runs of a file, each in its last version.

    Numbers start again when the process is restarted, so a run is identified
    by its number and its start.
    """
    runs_by_start: dict[tuple[int, float], Execution] = {}
    for execution in json_lines.read(path, Execution):
        key = (execution.number, execution.start_s)
        runs_by_start[key] = execution
    return tuple(runs_by_start.values())
