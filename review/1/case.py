"""Case 1: more than 500 ends are waiting when a leader polls a runner."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))


import deployment as deployments

JOB = '00000000000000a1'
COUNT = 900
WORK_MS = 1000
BODY = {
    'spec': 'work-ms=700-1300',
    'steps': [
        {'count': COUNT, 'cpu': 70, 'mem-mb': 100, 'estimate-ms': WORK_MS},
        {
            'count': 1,
            'cpu': 70,
            'mem-mb': 100,
            'estimate-ms': WORK_MS,
            'after': [0],
        },
    ],
}


async def play(deployment):
    runner = deployment.add_runner('i-1')
    await deployment.start(daemons=2)
    await asyncio.sleep(1)
    leader = deployment.leader
    (other,) = (one for one in deployment.daemons if one is not leader)
    await deployment.submit(other, JOB, BODY)
    await deployments.until(lambda: len(runner.all_runs) >= COUNT, 20)
    deployment.record.note(f'all {COUNT} work units have started')
    if deployment.trouble:
        deployment.record.note(f'{leader.name} is killed')
        await leader.kill()
        await asyncio.sleep(0.5)
        await leader.start()
    state = await deployment.until_state(other, JOB, ('done', 'failed'), 30)
    deployment.record.note(f'the job is shown as {state}')
    await asyncio.sleep(3)
    return [
        f'TWICE: {first}; taken note of at {first.noted_s:.3f}; again: {second}'
        for first, second in deployments.second_runs(deployment.runs)
    ]


deployments.main(FOLDER, play)
