import asyncio

import entry_fleets

from jackdawlatch.testing import functions

SLOW = '?ms=600'


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


async def test_copy_after_its_entry_died_is_never_sent_again(  # noqa: WPS217 each step is awaited.
    fleet: entry_fleets.Fleet,
) -> None:
    owner, other = [await fleet.start() for _ in range(2)]
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
    answer = await first
    await owner.keyed.keyed.flush()
    again = await fleet.post(other, key, SLOW)
    assert again.body == answer.body
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
    copy, refused, lookup, unkeyed = await asyncio.gather(
        fleet.post(entry, 'before'),
        fleet.post(entry, 'during'),
        fleet.ask(entry),
        fleet.ask(entry, method='POST', body=b'x'),
    )
    assert entry_fleets.outcome(copy) == 'answered'
    assert entry_fleets.outcome(refused) == 'not-run'
    assert entry_fleets.code(refused) == 'intent-not-kept'
    assert entry_fleets.outcome(lookup) == 'answered'
    assert entry_fleets.outcome(unkeyed) == 'answered'
    fleet.store.down = False
    resent = await fleet.post(entry, 'during')
    assert entry_fleets.outcome(resent) == 'answered'
    assert fleet.runs('during') == 1


async def test_hanging_store_is_told_as_not_run(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    fleet.store.slow_s = 1
    answer = await fleet.post(entry, 'k1', timeout_s=0.2)
    assert entry_fleets.outcome(answer) == 'not-run'
    assert not fleet.runs('k1')


async def test_caller_that_leaves_does_not_cut_its_dispatch(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    for method, key in (('POST', 'k1'), ('GET', 'g1')):
        await fleet.ask_and_leave(entry, method, key, SLOW)
    # The lookup is given up at once, the dispatch goes on.
    await entry_fleets.until(lambda: entry.front.in_flight == 1)
    assert fleet.running('k1')
    copy = await fleet.post(entry, 'k1', SLOW, b'')
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
