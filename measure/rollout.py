"""Time from accepting a configuration until every process applies it."""

import asyncio
import random
import time
from collections.abc import Iterator

from returns import result

from jackdawlatch.command import fleet_client
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
MS_PER_S = 1000
OUTAGE_S = 4.0

Faults = keyvalue_faults.Faults
SLOW = Faults(slow_ms=SLOW_MS)
DOWN = Faults(outage=keyvalue_faults.Outage.CLOSE)


class RollOut(base.Benchmark):
    """Roll-out time of a change with a healthy, a slow and a lost store."""

    name = 'rollout'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure each deployment with real processes."""
        for profile in profiles.PROFILES_BY_NAME.values():
            yield asyncio.run(_run_profile(profile, seed))


async def _run_profile(profile: profiles.Profile, seed: int) -> base.Table:
    # The bench's clients are bound to the running event loop.
    with testbeds.open_testbed(profile, random.Random(seed)) as bench:
        return await _measure(bench, profile)


async def _measure(
    bench: testbeds.Testbed, profile: profiles.Profile
) -> base.Table:
    (await bench.start()).unwrap()
    client = fleet_client.FleetClient(bench.deployment.operator)
    peers = await client.daemons()
    rows = []
    for state, faults in (('healthy', None), ('slow, 200 ms', SLOW)):
        if faults:
            await _set_faults(bench, faults)
        durations_s = [
            await _roll_out(bench, client, peers, number, hand_over=False)
            for number in range(CHANGES)
        ]
        rows.append(_row(state, durations_s))
    await _set_faults(bench, Faults())
    durations_s = [
        await _roll_out_without_store(bench, client, peers, number)
        for number in range(CHANGES // 2)
    ]
    rows.append(_row('down right after accepting', durations_s))
    return base.Table(
        title=f'Roll-out of a preset change, {profile.name}',
        note=(
            f'{len(peers)} processes, accepted to applied by the last one, '
            f'polled every {POLL_S * MS_PER_S:.0f} ms. Targets: under '
            '1 s with a healthy store, under 7 s always.'
        ),
        columns=('store', 'changes', 'p50 s', 'max s', 'not applied'),
        rows=tuple(rows),
    )


async def _roll_out(
    bench: testbeds.Testbed,
    client: fleet_client.FleetClient,
    peers: tuple[roster.Peer, ...],
    number: int,
    hand_over: bool,
) -> float | None:
    """Make one change; return seconds until all applied it.

    None if a process did not apply it within ``LIMIT_S``. With
    ``hand_over``, the store goes down once it has accepted the change, and
    one process gets the change directly.
    """
    editor = editors.Editor(bench.store)
    current = (await editor.read()).unwrap()
    changed = current.preset.queue_limit + 1 + number % 2
    preset = records.replace(current.preset, queue_limit=changed)
    applied = (await editor.edit(edits.Put(preset))).unwrap()
    accepted_s = time.monotonic()
    entry = editor.last_entry
    if hand_over and entry:
        await _set_faults(bench, DOWN)
        document = documents.Document(
            key=entry.key, revision=entry.revision, content=entry.value
        )
        await client.send_document(document, peers[:1])
    applied_times_s = await asyncio.gather(
        *(_applied_at_s(client, peer, applied.version) for peer in peers)
    )
    await asyncio.sleep(PAUSE_S)
    if None in applied_times_s:
        return None
    return max(one for one in applied_times_s if one is not None) - accepted_s


async def _roll_out_without_store(
    bench: testbeds.Testbed,
    client: fleet_client.FleetClient,
    peers: tuple[roster.Peer, ...],
    number: int,
) -> float | None:
    took_s = await _roll_out(bench, client, peers, number, hand_over=True)
    await asyncio.sleep(OUTAGE_S)
    await _set_faults(bench, Faults())
    await asyncio.sleep(OUTAGE_S)
    return took_s


async def _applied_at_s(
    client: fleet_client.FleetClient, peer: roster.Peer, version: int
) -> float | None:
    until_s = time.monotonic() + LIMIT_S
    while time.monotonic() < until_s:
        status = await client.get(
            peer.operations_address, '/status', daemon.Status
        )
        if isinstance(status, result.Success):
            if status.unwrap().configuration_version >= version:
                return time.monotonic()
        await asyncio.sleep(POLL_S)
    return None


async def _set_faults(bench: testbeds.Testbed, faults: Faults) -> None:
    url = bench.deployment.operator.store_addresses[0]
    await bench.driver.post(f'{url}/-/faults', faults)


def _row(state: str, durations_s: list[float | None]) -> tuple[base.Cell, ...]:
    done = sorted(one for one in durations_s if one is not None)
    missing = len(durations_s) - len(done)
    median_s = done[len(done) // 2] if done else float('nan')
    max_s = done[-1] if done else float('nan')
    return (
        state,
        len(durations_s),
        round(median_s, 3),
        round(max_s, 3),
        missing,
    )
