import asyncio

import entry_fleets

from jackdawlatch.testing import functions

SLOW = '?ms=400'


async def test_copy_through_another_entry_joins_the_flight(
    fleet: entry_fleets.Fleet,
) -> None:
    entries = [await fleet.start() for _ in range(3)]
    answers = await asyncio.gather(
        *(fleet.post(entry, 'k1', SLOW) for entry in entries)
    )
    assert fleet.runs('k1') == 1
    assert {entry_fleets.outcome(answer) for answer in answers} == {'answered'}
    assert len({answer.body for answer in answers}) == 1


async def test_copy_after_its_entry_died_is_never_sent_again(
    fleet: entry_fleets.Fleet,
) -> None:
    entries = [await fleet.start() for _ in range(2)]
    owner, other = entries
    bucket = owner.keyed.keyed.bucket_of
    key = next(
        f'k{number}'
        for number in range(100)
        if owner.keyed.ownership.owner(
            bucket(entry_fleets.request(f'k{number}'))
        )
        is owner.around.roster.own
    )
    first = asyncio.create_task(fleet.post(owner, key, SLOW))
    await entry_fleets.until(lambda: fleet.runs(key) == 1)
    owner.node.parts.endpoint.close()
    copy = await fleet.post(other, key, SLOW)
    assert entry_fleets.code(copy) == 'sent-before'
    assert entry_fleets.outcome(await first) == 'answered'
    await owner.keyed.keyed.flush()
    again = await fleet.post(other, key, SLOW)
    assert again.body == (await first).body
    assert fleet.runs(key) == 1


async def test_different_request_under_a_used_key_is_refused(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    await fleet.post(entry, 'k1', body=b'one')
    other = await fleet.post(entry, 'k1', body=b'two')
    assert (other.code, entry_fleets.code(other)) == (
        422,
        'idempotency-key-reused',
    )
    assert fleet.runs('k1') == 1


async def test_outage_refuses_keyed_requests_and_no_others(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    await fleet.post(entry, 'before')
    fleet.store.down = True
    copy = await fleet.post(entry, 'before')
    refused = await fleet.post(entry, 'during')
    lookup = await fleet.ask(entry)
    unkeyed = await fleet.ask(entry, method='POST', body=b'x')
    assert entry_fleets.outcome(copy) == 'answered'
    assert entry_fleets.outcome(refused) == 'not-run'
    assert entry_fleets.code(refused) == 'intent-not-kept'
    assert entry_fleets.outcome(lookup) == 'answered'
    assert entry_fleets.outcome(unkeyed) == 'answered'
    fleet.store.down = False
    resent = await fleet.post(entry, 'during')
    assert entry_fleets.outcome(resent) == 'answered'
    assert fleet.runs('during') == 1


async def test_caller_that_leaves_does_not_cut_its_dispatch(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    leaving = asyncio.create_task(fleet.post(entry, 'k1', SLOW))
    await entry_fleets.until(lambda: fleet.runs('k1') == 1)
    leaving.cancel()
    fleet.drop_connections()
    copy = await fleet.post(entry, 'k1', SLOW)
    assert entry_fleets.outcome(copy) == 'answered'
    assert fleet.runs('k1') == 1


async def test_writes_per_request_are_shared(fleet: entry_fleets.Fleet) -> None:
    entry = await fleet.start()
    before = fleet.store.calls_by_name['put']
    await asyncio.gather(
        *(fleet.post(entry, f'k{number}') for number in range(80))
    )
    await entry.keyed.keyed.flush()
    writes = fleet.store.calls_by_name['put'] - before
    assert writes < 40, writes


load_tests = functions.loader(__name__, {'fleet': entry_fleets.fleet})
