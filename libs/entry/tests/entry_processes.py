"""The handling of keyed requests in one entry, with sends under control."""

import asyncio
import dataclasses
import enum
from collections.abc import Callable

import entry_faults
from returns import result

from jackdawlatch.backends import runners
from jackdawlatch.entry import (
    intent_store,
    keyed_requests,
    outcomes,
    shared_dependencies,
)
from jackdawlatch.model import clocks, work
from jackdawlatch.standins import fakes
from jackdawlatch.telemetry import invariants, meters

METERS = meters.Meters('entry', 'fuzz')


@dataclasses.dataclass
class SharedState:
    """State that the processes share; ``record_run`` is called for each run."""

    record_run: Callable[[work.Request], None]
    clock: clocks.ManualClock = dataclasses.field(
        default_factory=lambda: clocks.ManualClock(1000)
    )
    window_s: float = 60
    pending_sends: list['PendingSend'] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.store = fakes.FakeStore(self.clock)


class Ending(enum.StrEnum):
    """How a pending send continues."""

    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


@dataclasses.dataclass
class PendingSend:
    """A send that waits, first to start, then to end."""

    request: work.Request
    process: str
    started: bool = False
    resume: asyncio.Future[Ending] = dataclasses.field(
        default_factory=asyncio.Future
    )


class EntryProcess:
    """The keyed requests of one entry; a test resumes their sends."""

    def __init__(
        self, name: str, shared: SharedState, knows_all_attempts: bool = False
    ) -> None:
        self.name = name
        self.shared = shared
        self.store = entry_faults.FaultyStore(shared.store)
        dependencies = shared_dependencies.Dependencies(
            fleet=None,
            roster=None,
            entry_peers=None,
            leaving_hosts=None,
            endpoint=None,
            clock=shared.clock,
            meters=METERS,
            invariants=invariants.Invariants(METERS, strict=True),
            ring=None,
        )
        bucket = intent_store.IntentStore(self.store, 0, shared.clock, 0)
        self.keyed = keyed_requests.KeyedRequests(
            dependencies,
            [bucket],
            self.send,
            shared.window_s,
            lambda _: knows_all_attempts,
        )

    async def send(self, request: work.Request) -> outcomes.Outcome:
        """Stand in for the dispatcher and a runner."""
        pending = PendingSend(request, self.name)
        self.shared.pending_sends.append(pending)
        ending = await pending.resume
        if ending is Ending.REFUSED:
            return result.Failure(runners.Busy(message='busy'))
        if self.shared.clock.wall_s() >= request.deadline_s:
            return result.Failure(runners.TooLate(message='late'))
        self.shared.record_run(request)
        pending.started = True
        pending.resume = asyncio.Future()
        self.shared.pending_sends.append(pending)
        if await pending.resume is Ending.UNKNOWN:
            return result.Failure(runners.NoWholeAnswer(message='cut'))
        return result.Success(answer_to(request))


def answer_to(request: work.Request) -> work.Answer:
    return work.Answer(status=200, body=request.key.encode() + request.body)
