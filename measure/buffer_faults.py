"""Faults, waves and demand peaks of a simulated fleet."""

import heapq
import random
import types
from collections.abc import Callable, Iterator, Mapping

from jackdawlatch.membership import transitions, wave_changes
from measure import buffer_fleet

DAY_S = 86_400.0
DAYS = 56
FIRST_FAULT_S = 3600.0
REPAIR_S = 4 * 3600.0
WAVE_EVERY_DAYS = 28
PEAK_FROM_S = 6 * 3600.0
PEAK_S = 4 * 3600.0
# Expected per host and day: 150 failures, 1,300 restarts per 10,000 hosts.
FAILURES_PER_HOST_DAY = 150 / 10_000
RESTARTS_PER_HOST_DAY = 1300 / 10_000
# One rack a week fails in 10,000 hosts; 25 times as often here, so that a
# run has any rack failures, for a fleet of about 30 hosts.
RACKS_PER_DAY = 25 / 7 * 30 / 10_000

Event = tuple[float, int, str, str]


def schedule_events(names: list[str], peaks: bool, seed: int) -> list[Event]:
    """Return the heap of timed events; equal seeds give equal events."""
    events = [*_faults(names, random.Random(seed)), *_waves()]
    if peaks:
        events.extend(_peaks())
    numbered = [
        (at_s, number, kind, subject)
        for number, (at_s, kind, subject) in enumerate(events)
    ]
    heapq.heapify(numbered)
    return numbered


def _faults(
    names: list[str], rng: random.Random
) -> Iterator[tuple[float, str, str]]:
    rates = (
        ('failure', FAILURES_PER_HOST_DAY * len(names)),
        ('restart', RESTARTS_PER_HOST_DAY * len(names)),
        ('rack', RACKS_PER_DAY),
    )
    for kind, per_day in rates:
        at_s = FIRST_FAULT_S + rng.expovariate(per_day / DAY_S)
        while at_s < DAYS * DAY_S:
            yield (at_s, kind, rng.choice(names))
            at_s += rng.expovariate(per_day / DAY_S)


def _waves() -> Iterator[tuple[float, str, str]]:
    for day in range(1, DAYS, WAVE_EVERY_DAYS):
        yield (day * DAY_S, 'wave', f'w{day}')


def _peaks() -> Iterator[tuple[float, str, str]]:
    for day in range(DAYS):
        peak_s = day * DAY_S + PEAK_FROM_S
        yield (peak_s, 'use', 'peak')
        yield (peak_s + PEAK_S, 'use', 'ordinary')


def apply_event(fleet: buffer_fleet.Fleet, kind: str, subject: str) -> None:
    """Apply one event to a fleet."""
    HANDLERS_BY_KIND[kind](fleet, subject)


def _switch_preset(fleet: buffer_fleet.Fleet, preset: str) -> None:
    fleet.in_force = preset


def _wave(fleet: buffer_fleet.Fleet, wave: str) -> None:
    started = transitions.apply_all(
        fleet.shard, [wave_changes.StartWave(wave)], fleet.limits(), fleet.now_s
    )
    fleet.shard = started.unwrap()


def _restart(fleet: buffer_fleet.Fleet, host: str) -> None:
    fleet.take_down(host, buffer_fleet.REBOOT_S)


def _failure(fleet: buffer_fleet.Fleet, host: str) -> None:
    fleet.totals.failures += 1
    fleet.take_down(host, REPAIR_S)


def _rack(fleet: buffer_fleet.Fleet, affected_host: str) -> None:
    rack = fleet.hosts_by_id[affected_host].rack
    for host, description in fleet.hosts_by_id.items():
        if description.rack == rack:
            _failure(fleet, host)


HANDLERS_BY_KIND: Mapping[str, Callable[[buffer_fleet.Fleet, str], None]] = (
    types.MappingProxyType(
        {
            'use': _switch_preset,
            'wave': _wave,
            'restart': _restart,
            'failure': _failure,
            'rack': _rack,
        }
    )
)
