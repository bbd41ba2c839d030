import asyncio
import json

import entry_fleets

from jackdawlatch.testing import functions


async def test_lookup_reaches_a_runner_and_comes_back(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    answers = await asyncio.gather(
        *(
            fleet.ask(
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


async def test_entries_share_slots_through_one_broker(
    fleet: entry_fleets.Fleet,
) -> None:
    entries = [await fleet.start() for _ in range(3)]
    answers = await asyncio.gather(
        *(
            fleet.ask(entries[number % 3], '/services/desk/x?ms=20')
            for number in range(90)
        )
    )
    assert {entry_fleets.outcome(answer) for answer in answers} == {'answered'}
    brokerages = [each.sending.brokerage for each in entries]
    assert sum(bool(each.brokers.services()) for each in brokerages) == 1
    assert not any(each.shares.services() for each in brokerages)


load_tests = functions.loader(__name__, {'fleet': entry_fleets.fleet})
