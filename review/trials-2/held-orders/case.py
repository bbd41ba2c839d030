"""The leader is cut off from the platform while it moves machines."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / 'standins-2'))

import fleet as standins  # noqa: E402

DESK, PHOTO, NOTIFY = 'desk', 'photo', 'notify'
# node_cut in the site file: for_s up to 12; here one machine.
CUT_S = 5.5
STEP = {'cpu': 8000, 'mem-mb': 1024, 'estimate-ms': 4000}
WORK_S = 4.0


async def case(fleet, trouble):
    fleet.store.answer_s = 0.004
    fleet.configure(
        1,
        [DESK, PHOTO, NOTIFY],
        [('lookup', DESK), ('match', PHOTO)],
        standby=(NOTIFY,),
    )
    for number in range(2):
        await fleet.add_machine(f'm-d{number}', DESK)
        await fleet.add_machine(f'm-p{number}', PHOTO)
    for number in range(6):
        await fleet.add_machine(f'm-n{number}', NOTIFY)
    # Each daemon reaches the platform on its own path.
    paths = {}
    for number in (1, 2, 3):
        name = f'edge-{number}'
        store = standins.Server(fleet.store.handle)
        machines = standins.Server(fleet.machines.handle)
        await store.open()
        await machines.open()
        paths[name] = (store, machines)
        fleet.add_daemon(name, store.address, machines.address)
    for daemon in fleet.daemons:
        daemon.start()
    for daemon in fleet.daemons:
        if not await fleet.until_ready(daemon):
            return 2, 'a daemon did not get ready'
    if not await fleet.until(fleet.leader, 10):
        return 2, 'no daemon leads'
    await asyncio.sleep(4)
    first = fleet.leader()
    other = next(one for one in fleet.daemons if one.name != first)
    # The first job switches on half of the standby machines, the last one needs
    # the other half.  The leader reads it within a few milliseconds.
    for number, count, wait_s in ((1, 8, 5.0), (2, 16, 0.015)):
        job = f'{number:016x}'
        steps = [{**STEP, 'count': count}]
        if await fleet.submit(other, 'match', job, steps, WORK_S) != 200:
            return 2, 'a job was not accepted'
        await asyncio.sleep(wait_s)
    if trouble:
        fleet.record.note('cut', daemon=first)
        for server in paths[first]:
            server.healed.clear()
        await asyncio.sleep(CUT_S)
        for server in paths[first]:
            server.healed.set()
        fleet.record.note('healed', daemon=first)
    await asyncio.sleep(8)
    broken = []
    highest = {}
    for order in fleet.machines.orders:
        token, holder = highest.get(order['machine'], (0, ''))
        if order['token'] < token:
            broken.append(order)
        highest[order['machine']] = max(
            (token, holder), (order['token'], order['holder'])
        )
    if broken:
        return 1, (
            f'ONE: {len(broken)} orders with a lower token after a higher one,'
            f' the first: {broken[0]}'
        )
    return 0, f'{len(fleet.machines.orders)} orders, in the order of tokens'


standins.play(case, FOLDER)
