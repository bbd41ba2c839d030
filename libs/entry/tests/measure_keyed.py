"""Measures the cost of intents: store writes per request, and latency added.

Run as ``python libs/entry/tests/measure_keyed.py``; prints one JSON record
per line.  Buckets are owned by six entries in turn; the store answers in 3 ms
and a target in 5 ms.
"""

import asyncio
import json
import statistics
import sys
import time

import entry_processes
from returns import result

from jackdawlatch.entry import (
    intent_keys,
    intent_store,
    keyed_requests,
    outcomes,
    shared_dependencies,
)
from jackdawlatch.model import clocks, work
from jackdawlatch.standins import fakes
from jackdawlatch.telemetry import invariants

ENTRIES = 6
BUCKETS = 32
STORE_S = 0.003
TARGET_S = 0.005
RUN_S = 4
KEY_WINDOW_S = 600
MILLISECONDS_PER_SECOND = 1000


async def _send(request: work.Request) -> outcomes.Outcome:
    await asyncio.sleep(TARGET_S)
    return result.Success(entry_processes.answer_to(request))


def _entry(
    store: fakes.FakeStore, window_s: float
) -> keyed_requests.KeyedRequests:
    clock = clocks.SystemClock()
    dependencies = shared_dependencies.Dependencies(
        fleet=None,
        roster=None,
        entry_peers=None,
        leaving_hosts=None,
        endpoint=None,
        clock=clock,
        meters=entry_processes.METERS,
        invariants=invariants.Invariants(entry_processes.METERS, strict=True),
        ring=None,
    )
    buckets = [
        intent_store.IntentStore(store, number, clock, window_s)
        for number in range(BUCKETS)
    ]
    return keyed_requests.KeyedRequests(
        dependencies, buckets, _send, KEY_WINDOW_S, lambda _: True
    )


def _request(number: int) -> work.Request:
    return work.Request(
        id=f'r{number}',
        kind=work.Kind(service='desk'),
        method='POST',
        path='/x',
        deadline_s=time.time() + 30,
        key=f'k{number}',
        idempotent=False,
    )


async def _measure(rate: int, window_s: float) -> dict[str, float]:
    store = fakes.FakeStore()
    store.slow_s = STORE_S
    entries = [_entry(store, window_s) for _ in range(ENTRIES)]
    durations_s: list[float] = []

    async def send_request(number: int) -> None:
        request = _request(number)
        key_digest = intent_keys.key_digest_of(request)
        bucket = intent_keys.bucket_number_of(key_digest, BUCKETS)
        started_s = time.perf_counter()
        (await entries[bucket % ENTRIES].handle_request(request)).unwrap()
        durations_s.append(time.perf_counter() - started_s)

    tasks = []
    for number in range(rate * RUN_S):
        tasks.append(asyncio.create_task(send_request(number)))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)
    await asyncio.gather(*(entry.flush() for entry in entries))
    puts = store.calls_by_name['put']
    added_ms = sorted(
        (duration_s - TARGET_S) * MILLISECONDS_PER_SECOND
        for duration_s in durations_s
    )
    return {
        'window_ms': window_s * MILLISECONDS_PER_SECOND,
        'requests': len(durations_s),
        'puts_per_request': round(puts / len(durations_s), 3),
        'reads_per_request': round(
            store.calls_by_name['get'] / len(durations_s), 3
        ),
        'puts_per_s': round(puts / RUN_S, 1),
        'added_p50_ms': round(statistics.median(added_ms), 1),
        'added_p99_ms': round(added_ms[int(len(added_ms) * 0.99)], 1),
    }


async def main() -> None:
    """Measure each rate with each window."""
    for window_s in (0, 0.005, 0.02):
        for rate in (20, 100, 400):
            measured = await _measure(rate, window_s)
            sys.stdout.write(f'{json.dumps(measured)}\n')


if __name__ == '__main__':
    asyncio.run(main())
