import asyncio
import json

import entry_fleets

from jackdawlatch.testing import functions


async def test_lookup_returns_the_answer_of_a_runner(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    answers = await asyncio.gather(
        *(
            fleet.send(
                entry,
                f'/services/desk/x?ms={number}',
                X_Request_Id=f'r{number}',
            )
            for number in range(40)
        )
    )
    for number, answer in enumerate(answers):
        assert entry_fleets.outcome(answer) == 'answered', answer.body
        assert answer.headers['X-Request-Id'] == f'r{number}'
        assert json.loads(answer.body)['id'] == f'r{number}'


async def test_head_returns_the_length_and_no_body(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    get = await fleet.send(entry)
    head = await fleet.send(entry, method='HEAD')
    assert not head.body
    assert int(head.headers['Content-Length']) > 0
    assert head.headers['Content-Type'] == get.headers['Content-Type']


async def test_entries_share_slots_through_one_broker(
    fleet: entry_fleets.Fleet,
) -> None:
    entries = [await fleet.start() for _ in range(3)]
    answers = await asyncio.gather(
        *(
            fleet.send(entries[number % 3], '/services/desk/x?ms=20')
            for number in range(90)
        )
    )
    assert {entry_fleets.outcome(answer) for answer in answers} == {'answered'}
    gateways = [each.sending.gateway for each in entries]
    assert sum(bool(each.brokers.services()) for each in gateways) == 1
    assert not any(each.static_brokers.services() for each in gateways)


load_tests = functions.loader(__name__, {'fleet': entry_fleets.fleet})
