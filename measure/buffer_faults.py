"""What befalls a fleet in virtual time."""

import heapq
import random
import types
from collections.abc import Callable, Iterator, Mapping

from jackdawlatch.membership import transitions, wave_changes
from measure import buffer_fleet

DAY_S = 86_400.0
DAYS = 56
SETTLED_S = 3600.0
REPAIR_S = 4 * 3600.0
WAVE_EVERY_DAYS = 28
PEAK_FROM_S = 6 * 3600.0
PEAK_S = 4 * 3600.0
# A day of 10,000 hosts, as the letter has it, for each host of a fleet.
FAILURES_PER_HOST_DAY = 150 / 10_000
RESTARTS_PER_HOST_DAY = 1300 / 10_000
# A rack goes every week in 10,000 hosts; here 25 times as often, to see it.
RACKS_PER_DAY = 25 / 7 * 30 / 10_000

Happening = tuple[float, int, str, str]


def happenings(names: list[str], peaks: bool, seed: int) -> list[Happening]:
    """Return what befalls a fleet, the same for every policy."""
    chosen = [*_faults(names, random.Random(seed)), *_routine()]
    if peaks:
        chosen.extend(_peaks())
    numbered = [
        (at_s, number, kind, subject)
        for number, (at_s, kind, subject) in enumerate(chosen)
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
        at_s = SETTLED_S + rng.expovariate(per_day / DAY_S)
        while at_s < DAYS * DAY_S:
            yield (at_s, kind, rng.choice(names))
            at_s += rng.expovariate(per_day / DAY_S)


def _routine() -> Iterator[tuple[float, str, str]]:
    for day in range(1, DAYS, WAVE_EVERY_DAYS):
        yield (day * DAY_S, 'wave', f'w{day}')


def _peaks() -> Iterator[tuple[float, str, str]]:
    for day in range(DAYS):
        peak_s = day * DAY_S + PEAK_FROM_S
        yield (peak_s, 'use', 'peak')
        yield (peak_s + PEAK_S, 'use', 'ordinary')


def befall(fleet: buffer_fleet.Fleet, kind: str, subject: str) -> None:
    """Let something happen to a fleet."""
    BEFALL_BY_KIND[kind](fleet, subject)


def _use(fleet: buffer_fleet.Fleet, preset: str) -> None:
    fleet.in_force = preset


def _wave(fleet: buffer_fleet.Fleet, wave: str) -> None:
    started = transitions.apply_all(
        fleet.value, [wave_changes.StartWave(wave)], fleet.limits(), fleet.now_s
    )
    fleet.value = started.unwrap()


def _restart(fleet: buffer_fleet.Fleet, host: str) -> None:
    fleet.down(host, buffer_fleet.REBOOT_S)


def _failure(fleet: buffer_fleet.Fleet, host: str) -> None:
    fleet.totals.failures += 1
    fleet.down(host, REPAIR_S)


def _rack(fleet: buffer_fleet.Fleet, struck: str) -> None:
    rack = fleet.hosts_by_id[struck].rack
    for host, described in fleet.hosts_by_id.items():
        if described.rack == rack:
            _failure(fleet, host)


BEFALL_BY_KIND: Mapping[str, Callable[[buffer_fleet.Fleet, str], None]] = (
    types.MappingProxyType(
        {
            'use': _use,
            'wave': _wave,
            'restart': _restart,
            'failure': _failure,
            'rack': _rack,
        }
    )
)
