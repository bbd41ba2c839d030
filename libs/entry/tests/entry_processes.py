"""The intent code of one entry, with sends that a test steps."""

import asyncio
import dataclasses
import enum
from collections.abc import Callable

import entry_faults
from returns import result

from jackdawlatch.backends import runners
from jackdawlatch.entry import intents, keyed, outcomes
from jackdawlatch.entry import surroundings as parts
from jackdawlatch.model import clocks, work
from jackdawlatch.standins import fakes
from jackdawlatch.telemetry import invariants, meters

METERS = meters.Meters('entry', 'fuzz')


@dataclasses.dataclass
class World:
    """What the processes share; ``run`` writes a run down."""

    run: Callable[[work.Request], None]
    clock: clocks.ManualClock = dataclasses.field(
        default_factory=lambda: clocks.ManualClock(1000)
    )
    window_s: float = 60
    sendings: list['Sending'] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        self.truth = fakes.FakeStore(self.clock)


class Ending(enum.StrEnum):
    """How a pending send goes on."""

    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


@dataclasses.dataclass
class Sending:
    """A send that waits: first before its first byte, then for its end."""

    request: work.Request
    process: str
    started: bool = False
    go_on: asyncio.Future[Ending] = dataclasses.field(
        default_factory=asyncio.Future
    )


class Process:
    """The intent code of one entry, whose sends the fuzzer steps."""

    def __init__(self, name: str, world: World, vouches: bool = False) -> None:
        self.name = name
        self.world = world
        self.store = entry_faults.FaultyStore(world.truth)
        around = parts.Surroundings(
            fleet=None,
            roster=None,
            members=None,
            signs=None,
            endpoint=None,
            clock=world.clock,
            meters=METERS,
            invariants=invariants.Invariants(METERS, strict=True),
            ring=None,
        )
        bucket = intents.Intents(self.store, 0, world.clock, 0)
        self.keyed = keyed.Keyed(
            around, [bucket], self.send, world.window_s, lambda _: vouches
        )

    async def send(self, request: work.Request) -> outcomes.Outcome:
        """Do what the dispatcher and a runner would."""
        sending = Sending(request, self.name)
        self.world.sendings.append(sending)
        ending = await sending.go_on
        if ending is Ending.REFUSED:
            return result.Failure(runners.Busy(message='busy'))
        if self.world.clock.wall_s() >= request.deadline_s:
            return result.Failure(runners.TooLate(message='late'))
        self.world.run(request)
        sending.started = True
        sending.go_on = asyncio.Future()
        self.world.sendings.append(sending)
        if await sending.go_on is Ending.UNKNOWN:
            return result.Failure(runners.NoWholeAnswer(message='cut'))
        return result.Success(answer_to(request))


def answer_to(request: work.Request) -> work.Answer:
    return work.Answer(status=200, body=request.key.encode() + request.body)
