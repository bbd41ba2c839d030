import asyncio

import entry_fleets

from jackdawlatch.testing import functions

LARGE = 1024 * 1024 + 1


async def test_invalid_request_is_reported_by_a_stable_code(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    asked = {
        'service-unknown': fleet.send(entry, '/services/pub/x'),
        'path-unknown': fleet.send(entry, '/elsewhere'),
        'deadline-past': fleet.send(entry, Request_Timeout='-1'),
        'body-too-large': fleet.send(entry, method='POST', body=b'x' * LARGE),
        'body-not-allowed': fleet.send(entry, body=b'x'),
    }
    refused = dict(
        zip(asked, await asyncio.gather(*asked.values()), strict=True)
    )
    statuses = {name: answer.code for name, answer in refused.items()}
    assert statuses == {
        'service-unknown': 404,
        'path-unknown': 404,
        'deadline-past': 422,
        'body-too-large': 413,
        'body-not-allowed': 400,
    }
    for name, answer in refused.items():
        assert entry_fleets.code(answer) == name
        assert entry_fleets.outcome(answer) == 'not-run'


async def test_malformed_headers_are_named(fleet: entry_fleets.Fleet) -> None:
    entry = await fleet.start()
    for name, text in (
        ('Request-Timeout', 'soon'),
        ('Request-Timeout', '3601'),
        ('Priority', 'u=9'),
        ('X-Team', 'Desk 1'),
        ('X-Request-Id', 'a b'),
        ('Idempotency-Key', 'x' * 129),
    ):
        answer = await fleet.send(entry, **{name: text})
        assert answer.code == 400, name
        assert entry_fleets.code(answer) == 'header-malformed'
    assert not any(
        served.runner.executions.since(0)
        for served in fleet.runners_by_host.values()
    )


async def test_request_that_expires_in_the_queue_is_not_run(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    for served in fleet.runners_by_host.values():
        served.runner.leaving = True
    answer = await fleet.send(entry, Request_Timeout='0.2')
    assert entry_fleets.outcome(answer) == 'not-run'
    assert answer.code == 503


load_tests = functions.loader(__name__, {'fleet': entry_fleets.fleet})
