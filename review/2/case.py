"""Case 2: a runner crashes under one member of a gang that saves its work."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import deployment as deployments  # noqa: E402 Its folder is added above.

RUNNERS = 6
MEMBERS = 3
JOB = '00000000000000a6'
BODY = {
    'spec': 'work-ms=6000-6000',
    'steps': [
        {
            'count': MEMBERS,
            'cpu': 40_000,
            'mem-mb': 1000,
            'estimate-ms': 6000,
            'gang': True,
            'checkpointing': True,
        }
    ],
}
# The leader sees the checkpoints every 2 s; the crash comes between two answers.
WORKED_S = 1.0
CRASH_AFTER_S = 1.2
DOWN_S = 0.5
# Nothing that ends so long after the crash has a disturbance near.
CALM_S = 6.0
WATCHED_S = 40.0


async def play(deployment):
    for number in range(RUNNERS):
        deployment.add_runner(f'i-{number + 1}')
    await deployment.start(daemons=2)
    await asyncio.sleep(1)
    daemon = deployment.daemons[0]
    await deployment.submit(daemon, JOB, BODY)
    await deployments.until(lambda: len(deployment.runs) == MEMBERS, 10)
    await asyncio.sleep(WORKED_S)
    runner = deployment.runs[0].runner
    asked = len(runner.held_s)
    await deployments.until(lambda: len(runner.held_s) > asked, 5)
    await asyncio.sleep(CRASH_AFTER_S)
    if deployment.trouble:
        await runner.crash(DOWN_S)
    calm_s = deployment.record.now_s() + CALM_S
    state = await deployment.until_state(
        daemon, JOB, ('done', 'failed'), WATCHED_S
    )
    deployment.record.note(f'the job is shown as {state}')
    return [
        f'GANG: {run}, {run.end_s - calm_s + CALM_S:.1f} s after the crash; it '
        f'was started from {run.resumed or "the beginning"}'
        for run in deployment.runs
        if run.how == 'alone' and run.end_s > calm_s
    ]


deployments.main(FOLDER, play)
