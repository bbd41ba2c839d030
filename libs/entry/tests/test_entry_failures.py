import asyncio

import entry_fleets

from jackdawlatch.standins import runner_state
from jackdawlatch.testing import functions

LONG = '/services/desk/x?ms=500'


async def test_planned_stop_drops_no_request(fleet: entry_fleets.Fleet) -> None:
    entries = [await fleet.start() for _ in range(3)]
    stopped = next(
        entry
        for entry in entries
        if fleet.broker_id('desk') == entry.dependencies.roster.local_peer.id
    )
    # More requests than the 16 slots of the runners, so that some are queued.
    pending = [
        asyncio.create_task(fleet.send(entry, LONG))
        for entry in entries
        for _ in range(12)
    ]
    keyed = asyncio.create_task(fleet.post(stopped, 'k1', '?ms=500'))
    await entry_fleets.wait_until(
        lambda: sum(entry.sending.slots.waiting for entry in entries) > 8
    )
    fleet.entries.remove(stopped)
    stopped.node.stopping.set()
    await stopped.run()
    answers = await asyncio.gather(*pending, keyed)
    assert {entry_fleets.outcome(answer) for answer in answers} == {'answered'}
    assert fleet.run_count('k1') == 1


async def test_entries_use_static_shares_without_broker(
    fleet: entry_fleets.Fleet,
) -> None:
    entries = [await fleet.start() for _ in range(3)]
    broker = next(
        entry
        for entry in entries
        if fleet.broker_id('desk') == entry.dependencies.roster.local_peer.id
    )
    others = [entry for entry in entries if entry is not broker]
    await asyncio.gather(*(fleet.send(entry) for entry in others))
    # The broker stays in the roster but does not reply any more.
    broker.node.dependencies.endpoint.close()
    answers = await asyncio.gather(
        *(fleet.send(entry) for entry in others for _ in range(10))
    )
    assert {entry_fleets.outcome(answer) for answer in answers} == {'answered'}
    assert all(
        entry.sending.gateway.static_brokers.services() for entry in others
    )


async def test_leaving_target_gets_no_new_work(
    fleet: entry_fleets.Fleet,
) -> None:
    entries = [await fleet.start() for _ in range(2)]
    server = fleet.runners_by_host['h1']
    server.runner.leaving = True
    answers = await asyncio.gather(*(fleet.send(entries[0]) for _ in range(20)))
    assert {entry_fleets.outcome(answer) for answer in answers} == {'answered'}
    await entry_fleets.wait_until(
        lambda: all(
            entry.dependencies.leaving_hosts.is_leaving(
                'h1', entry.dependencies.clock.monotonic_s()
            )
            for entry in entries
        )
    )
    server.runner.leaving = False
    for entry in entries:
        await fleet.send(entry)
    assert not server.runner.executions.since(0)


async def test_only_an_interrupted_lookup_is_retried(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    fleet.runners_by_host['h1'].runner.faults = runner_state.Faults(
        mode=runner_state.Mode.CLOSE
    )
    for _ in range(6):
        lookup = await fleet.send(entry)
        assert entry_fleets.outcome(lookup) == 'answered'
    fleet.runners_by_host['h2'].runner.faults = runner_state.Faults(
        mode=runner_state.Mode.CLOSE
    )
    answer = await fleet.post(entry, 'k1')
    assert entry_fleets.outcome(answer) == 'outcome-unknown'
    assert fleet.run_count('k1') == 1


async def test_lost_host_fails_no_request(fleet: entry_fleets.Fleet) -> None:
    entries = [await fleet.start() for _ in range(2)]
    lost = fleet.runners_by_host.pop('h1')
    await lost.close()
    answers = await asyncio.gather(
        *(
            fleet.post(entry, f'k{number}')
            for entry in entries
            for number in range(30)
        )
    )
    assert {entry_fleets.outcome(answer) for answer in answers} == {'answered'}
    assert {fleet.run_count(f'k{number}') for number in range(30)} == {1}


load_tests = functions.loader(__name__, {'fleet': entry_fleets.fleet})
