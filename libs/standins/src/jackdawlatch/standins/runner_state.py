"""The state of a runner's stand-in."""

import enum
import time
from typing import Annotated

import msgspec

from jackdawlatch.model import records
from jackdawlatch.standins import executions, json_lines

MAX_MS = 600_000
REFUSED_SUFFIX = '.refused'
MAX_COUNT = 4096
MAX_PORT = 65_535

Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]


class Settings(records.StrictRecord, frozen=True, kw_only=True):
    """One runner; ``delay_ms`` is the one-way latency to its callers."""

    host: str
    port: Port = 0
    slots: Count = 8
    connections: Count = 60
    delay_ms: Milliseconds = 0
    executions_path: str = ''


class Mode(enum.StrEnum):
    """How a runner responds to every request; ``fail`` fails at once."""

    NORMAL = 'normal'
    FAIL = 'fail'
    HANG = 'hang'
    CLOSE = 'close'


class Faults(records.StrictRecord, frozen=True, kw_only=True):
    """The faults in force; ``slow_ms`` is added to every run."""

    mode: Mode = Mode.NORMAL
    slow_ms: Milliseconds = 0


class State(records.Record, frozen=True, kw_only=True):
    """The response to ``GET /-/state``."""

    slots: int
    in_use: int
    leaving: bool


class Runner:
    """The slots, drain, faults and runs of one host."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.executions = executions.ExecutionLog(settings.executions_path)
        self.leaving = False
        self._leaving_since_s: float = 0
        path = settings.executions_path
        self._refusals = json_lines.JsonLinesWriter(
            path and f'{path}{REFUSED_SUFFIX}'
        )
        self.forget()

    @property
    def state(self) -> State:
        """The slots, and whether the runner is leaving."""
        return State(
            slots=self.settings.slots,
            in_use=len(self.running),
            leaving=self.leaving,
        )

    @property
    def refusal_reason(self) -> str:
        """Why a new request would not be run, empty if it would."""
        if self.leaving:
            return 'leaving'
        return 'busy' if len(self.running) >= self.settings.slots else ''

    def leave(self, leaving: bool) -> None:
        """Start or end a drain; starting one again keeps its start time."""
        if leaving and not self.leaving:
            self._leaving_since_s = time.time()
        self.leaving = leaving

    def refuse(self, request_id: str) -> None:
        """Log a refused request if the runner is leaving."""
        if self.leaving:
            self._refusals.append(
                executions.Refusal(
                    host=self.settings.host,
                    id=request_id,
                    leaving_since_s=self._leaving_since_s,
                    at_s=time.time(),
                )
            )

    def begin(self, execution: executions.Execution) -> executions.Execution:
        """Take a slot and log the start of the run."""
        begun = self.executions.begin(execution)
        self.running.add(begun.number)
        return begun

    def end(self, execution: executions.Execution, outcome: str) -> None:
        """Free the slot, unless a reboot did, and log the end of the run."""
        self.running.discard(execution.number)
        self.executions.end(execution, time.time(), outcome)

    def forget(self) -> None:
        """Reset faults, slots and drain, as a reboot does."""
        self.faults = Faults()
        self.running: set[int] = set()
        self.leaving = False
        self._leaving_since_s = 0
