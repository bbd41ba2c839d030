"""Demo steps that submit jobs."""

import asyncio
import uuid

import msgspec
from returns import result

from jackdawlatch.standins import callers, oracle, steps, testbed, waiting

ACCEPTED_STATUS = 202
DONE_TIMEOUT_S = 30.0
KILLED_ENTRIES = 2
SUBMITTED_JOBS = 30
MAX_PAUSE_S = 0.15
DONE = 'done'


class Submission(msgspec.Struct, frozen=True):
    """The body of ``POST /jobs``."""

    service: str
    team: str
    command: str
    urgency: str = 'normal'
    processors: float = 1
    memory_mb: float = 256
    accelerators: float = 0
    run_time_s: float = 1
    idempotent: bool = False


async def submit(
    bed: testbed.Testbed, submission: Submission, entry: str
) -> callers.Call:
    """Submit a job through an entry, under a new idempotency key."""
    return await bed.caller.send(
        callers.Request(
            entry=entry,
            path='/jobs',
            id=uuid.uuid4().hex,
            method='POST',
            key=uuid.uuid4().hex,
            body=msgspec.json.encode(submission),
            headers=(('Content-Type', 'application/json'),),
        )
    )


async def read_job(bed: testbed.Testbed, job: str) -> steps.JobAnswer | None:
    """Return a job as some entry reports it, None if it does not."""
    call = await bed.caller.send(
        callers.Request(
            entry=bed.caller.choose_entry(),
            path=f'/jobs/{job}',
            id=uuid.uuid4().hex,
        )
    )
    return decode_job(call)


def decode_job(call: callers.Call) -> steps.JobAnswer | None:
    """Return the job in an answer, None if there is none."""
    if call.outcome is not callers.Outcome.ANSWERED or call.reply is None:
        return None
    return call.reply.json(steps.JobAnswer).value_or(None)


async def wait_until_done(bed: testbed.Testbed, jobs: list[str]) -> list[str]:
    """Wait until jobs are done; return those that are not in time."""
    left = list(jobs)

    async def are_done() -> bool:
        for job in tuple(left):
            found = await read_job(bed, job)
            if found and found.state == DONE:
                left.remove(job)
        return not left

    await waiting.until(are_done, DONE_TIMEOUT_S)
    return left


class Job(steps.Step):
    """A job is acknowledged, started once and done."""

    name = 'job'

    async def run(self, bed: testbed.Testbed) -> steps.StepResult:
        """Submit a non-idempotent job and wait until it is done."""
        submission = Submission(
            service=bed.profile.services[-1],
            team=bed.profile.teams[0],
            command='run=0.5',
        )
        call = await submit(bed, submission, bed.caller.choose_entry())
        job = decode_job(call)
        if job is None or call.status != ACCEPTED_STATUS:
            return steps.failed(f'not acknowledged: {call}')
        if await wait_until_done(bed, [job.id]):
            return steps.failed(f'not done: {await read_job(bed, job.id)}')
        starts = _count_starts(bed, job.id)
        if starts != 1:
            return steps.failed(f'started {starts} times, not once')
        return result.Success(f'{job.id} done, 1 start')


class KilledEntries(steps.Step):
    """No acknowledged job is lost or repeated when entries are killed."""

    name = 'killed entries'

    async def run(self, bed: testbed.Testbed) -> steps.StepResult:
        """Kill two entries at random times while jobs are submitted."""
        victims = bed.rng.sample(bed.driver.names('entry'), KILLED_ENTRIES)
        jobs = await self._submit_all(bed, victims)
        if len(jobs) < SUBMITTED_JOBS // 2:
            return steps.failed(
                f'only {len(jobs)} of {SUBMITTED_JOBS} acknowledged'
            )
        lost = await wait_until_done(bed, jobs)
        if lost:
            return steps.failed(f'{lost} of {len(jobs)} not done')
        twice = [job for job in jobs if _count_starts(bed, job) > 1]
        if twice:
            return steps.failed(f'started more than once: {twice}')
        again = await bed.driver.start(victims)
        summary = (
            f'{len(jobs)} of {SUBMITTED_JOBS} acknowledged, all done; '
            f'killed {victims}'
        )
        return again.map(lambda _: summary)

    async def _submit_all(
        self, bed: testbed.Testbed, victims: list[str]
    ) -> list[str]:
        """Submit jobs while entries are killed; return the acknowledged ids."""
        positions = bed.rng.sample(range(1, SUBMITTED_JOBS), len(victims))
        victims_by_position = dict(zip(positions, victims, strict=True))
        submissions: list[asyncio.Task[str]] = []
        for number in range(SUBMITTED_JOBS):
            submissions.append(asyncio.create_task(self._submit(bed)))
            await asyncio.sleep(bed.rng.uniform(0, MAX_PAUSE_S))
            victim = victims_by_position.get(number)
            if victim:
                bed.driver.kill(victim)
        return [job for job in await asyncio.gather(*submissions) if job]

    async def _submit(self, bed: testbed.Testbed) -> str:
        submission = Submission(
            service=bed.profile.services[-1],
            team=bed.rng.choice(bed.profile.teams),
            command=f'run={bed.rng.uniform(0.1, 1):.2f}',
        )
        call = await submit(bed, submission, bed.caller.choose_entry())
        job = decode_job(call)
        return job.id if job else ''


def _count_starts(bed: testbed.Testbed, job: str) -> int:
    starts = oracle.read_task_executions(bed.directory)
    return sum(1 for start in starts if start.id.partition(':')[0] == job)
