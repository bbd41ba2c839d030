"""A start is carried out late, by a runner that is back under its id."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import fleet as standins  # noqa: E402

SERVICE, ROUTE = 'desk', 'lookup'
RUNNERS = 6
STEP = {'count': 24, 'cpu': 3500, 'mem-mb': 1024, 'estimate-ms': 8000}
WORK_S = 8.0
JOB = f'{9:016x}'
OTHER, URGENT = f'{10:016x}', 'urgent'
# applied_late: carried out 2 to 12 s later.
LATE_S = 10.5
# node_cut with how "servers reborn": for_s 5.5, share 0.17.
CUT_AFTER_S, CUT_S, DOWN_S = 7.3, 5.5, 0.6


class LateOrder:
    """Takes one start without an answer, to be carried out later."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.armed = False
        self.runner = None
        self.body = None

    def watch(self, runner):
        handle = runner.server.handle

        async def take(method, path, query, headers, body):
            if self.armed and path == '/run-start':
                self.armed = False
                self.runner, self.body = runner, body
                self._fleet.record.note(
                    'order-held', runner=runner.id, task=body['task']
                )
                await asyncio.Event().wait()
            return await handle(method, path, query, headers, body)

        runner.server.handle = take

    def carry_out(self):
        status, _ = self.runner.start_late(self.body)
        self._fleet.record.note(
            'order-carried-out', runner=self.runner.id, status=status
        )


async def case(fleet, trouble):
    fleet.store.answer_s = 0.004
    fleet.configure(1, [SERVICE], [(ROUTE, SERVICE, 1), (URGENT, SERVICE, 0)])
    late = LateOrder(fleet)
    for number in range(RUNNERS):
        late.watch(await fleet.add_machine(f'm-{number}', SERVICE, cpu=14_000))
    daemons = [fleet.add_daemon(f'edge-{number}') for number in (1, 2, 3)]
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        if not await fleet.until_ready(daemon):
            return 2, 'a daemon did not get ready'
    if not await fleet.until(fleet.leader, 10):
        return 2, 'no daemon leads'
    await asyncio.sleep(3)
    late.armed = trouble
    if await fleet.submit(daemons[1], ROUTE, JOB, [STEP], WORK_S) != 200:
        return 2, 'the job was not accepted'
    await asyncio.sleep(0.3)
    # It takes the place of the start without an answer.
    single = [{**STEP, 'count': 1}]
    if await fleet.submit(daemons[1], URGENT, OTHER, single, WORK_S) != 200:
        return 2, 'the other job was not accepted'
    if trouble:
        if not await fleet.until(lambda: late.body, 5):
            return 2, 'no order was held'
        held_s = fleet.record.now_s()
        runner = late.runner
        await asyncio.sleep(CUT_AFTER_S)
        fleet.record.note('cut', runner=runner.id)
        runner.server.healed.clear()
        await asyncio.sleep(0.5)
        runner.crash()
        await asyncio.sleep(DOWN_S)
        await runner.start()
        fleet.record.note('runner-up', runner=runner.id, born=runner.born_ms)
        await asyncio.sleep(held_s + LATE_S - fleet.record.now_s())
        late.carry_out()
        await asyncio.sleep(held_s + CUT_AFTER_S + CUT_S - fleet.record.now_s())
        runner.server.healed.set()
        fleet.record.note('healed', runner=runner.id)
    await asyncio.sleep(WORK_S + 10)
    state = await fleet.state(daemons[1], ROUTE, JOB)
    fleet.record.note('state', state=state)
    if fleet.overlaps:
        return 1, f'TWICE: started while another run went on: {fleet.overlaps}'
    if state != 'done':
        return 2, f'the job is {state}'
    return 0, 'no work unit ran twice at a time'


standins.play(case, FOLDER)
