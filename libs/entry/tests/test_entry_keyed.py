import asyncio

import entry_fleets

from jackdawlatch.testing import functions

SLOW = '?ms=600'


async def test_duplicate_at_another_entry_joins_the_attempt(
    fleet: entry_fleets.Fleet,
) -> None:
    entries = [await fleet.start() for _ in range(3)]
    answers = await asyncio.gather(
        *(fleet.post(entry, 'k1', SLOW) for entry in entries)
    )
    assert fleet.run_count('k1') == 1
    assert {entry_fleets.outcome(answer) for answer in answers} == {'answered'}
    assert len({answer.body for answer in answers}) == 1


async def test_duplicate_is_not_sent_after_its_owner_failed(  # noqa: WPS217 each step is awaited.
    fleet: entry_fleets.Fleet,
) -> None:
    owner, other = [await fleet.start() for _ in range(2)]
    bucket = owner.keyed.requests.bucket_of
    key = next(
        f'k{number}'
        for number in range(100)
        if owner.keyed.ownership.owner(
            bucket(entry_fleets.request(f'k{number}'))
        )
        is owner.dependencies.roster.local_peer
    )
    first = asyncio.create_task(fleet.post(owner, key, SLOW))
    await entry_fleets.wait_until(lambda: fleet.run_count(key) == 1)
    owner.node.dependencies.endpoint.close()
    duplicate = await fleet.post(other, key, SLOW)
    assert entry_fleets.code(duplicate) == 'sent-before'
    answer = await first
    await owner.keyed.requests.flush()
    again = await fleet.post(other, key, SLOW)
    assert again.body == answer.body
    assert fleet.run_count(key) == 1


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
    assert fleet.run_count('k1') == 1


async def test_outage_refuses_keyed_requests_and_no_others(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    await fleet.post(entry, 'before')
    fleet.store.down = True
    duplicate, refused, lookup, unkeyed = await asyncio.gather(
        fleet.post(entry, 'before'),
        fleet.post(entry, 'during'),
        fleet.send(entry),
        fleet.send(entry, method='POST', body=b'x'),
    )
    assert entry_fleets.outcome(duplicate) == 'answered'
    assert entry_fleets.outcome(refused) == 'not-run'
    assert entry_fleets.code(refused) == 'intent-not-kept'
    assert entry_fleets.outcome(lookup) == 'answered'
    assert entry_fleets.outcome(unkeyed) == 'answered'
    fleet.store.down = False
    resent = await fleet.post(entry, 'during')
    assert entry_fleets.outcome(resent) == 'answered'
    assert fleet.run_count('during') == 1


async def test_store_timeout_is_reported_as_not_run(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    fleet.store.slow_s = 1
    answer = await fleet.post(entry, 'k1', timeout_s=0.2)
    assert entry_fleets.outcome(answer) == 'not-run'
    assert not fleet.run_count('k1')


async def test_disconnect_does_not_cancel_a_keyed_request(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    for method, key in (('POST', 'k1'), ('GET', 'g1')):
        await fleet.disconnect_once_running(entry, method, key, SLOW)
    # The lookup is cancelled at once; the keyed request continues.
    await entry_fleets.wait_until(lambda: entry.router.in_flight == 1)
    assert fleet.is_running('k1')
    duplicate = await fleet.post(entry, 'k1', SLOW, b'')
    assert entry_fleets.outcome(duplicate) == 'answered'
    assert fleet.run_count('k1') == 1


async def test_requests_share_writes_to_the_store(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    before = fleet.store.calls_by_name['put']
    await asyncio.gather(
        *(fleet.post(entry, f'k{number}') for number in range(80))
    )
    await entry.keyed.requests.flush()
    writes = fleet.store.calls_by_name['put'] - before
    assert writes < 40, writes


load_tests = functions.loader(__name__, {'fleet': entry_fleets.fleet})
