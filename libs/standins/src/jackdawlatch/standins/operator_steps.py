"""Demo steps that use the operators' command line."""

import asyncio
import time

from returns import result

from jackdawlatch.standins import steps, testbed, waiting

ROLL_OUT_TIMEOUT_S = 7.0
LINES = 40


class PresetChange(steps.Step):
    """Every process applies a newly chosen preset in time."""

    name = 'preset change'

    async def run(self, bed: testbed.Testbed) -> steps.StepResult:
        """Put the peak preset in force and poll every daemon."""
        requested_s = time.monotonic()
        used = await bed.operator.run('preset', 'use', 'peak')
        if not used.succeeded:
            return steps.failed(f'the edit failed: {used.stderr}')

        async def is_everywhere() -> bool:
            statuses = await asyncio.gather(
                *(bed.driver.status(name) for name in bed.daemon_names)
            )
            return all(
                status is not None and status.in_force == 'peak'
                for status in statuses
            )

        applied = await waiting.until(is_everywhere, ROLL_OUT_TIMEOUT_S)
        took_s = time.monotonic() - requested_s
        if not applied:
            return steps.failed(
                f'not applied by every process after {took_s:.1f} s'
            )
        count = len(bed.daemon_names)
        return result.Success(
            f'{count} processes, {took_s:.2f} s after the request'
        )


class Invariants(steps.Step):
    """No process has counted a violated invariant or failed."""

    name = 'invariants'

    async def run(self, bed: testbed.Testbed) -> steps.StepResult:
        """Check the status of every daemon and every process."""
        failed = bed.driver.processes.failed()
        if failed:
            return steps.failed(
                f'{failed[0].name} ended unexpectedly', failed[0].output_tail()
            )
        statuses = await asyncio.gather(
            *(bed.driver.status(name) for name in bed.daemon_names)
        )
        for name, status in zip(bed.daemon_names, statuses, strict=True):
            if status is None or status.invariant_violations:
                return steps.failed(f'{name}: {status}')
        return result.Success(f'{len(statuses)} processes, no violation')


class TimeLine(steps.Step):
    """The events of all processes are merged in the order of time."""

    name = 'time line'

    async def run(self, bed: testbed.Testbed) -> steps.StepResult:
        """Print the merged time line."""
        shown = await bed.operator.run('timeline', '--limit', str(LINES))
        if not shown.succeeded:
            return steps.failed(f'the timeline command failed: {shown.stderr}')
        timestamps = [line.split(' ')[0] for line in shown.stdout.splitlines()]
        if not timestamps or timestamps != sorted(timestamps):
            return steps.failed('the events are missing or out of order')
        return result.Success(f'{len(timestamps)} events\n{shown.stdout}')
