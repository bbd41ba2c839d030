"""Processor time per request of the slot broker, by size of its state."""

import random
import time
from collections.abc import Iterator

from jackdawlatch.admission import broker, tickets
from jackdawlatch.model import presets, work
from measure import base

REQUESTS = 1000
SLOTS = 8
US_PER_S = 1e6
HOSTS = (6, 60, 333)
KINDS = (5, 50, 330)
QUEUED = (10, 1000, 10_000)


class BrokerCost(base.Benchmark):
    """Processor time to queue, grant and release one slot."""

    name = 'broker-cost'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Vary the number of runners, of kinds and of queued requests."""
        rows = [
            *((hosts, 5, 10) for hosts in HOSTS),
            *((6, kinds, 2 * kinds) for kinds in KINDS),
            *((6, 5, queued) for queued in QUEUED),
        ]
        yield base.Table(
            title='Processor time of the broker for each request',
            note=(
                'One ask, one grant and one release, all slots in use; the '
                'least of three runs.'
            ),
            columns=('runners', 'kinds', 'queued', 'us per request'),
            rows=tuple(
                (*row, round(min(_cost_us(*row, seed) for _ in range(3)), 1))
                for row in rows
            ),
        )


def _cost_us(hosts: int, kinds: int, queued: int, seed: int) -> float:
    preset = presets.Preset(name='measure', queue_limit=100_000)
    slot_broker = broker.Broker(preset, random.Random(seed))
    slot_broker.replace_runners({str(number): SLOTS for number in range(hosts)})
    all_kinds = [
        work.Kind(service='match', team=str(number)) for number in range(kinds)
    ]
    for number in range(hosts * SLOTS + queued):
        slot_broker.request_slot(_ticket(number, all_kinds), 0)
    granted = list(slot_broker.allocate(0).grants)
    started_s = time.process_time()
    for step in range(REQUESTS):
        now_s = step / REQUESTS
        slot_broker.request_slot(
            _ticket(hosts * SLOTS + queued + step, all_kinds), now_s
        )
        oldest = granted.pop(0)
        slot_broker.release(oldest.ticket.id, tickets.Outcome.ANSWERED, now_s)
        granted.extend(slot_broker.allocate(now_s).grants)
    return (time.process_time() - started_s) / REQUESTS * US_PER_S


def _ticket(number: int, kinds: list[work.Kind]) -> tickets.Ticket:
    kind = kinds[number % len(kinds)]
    return tickets.Ticket(id=str(number), kind=kind, deadline_s=1e9)
