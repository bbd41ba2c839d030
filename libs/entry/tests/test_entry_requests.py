import asyncio

import entry_fleets

from jackdawlatch.testing import functions

LARGE = 1024 * 1024 + 1


async def test_invalid_request_is_reported_by_a_stable_code(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    requests_by_code = {
        'service-unknown': fleet.send(entry, '/services/pub/x'),
        'path-unknown': fleet.send(entry, '/elsewhere'),
        'deadline-past': fleet.send(entry, Request_Timeout='-1'),
        'body-too-large': fleet.send(entry, method='POST', body=b'x' * LARGE),
        'body-not-allowed': fleet.send(entry, body=b'x'),
    }
    answers_by_code = dict(
        zip(
            requests_by_code,
            await asyncio.gather(*requests_by_code.values()),
            strict=True,
        )
    )
    statuses_by_code = {
        name: answer.code for name, answer in answers_by_code.items()
    }
    assert statuses_by_code == {
        'service-unknown': 404,
        'path-unknown': 404,
        'deadline-past': 422,
        'body-too-large': 413,
        'body-not-allowed': 400,
    }
    for name, answer in answers_by_code.items():
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
        server.runner.executions.since(0)
        for server in fleet.runners_by_host.values()
    )


async def test_request_that_expires_in_the_queue_is_not_run(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    for server in fleet.runners_by_host.values():
        server.runner.leaving = True
    answer = await fleet.send(entry, Request_Timeout='0.2')
    assert entry_fleets.outcome(answer) == 'not-run'
    assert answer.code == 503


load_tests = functions.loader(__name__, {'fleet': entry_fleets.fleet})
