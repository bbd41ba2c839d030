"""How long an accepted configuration takes to be in force everywhere."""

import asyncio
import random
import time
from collections.abc import Iterator

from returns import result

from jackdawlatch.command import session
from jackdawlatch.config import edits
from jackdawlatch.config import editor as editors
from jackdawlatch.model import records
from jackdawlatch.node import daemon, documents, roster
from jackdawlatch.standins import keyvalue_faults, profiles
from jackdawlatch.standins import testbed as testbeds
from measure import base

CHANGES = 12
POLL_S = 0.01
LIMIT_S = 15
PAUSE_S = 0.3
SLOW_MS = 200
MILLISECONDS = 1000
OUTAGE_S = 4.0

Faults = keyvalue_faults.Faults
SLOW = Faults(slow_ms=SLOW_MS)
DOWN = Faults(outage=keyvalue_faults.Outage.CLOSE)


class RollOut(base.Measure):
    """Accepted to applied by the last process, store healthy, slow, down."""

    name = 'rollout'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure both deployments with real processes."""
        for profile in profiles.PROFILES_BY_NAME.values():
            yield asyncio.run(_opened(profile, seed))


async def _opened(profile: profiles.Profile, seed: int) -> base.Table:
    # The bench's clients belong to the loop that is running.
    with testbeds.open_testbed(profile, random.Random(seed)) as bench:
        return await _measure(bench, profile)


async def _measure(
    bench: testbeds.Testbed, profile: profiles.Profile
) -> base.Table:
    (await bench.start()).unwrap()
    opened = session.Session(bench.deployment.operator)
    peers = await opened.daemons()
    rows = []
    for state, faults in (('healthy', None), ('slow, 200 ms', SLOW)):
        if faults:
            await _switch(bench, faults)
        took = [
            await _roll_out(bench, opened, peers, number, hand_over=False)
            for number in range(CHANGES)
        ]
        rows.append(_row(state, took))
    await _switch(bench, Faults())
    took = [
        await _lost_store(bench, opened, peers, number)
        for number in range(CHANGES // 2)
    ]
    rows.append(_row('down right after accepting', took))
    return base.Table(
        title=f'Roll-out of a preset change, {profile.name}',
        note=(
            f'{len(peers)} processes, accepted to applied by the last one, '
            f'polled every {POLL_S * MILLISECONDS:.0f} ms. Targets: under '
            '1 s with a healthy store, under 7 s always.'
        ),
        columns=('store', 'changes', 'p50 s', 'max s', 'not applied'),
        rows=tuple(rows),
    )


async def _roll_out(
    bench: testbeds.Testbed,
    opened: session.Session,
    peers: tuple[roster.Peer, ...],
    number: int,
    hand_over: bool,
) -> float | None:
    """Make one change; return the seconds it took, None if it never did."""
    editor = editors.Editor(bench.store)
    present = (await editor.read()).unwrap()
    changed = present.preset.queue_limit + 1 + number % 2
    preset = records.replace(present.preset, queue_limit=changed)
    applied = (await editor.edit(edits.Put(preset))).unwrap()
    accepted_s = time.monotonic()
    entry = editor.accepted
    if hand_over and entry:
        await _switch(bench, DOWN)
        document = documents.Document(
            key=entry.key, revision=entry.revision, content=entry.value
        )
        await opened.hand_over(document, peers[:1])
    took = await asyncio.gather(
        *(_applies(opened, peer, applied.version) for peer in peers)
    )
    await asyncio.sleep(PAUSE_S)
    if None in took:
        return None
    return max(one for one in took if one is not None) - accepted_s


async def _lost_store(
    bench: testbeds.Testbed,
    opened: session.Session,
    peers: tuple[roster.Peer, ...],
    number: int,
) -> float | None:
    took_s = await _roll_out(bench, opened, peers, number, hand_over=True)
    await asyncio.sleep(OUTAGE_S)
    await _switch(bench, Faults())
    await asyncio.sleep(OUTAGE_S)
    return took_s


async def _applies(
    opened: session.Session, peer: roster.Peer, version: int
) -> float | None:
    until_s = time.monotonic() + LIMIT_S
    while time.monotonic() < until_s:
        status = await opened.ask(
            peer.operations_address, '/status', daemon.Status
        )
        if isinstance(status, result.Success):
            if status.unwrap().configuration_version >= version:
                return time.monotonic()
        await asyncio.sleep(POLL_S)
    return None


async def _switch(bench: testbeds.Testbed, faults: Faults) -> None:
    url = bench.deployment.operator.store_addresses[0]
    await bench.driver.post(f'{url}/-/faults', faults)


def _row(state: str, took: list[float | None]) -> tuple[base.Cell, ...]:
    done = sorted(one for one in took if one is not None)
    missing = len(took) - len(done)
    middle = done[len(done) // 2] if done else float('nan')
    worst = done[-1] if done else float('nan')
    return (state, len(took), round(middle, 3), round(worst, 3), missing)
