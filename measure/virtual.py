"""A loop of arrivals and service times around real brokers, in virtual time.

It is a focused test of the decision code.  Runners are slots that are held
for the service time; messages to a broker take the one-way delay.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterator, Sequence

from returns import result

from jackdawlatch.admission import broker, limits, tickets
from jackdawlatch.model import presets, work

RUNNERS = 6
SLOTS = 8
ENTRIES = 6
TOTAL_SLOTS = RUNNERS * SLOTS


@dataclasses.dataclass(frozen=True)
class Stream:
    """Poisson arrivals of one kind, with exponential service times.

    ``load`` is the work offered over what all slots can do, as a function
    of time, and ``peak`` the most that it gets to.
    """

    name: str
    kind: work.Kind
    mean_s: float
    budget_s: float
    peak: float
    load: Callable[[float], float]


@dataclasses.dataclass
class Outcome:
    """One arrival: ``latency_s`` is none if it was not answered."""

    stream: str
    at_s: float
    service_s: float
    budget_s: float
    latency_s: float | None = None

    @property
    def good(self) -> bool:
        """Whether it was answered within its deadline."""
        return self.latency_s is not None and self.latency_s <= self.budget_s


class Loop:
    """Runs streams through one broker, or through one for each entry."""

    def __init__(
        self,
        preset: presets.Preset,
        seed: int,
        delay_s: float,
        shared: bool = True,
    ) -> None:
        self.now_s: float = 0
        self.outcomes: list[Outcome] = []
        self._seed = seed
        self._delay_s = delay_s
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._outcomes_by_id: dict[str, Outcome] = {}
        self._brokers = list(_brokers(preset, seed, shared))

    def run(self, streams: Sequence[Stream], end_s: float) -> list[Outcome]:
        """Run until all that arrived before the end is over."""
        for stream in streams:
            numbers = random.Random(f'{self._seed}/{stream.name}')
            self._arrive_next(stream, numbers, end_s)
        while self._events:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        return self.outcomes

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self.now_s + delay_s, next(self._numbers), event)
        )

    def _arrive_next(
        self, stream: Stream, numbers: random.Random, end_s: float
    ) -> None:
        peak_per_s = stream.peak * TOTAL_SLOTS / stream.mean_s
        gap_s = numbers.expovariate(peak_per_s)
        if self.now_s + gap_s < end_s:
            self._after(gap_s, lambda: self._arrive(stream, numbers, end_s))

    def _arrive(
        self, stream: Stream, numbers: random.Random, end_s: float
    ) -> None:
        service_s = numbers.expovariate(1 / stream.mean_s)
        # Arrivals at the peak rate are thinned out to the present one.
        if numbers.random() * stream.peak < stream.load(self.now_s):
            self._send(stream, service_s)
        self._arrive_next(stream, numbers, end_s)

    def _send(self, stream: Stream, service_s: float) -> None:
        outcome = Outcome(stream.name, self.now_s, service_s, stream.budget_s)
        self.outcomes.append(outcome)
        entry = self._random.randrange(ENTRIES)
        ticket = tickets.Ticket(
            id=str(len(self.outcomes)),
            kind=stream.kind,
            deadline_s=self.now_s + stream.budget_s,
            entry=str(entry),
        )
        chosen = self._brokers[entry % len(self._brokers)]
        self._outcomes_by_id[ticket.id] = outcome
        self._after(self._hop_s(entry), lambda: self._ask(chosen, ticket))

    def _hop_s(self, entry: int) -> float:
        # The broker of the service is one of the entries: no hop from there.
        alone = len(self._brokers) > 1
        return 0 if alone or entry == 0 else self._delay_s

    def _ask(self, chosen: broker.Broker, ticket: tickets.Ticket) -> None:
        asked = chosen.request_slot(ticket, self.now_s)
        if isinstance(asked, result.Success):
            self._turn(chosen)

    def _turn(self, chosen: broker.Broker) -> None:
        for grant in chosen.allocate(self.now_s).grants:
            outcome = self._outcomes_by_id.pop(grant.ticket.id)
            hop_s = self._hop_s(int(grant.ticket.entry))
            self._after(
                hop_s + outcome.service_s,
                self._ending(chosen, grant, outcome, hop_s),
            )

    def _ending(
        self,
        chosen: broker.Broker,
        grant: tickets.Grant,
        outcome: Outcome,
        hop_s: float,
    ) -> Callable[[], None]:
        def release() -> None:
            answered = tickets.Outcome.ANSWERED
            chosen.release(grant.ticket.id, answered, self.now_s)
            self._turn(chosen)

        def end() -> None:
            outcome.latency_s = self.now_s - outcome.at_s
            self._after(hop_s, release)

        return end


def _brokers(
    preset: presets.Preset, seed: int, shared: bool
) -> Iterator[broker.Broker]:
    slots_by_host = {f'runner-{number}': SLOTS for number in range(RUNNERS)}
    names = [str(number) for number in range(ENTRIES)]
    for name in names[: 1 if shared else ENTRIES]:
        made = broker.Broker(preset, random.Random(f'{seed}/{name}'))
        made.replace_runners(
            slots_by_host
            if shared
            else limits.static_slots(slots_by_host, names, name)
        )
        yield made
