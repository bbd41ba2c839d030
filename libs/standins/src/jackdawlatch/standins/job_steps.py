"""Steps of the demo with jobs."""

import asyncio
import uuid

import msgspec
from returns import result

from jackdawlatch.standins import bench, callers, oracle, steps, waiting

ACCEPTED_STATUS = 202
DONE_S = 30.0
KILLS = 2
JOBS = 30
PAUSE_S = 0.15
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
    on: bench.Bench, submission: Submission, entry: str
) -> callers.Told:
    """Submit a job through an entry."""
    return await on.caller.ask(
        callers.Asked(
            entry=entry,
            path='/jobs',
            id=uuid.uuid4().hex,
            method='POST',
            key=uuid.uuid4().hex,
            body=msgspec.json.encode(submission),
            headers=(('Content-Type', 'application/json'),),
        )
    )


async def state(on: bench.Bench, job: str) -> steps.JobAnswer | None:
    """Return what any entry says of a job, None when it says nothing."""
    told = await on.caller.ask(
        callers.Asked(
            entry=on.caller.any_entry(),
            path=f'/jobs/{job}',
            id=uuid.uuid4().hex,
        )
    )
    return answered(told)


def answered(told: callers.Told) -> steps.JobAnswer | None:
    """Return the job of an answer, None when it has none."""
    if told.outcome is not callers.Outcome.ANSWERED or told.reply is None:
        return None
    return told.reply.json(steps.JobAnswer).value_or(None)


async def all_done(on: bench.Bench, jobs: list[str]) -> list[str]:
    """Wait for jobs; return those that are not done in time."""
    left = list(jobs)

    async def are_done() -> bool:
        for job in tuple(left):
            found = await state(on, job)
            if found and found.state == DONE:
                left.remove(job)
        return not left

    await waiting.until(are_done, DONE_S)
    return left


class Job(steps.Step):
    """A job is acknowledged, started once, and done."""

    name = 'job'

    async def run(self, on: bench.Bench) -> steps.Checked:
        """Submit a job that is not idempotent and wait for it."""
        submission = Submission(
            service=on.profile.services[-1],
            team=on.profile.teams[0],
            command='run=0.5',
        )
        told = await submit(on, submission, on.caller.any_entry())
        job = answered(told)
        if job is None or told.status != ACCEPTED_STATUS:
            return steps.failed(f'not acknowledged: {told}')
        if await all_done(on, [job.id]):
            return steps.failed(f'not done: {await state(on, job.id)}')
        starts = _starts_of(on, job.id)
        if starts != 1:
            return steps.failed(f'started {starts} times, not once')
        return result.Success(f'{job.id} done, 1 start')


class KilledEntries(steps.Step):
    """Entries that are killed lose no acknowledged job."""

    name = 'killed entries'

    async def run(self, on: bench.Bench) -> steps.Checked:
        """Kill two entries at chosen moments while jobs are submitted."""
        victims = on.rng.sample(on.driver.names('entry'), KILLS)
        jobs = await self._submit_all(on, victims)
        if len(jobs) < JOBS // 2:
            return steps.failed(f'only {len(jobs)} of {JOBS} acknowledged')
        lost = await all_done(on, jobs)
        if lost:
            return steps.failed(f'{lost} of {len(jobs)} not done')
        twice = [job for job in jobs if _starts_of(on, job) > 1]
        if twice:
            return steps.failed(f'started more than once: {twice}')
        again = await on.driver.start(victims)
        told = f'{len(jobs)} of {JOBS} acknowledged, all done; killed {victims}'
        return again.map(lambda _: told)

    async def _submit_all(
        self, on: bench.Bench, victims: list[str]
    ) -> list[str]:
        """Submit jobs while entries are killed; return the acknowledged."""
        moments = on.rng.sample(range(1, JOBS), len(victims))
        victims_by_moment = dict(zip(moments, victims, strict=True))
        submissions: list[asyncio.Task[str]] = []
        for number in range(JOBS):
            submissions.append(asyncio.create_task(self._submit(on)))
            await asyncio.sleep(on.rng.uniform(0, PAUSE_S))
            victim = victims_by_moment.get(number)
            if victim:
                on.driver.kill(victim)
        return [job for job in await asyncio.gather(*submissions) if job]

    async def _submit(self, on: bench.Bench) -> str:
        submission = Submission(
            service=on.profile.services[-1],
            team=on.rng.choice(on.profile.teams),
            command=f'run={on.rng.uniform(0.1, 1):.2f}',
        )
        told = await submit(on, submission, on.caller.any_entry())
        job = answered(told)
        return job.id if job else ''


def _starts_of(on: bench.Bench, job: str) -> int:
    starts = oracle.tasks_run(on.directory)
    return sum(1 for start in starts if start.id.partition(':')[0] == job)
