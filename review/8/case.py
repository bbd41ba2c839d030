"""Every open channel goes silent once, while jobs of many tasks are started."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import fleet as standins  # noqa: E402

SERVICE, ROUTE = 'desk', 'lookup'
RUNNERS = 6
ROOM = {'cpu': 64_000, 'mem': 131_072}
LASTING = {
    'count': 6,
    'cpu': 2000,
    'mem-mb': 1024,
    'long-lived': True,
    'max-per-server': 1,
    'max-unavailable': 1,
}
SHORT = {'count': 15, 'cpu': 4000, 'mem-mb': 1024, 'estimate-ms': 500}
SHORT_S = 0.5
JOB = f'{1:016x}'
# LOST: nothing runs for 3 s, counted from 6 s after the last run.
AFTER_RUN_S = 6.0
WAIT_S = 3.0
LOOK_S = 30.0


async def flood(fleet, daemons):
    """Hand in six jobs at once, six times: each fills the service."""
    for first in range(2, 38, 6):
        await asyncio.gather(
            *(
                fleet.submit(
                    daemons[job % len(daemons)],
                    ROUTE,
                    f'{job:016x}',
                    [SHORT],
                    SHORT_S,
                )
                for job in range(first, first + 6)
            )
        )
        await asyncio.sleep(1.0)


def has_room_twice(fleet):
    """Whether the sound runners have room for a lasting task twice over."""
    free = sum(
        runner.up
        and runner.cpu - sum(run.cpu for run in runner.running.values())
        >= LASTING['cpu']
        for runner in fleet.runners
    )
    used = sum(
        run.cpu for runner in fleet.runners for run in runner.running.values()
    )
    total = sum(runner.cpu for runner in fleet.runners)
    return free >= 2 and used < total / 2


async def case(fleet, trouble):
    fleet.store.answer_s = 0.004
    fleet.configure(1, [SERVICE], [(ROUTE, SERVICE)])
    for number in range(RUNNERS):
        await fleet.add_machine(f'm-{number}', SERVICE, **ROOM)
    daemons = [fleet.add_daemon(f'edge-{number}') for number in (1, 2, 3)]
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        if not await fleet.until_ready(daemon):
            return 2, 'a daemon did not get ready'
    if not await fleet.until(fleet.leader, 10):
        return 2, 'no daemon leads'
    if await fleet.submit(daemons[0], ROUTE, JOB, [LASTING]) != 200:
        return 2, 'the job was not accepted'
    names = [f'{JOB}.0.0.{index}' for index in range(LASTING['count'])]
    if not await fleet.until(
        lambda: all(fleet.going_on.get(name) for name in names), 10
    ):
        return 2, 'the lasting work units did not start'
    await asyncio.sleep(3)
    await flood(fleet, daemons)
    if trouble:
        for server in (
            fleet.store.server,
            *(runner.server for runner in fleet.runners),
        ):
            fleet.record.note(
                'silence', port=server.port, channels=len(server.channels)
            )
            server.silence()
    began_s = fleet.record.now_s()
    idle_since_s = {}
    longest_s = 0.0
    late = set()
    while fleet.record.now_s() < began_s + LOOK_S:
        now_s = fleet.record.now_s()
        for name in names:
            if fleet.going_on.get(name) or not has_room_twice(fleet):
                idle_since_s.pop(name, None)
                continue
            waited_s = now_s - idle_since_s.setdefault(name, now_s)
            longest_s = max(longest_s, waited_s)
            if waited_s >= AFTER_RUN_S + WAIT_S:
                late.add(name)
        await asyncio.sleep(0.05)
    fleet.record.note('longest-wait', seconds=round(longest_s, 1))
    if late:
        return 1, (
            f'LOST: {len(late)} of {len(names)} lasting work units had no run'
            f' for up to {longest_s:.1f} s beside free capacity'
        )
    return 0, f'no lasting work unit was away for more than {longest_s:.1f} s'


standins.play(case, FOLDER)
