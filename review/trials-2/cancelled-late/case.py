"""The answer to the write of a job is lost, and its requester cancels it."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'standins-2'))

import fleet as standins  # noqa: E402

SERVICE, ROUTE = 'desk', 'lookup'
STEP = {'count': 4, 'cpu': 3500, 'mem-mb': 1024, 'estimate-ms': 640}
JOB = f'{7:016x}'
CANCEL_S = 3.0
# platform_lost with how late: done 1 to 6 s later.
LATE_S = 5.0


class LossyServer(standins.Server):
    """Loses the answer to one write of a job, which is carried out late."""

    def __init__(self, store, record):
        super().__init__(self._lose)
        self._store = store
        self._record = record
        self.armed = False

    async def _lose(self, method, path, query, headers, body):
        creates = any(
            row['key'].startswith('work/jobs/') for row in body.get('put', ())
        )
        if self.armed and creates:
            self.armed = False
            self._record.note('write-lost', late_s=LATE_S)
            await asyncio.sleep(LATE_S)
            await self._store.handle(method, path, query, headers, body)
            self._record.note('write-carried-out')
            # A channel on which a response is lost returns nothing further.
            await asyncio.Event().wait()
        return await self._store.handle(method, path, query, headers, body)


async def case(fleet, trouble):
    fleet.store.answer_s = 0.004
    fleet.configure(1, [SERVICE], [(ROUTE, SERVICE)])
    for number in range(6):
        await fleet.add_machine(f'm-{number}', SERVICE)
    lossy = LossyServer(fleet.store, fleet.record)
    await lossy.open()
    daemons = [
        fleet.add_daemon(f'edge-{number}', lossy.address)
        for number in (1, 2, 3)
    ]
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        if not await fleet.until_ready(daemon):
            return 2, 'a daemon did not get ready'
    if not await fleet.until(fleet.leader, 10):
        return 2, 'no daemon leads'
    await asyncio.sleep(3)
    lossy.armed = trouble
    await fleet.submit(daemons[0], ROUTE, JOB, [STEP], 0.6, tries=1)
    for number in range(20):
        status, _ = await fleet.call(
            daemons[number % 3], 'DELETE', f'/{ROUTE}/{JOB}'
        )
        fleet.record.note(
            'cancel', daemon=daemons[number % 3].name, status=status
        )
        if 200 <= status < 300 or status == 410:
            break
        await asyncio.sleep(0.3)
    else:
        return 2, 'the cancel got no ack'
    acked_s = fleet.record.now_s()
    started = []
    while fleet.record.now_s() < acked_s + 10:
        for task in fleet.going_on:
            if task.startswith(JOB) and fleet.going_on[task]:
                after_s = fleet.record.now_s() - acked_s
                if after_s > CANCEL_S and task not in started:
                    started.append(task)
        await asyncio.sleep(0.02)
    if started:
        return (
            1,
            f'UNASKED: {len(started)} work units ran later than {CANCEL_S} s after the cancel was acknowledged ({status})',
        )
    return 0, 'nothing ran after the cancel'


standins.play(case, FOLDER)
