"""One runner in ten goes down and up while its pool is full of work."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'standins-2'))

import fleet as standins  # noqa: E402

SERVICE, ROUTE = 'desk', 'lookup'
RUNNERS = 10
# srv_flap in the site files: share 0.1, gap_s 1.4, for_s 6.5.
PERIOD_S = 1.4
FLAP_S = 6.5
STEP = {'count': 4, 'cpu': 4000, 'mem-mb': 1024, 'estimate-ms': 3000}
WORK_S = 3.0
JOBS = 20


async def case(fleet, trouble):
    fleet.configure(1, [SERVICE], [(ROUTE, SERVICE)])
    for number in range(RUNNERS):
        await fleet.add_machine(f'm-{number}', SERVICE)
    first, second = fleet.add_daemon('edge-1'), fleet.add_daemon('edge-2')
    for daemon in (first, second):
        daemon.start()
    for daemon in (first, second):
        if not await fleet.until_ready(daemon):
            return 2, 'a daemon did not get ready'
    if not await fleet.until(fleet.leader, 10):
        return 2, 'no daemon leads'
    await asyncio.sleep(4)
    jobs = [f'{number:016x}' for number in range(1, JOBS + 1)]
    for job in jobs:
        if await fleet.submit(second, ROUTE, job, [STEP], WORK_S) != 200:
            return 2, 'a job was not accepted'
    flapping = max(fleet.runners, key=lambda one: len(one.running))
    await asyncio.sleep(0.2)
    if trouble:
        end_s = fleet.record.now_s() + FLAP_S
        while fleet.record.now_s() < end_s:
            fleet.record.note('runner-down', runner=flapping.id)
            flapping.crash()
            await asyncio.sleep(PERIOD_S / 2)
            flapping = await fleet.reboot(flapping)
            fleet.record.note('runner-up', runner=flapping.id)
            await asyncio.sleep(PERIOD_S / 2)
    open_jobs, failed = set(jobs), set()
    for _ in range(80):
        for job in sorted(open_jobs):
            state = await fleet.state(second, ROUTE, job)
            if state in ('done', 'failed', 'cancelled'):
                open_jobs.discard(job)
                fleet.record.note('shown', job=job, state=state)
            if state in ('failed', 'cancelled'):
                failed.add(job)
        if not open_jobs:
            break
        await asyncio.sleep(0.5)
    ended_failed = [
        task for task, ends in fleet.ends.items() if 'failed' in ends.values()
    ]
    if failed and not ended_failed:
        return 1, (
            f'LOST: {len(failed)} of {JOBS} jobs are shown as failed, and no'
            ' work unit has ended as failed'
        )
    if open_jobs:
        return 1, f'LOST: {len(open_jobs)} jobs have not ended in 40 s'
    return 0, f'all {JOBS} jobs are shown as done'


standins.play(case, FOLDER)
