"""Runs one deployment through a series of checked steps."""

import random
import time
from collections.abc import Sequence
from typing import TextIO

from returns import result

from jackdawlatch.node import launching
from jackdawlatch.standins import (
    interrupts,
    job_steps,
    operator_steps,
    profiles,
    request_steps,
    steps,
    testbed,
)

STEPS: Sequence[steps.Step] = (
    request_steps.Lookup(),
    request_steps.Dispatch(),
    job_steps.Job(),
    operator_steps.PresetChange(),
    request_steps.GracefulStop(),
    job_steps.KilledEntries(),
    operator_steps.Invariants(),
    operator_steps.TimeLine(),
)


def run(
    profile: profiles.Profile, seed: int, stdout: TextIO
) -> launching.ExitStatus:
    """Run the demo and end all its processes; fails if a step failed."""
    failures = interrupts.run(_demonstrate(profile, seed, stdout))
    if failures:
        return launching.ExitStatus.FAILED
    return launching.ExitStatus.OK


async def _demonstrate(
    profile: profiles.Profile, seed: int, stdout: TextIO
) -> int:
    with testbed.open_testbed(profile, random.Random(seed)) as bed:
        return await _run_steps(bed, stdout)


async def _run_steps(bed: testbed.Testbed, stdout: TextIO) -> int:
    started_s = time.monotonic()
    started = await bed.start()
    if isinstance(started, result.Failure):
        stdout.write(f'FAILED start: {started.failure().line()}\n')
        return 1
    took_s = time.monotonic() - started_s
    stdout.write(f'ok     start: {bed.profile.name}, {took_s:.1f} s\n')
    failures = 0
    for step in STEPS:
        checked = await step.run(bed)
        failures += int(isinstance(checked, result.Failure))
        stdout.write(f'{_line(step, checked)}\n')
        stdout.flush()
    return failures


def _line(step: steps.Step, checked: steps.StepResult) -> str:
    if isinstance(checked, result.Success):
        return f'ok     {step.name}: {checked.unwrap()}'
    return f'FAILED {step.name}: {checked.failure().line()}'
