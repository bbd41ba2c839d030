"""A long randomized run of real processes under faults."""

import asyncio
import random
import time
from typing import TextIO

from returns import result

from jackdawlatch.node import launching
from jackdawlatch.standins import (
    disruptions,
    interrupts,
    outages,
    profiles,
    soak_checks,
    soak_workload,
    testbed,
)

MAX_CONCURRENT = 2
MAX_PAUSE_S = 3.0


def run(
    profile: profiles.Profile, seed: int, seconds: float, stdout: TextIO
) -> launching.ExitStatus:
    """Run a soak and end all its processes; fails on any violation."""
    found = interrupts.run(_soak(profile, seed, seconds, stdout))
    if found:
        return launching.ExitStatus.FAILED
    return launching.ExitStatus.OK


async def _soak(
    profile: profiles.Profile, seed: int, seconds: float, stdout: TextIO
) -> int:
    rng = random.Random(f'{seed} schedule')
    with testbed.open_testbed(profile, rng, by_rack=True) as bed:
        started = await bed.start()
        if isinstance(started, result.Failure):
            stdout.write(f'FAILED start: {started.failure().line()}\n')
            return 1
        workload = soak_workload.Workload(bed, seed)
        async with workload.running():
            schedule = Schedule(bed, rng, workload.outage_log, stdout)
            await schedule.run(seconds)
        checks = soak_checks.SoakChecks(bed, workload)
        violations = await checks.violations()
        lines = [*checks.summary(), *(one.line() for one in violations)]
        stdout.writelines(f'{line}\n' for line in lines)
        stdout.write(f'seed {seed}: {len(violations)} violations\n')
        return len(violations)


class Schedule:
    """Runs random disruptions, at most ``MAX_CONCURRENT`` at once."""

    def __init__(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
        stdout: TextIO,
    ) -> None:
        self._bed = bed
        self._rng = rng
        self._outage_log = outage_log
        self._stdout = stdout
        self._started_s = time.monotonic()

    async def run(self, seconds: float) -> None:
        """Disrupt for ``seconds``; on return no fault is in force."""
        names = tuple(disruptions.DISRUPTIONS_BY_NAME)
        while time.monotonic() < self._started_s + seconds:
            count = self._rng.randint(1, MAX_CONCURRENT)
            chosen = self._rng.sample(names, count)
            await asyncio.gather(*(self._disrupt(name) for name in chosen))
            await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))

    async def _disrupt(self, name: str) -> None:
        # Each has its own generator, so that concurrent ones do not interfere.
        rng = random.Random(self._rng.random())
        started_s = time.monotonic() - self._started_s
        disruption = disruptions.DISRUPTIONS_BY_NAME[name]
        done = await disruption.run(self._bed, rng, self._outage_log)
        ended_s = time.monotonic() - self._started_s
        self._stdout.write(
            f'{started_s:7.1f} to {ended_s:5.1f} s  {name}: {done}\n'
        )
        self._stdout.flush()
