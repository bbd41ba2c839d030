"""What runners and workers really ran, written down for an oracle."""

import pathlib
from typing import BinaryIO

import msgspec

from jackdawlatch.model import records


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


class Executions:
    """Remembers every run, and appends it to a file if one is given.

    The file has one JSON record a line, written at the start of a run and
    once more at its end, so that it outlives a killed process.
    """

    def __init__(self, path: str = '') -> None:
        self._file: BinaryIO | None = None
        if path:
            self._file = pathlib.Path(path).open('ab', buffering=0)
        self._executions: list[Execution] = []

    def begin(self, execution: Execution) -> Execution:
        """Write a run down before it starts; returns it with its number."""
        numbered = records.replace(execution, number=len(self._executions))
        self._executions.append(numbered)
        self._append(numbered)
        return numbered

    def end(self, execution: Execution, end_s: float, outcome: str) -> None:
        """Write down how a run ended."""
        ended = records.replace(execution, end_s=end_s, outcome=outcome)
        self._executions[execution.number] = ended
        self._append(ended)

    def since(self, number: int) -> tuple[Execution, ...]:
        """Return the runs from a number on."""
        return tuple(self._executions[number:])

    def close(self) -> None:
        """Close the file."""
        if self._file:
            self._file.close()

    def _append(self, execution: Execution) -> None:
        if self._file:
            line = msgspec.json.encode(execution)
            self._file.write(b'%b\n' % line)


def read(path: pathlib.Path) -> tuple[Execution, ...]:
    """Return the runs of a file, each as it was last written."""
    if not path.exists():
        return ()
    runs_by_start: dict[tuple[int, float], Execution] = {}
    for line in path.read_bytes().splitlines():
        execution = msgspec.json.decode(line, type=Execution)
        place = (execution.number, execution.start_s)
        runs_by_start[place] = execution
    return tuple(runs_by_start.values())
