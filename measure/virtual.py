"""Discrete-event simulation of requests to real slot brokers.

Only the brokers' admission decisions are real. A runner is a number of slots,
each held for the service time; a message to a broker takes the one-way delay.
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

    ``load`` returns the offered work over the capacity of all slots at a
    time in seconds, and ``peak`` is its maximum.
    """

    name: str
    kind: work.Kind
    mean_s: float
    budget_s: float
    peak: float
    load: Callable[[float], float]


@dataclasses.dataclass
class Outcome:
    """One request; ``latency_s`` is None if it was not answered."""

    stream: str
    at_s: float
    service_s: float
    budget_s: float
    latency_s: float | None = None

    @property
    def good(self) -> bool:
        """Return whether it was answered within its deadline."""
        return self.latency_s is not None and self.latency_s <= self.budget_s


class BrokerSimulation:
    """Simulates streams with one shared broker or one for each entry."""

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
        self._rng = random.Random(seed)
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._outcomes_by_id: dict[str, Outcome] = {}
        self._brokers = list(_brokers(preset, seed, shared))

    def run(self, streams: Sequence[Stream], end_s: float) -> list[Outcome]:
        """Run until all requests that arrive before ``end_s`` have ended."""
        for stream in streams:
            rng = random.Random(f'{self._seed}/{stream.name}')
            self._arrive_next(stream, rng, end_s)
        while self._events:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        return self.outcomes

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(
            self._events,
            (self.now_s + delay_s, next(self._event_numbers), event),
        )

    def _arrive_next(
        self, stream: Stream, rng: random.Random, end_s: float
    ) -> None:
        peak_per_s = stream.peak * TOTAL_SLOTS / stream.mean_s
        gap_s = rng.expovariate(peak_per_s)
        if self.now_s + gap_s < end_s:
            self._after(gap_s, lambda: self._arrive(stream, rng, end_s))

    def _arrive(self, stream: Stream, rng: random.Random, end_s: float) -> None:
        service_s = rng.expovariate(1 / stream.mean_s)
        # Thins arrivals at the peak rate to the rate at this time.
        if rng.random() * stream.peak < stream.load(self.now_s):
            self._send(stream, service_s)
        self._arrive_next(stream, rng, end_s)

    def _send(self, stream: Stream, service_s: float) -> None:
        outcome = Outcome(stream.name, self.now_s, service_s, stream.budget_s)
        self.outcomes.append(outcome)
        entry = self._rng.randrange(ENTRIES)
        ticket = tickets.Ticket(
            id=str(len(self.outcomes)),
            kind=stream.kind,
            deadline_s=self.now_s + stream.budget_s,
            entry=str(entry),
        )
        slot_broker = self._brokers[entry % len(self._brokers)]
        self._outcomes_by_id[ticket.id] = outcome
        self._after(
            self._hop_s(entry), lambda: self._request_slot(slot_broker, ticket)
        )

    def _hop_s(self, entry: int) -> float:
        # Entry 0 holds the shared broker, so it reaches it without delay.
        separate = len(self._brokers) > 1
        return 0 if separate or entry == 0 else self._delay_s

    def _request_slot(
        self, slot_broker: broker.Broker, ticket: tickets.Ticket
    ) -> None:
        asked = slot_broker.request_slot(ticket, self.now_s)
        if isinstance(asked, result.Success):
            self._grant_slots(slot_broker)

    def _grant_slots(self, slot_broker: broker.Broker) -> None:
        for grant in slot_broker.allocate(self.now_s).grants:
            outcome = self._outcomes_by_id.pop(grant.ticket.id)
            hop_s = self._hop_s(int(grant.ticket.entry))
            self._after(
                hop_s + outcome.service_s,
                self._completion(slot_broker, grant, outcome, hop_s),
            )

    def _completion(
        self,
        slot_broker: broker.Broker,
        grant: tickets.Grant,
        outcome: Outcome,
        hop_s: float,
    ) -> Callable[[], None]:
        def release() -> None:
            answered = tickets.Outcome.ANSWERED
            slot_broker.release(grant.ticket.id, answered, self.now_s)
            self._grant_slots(slot_broker)

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
        new_broker = broker.Broker(preset, random.Random(f'{seed}/{name}'))
        new_broker.replace_runners(
            slots_by_host
            if shared
            else limits.static_slots(slots_by_host, names, name)
        )
        yield new_broker
