import json
from typing import Any

import entry_fleets

from jackdawlatch.testing import functions


def _job(**fields: Any) -> bytes:
    return json.dumps({'service': 'desk', **fields}).encode()


async def test_job_is_stored_once_per_key_and_cancelled(
    fleet: entry_fleets.Fleet,
) -> None:
    entry, other = await fleet.start(), await fleet.start()
    answers = [
        await fleet.send(each, '/jobs', 'POST', _job(), Idempotency_Key='j1')
        for each in (entry, other)
    ]
    assert [answer.code for answer in answers] == [202, 202]
    jobs = [json.loads(answer.body) for answer in answers]
    assert jobs[0] == jobs[1]
    path = f'/jobs/{jobs[0]["id"]}'
    assert json.loads((await fleet.send(other, path)).body) == jobs[0]
    cancelled = await fleet.send(other, path, 'DELETE')
    assert json.loads(cancelled.body)['state'] == 'cancelled'


async def test_invalid_job_is_reported_by_a_stable_code(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    bodies_by_code = {
        'job-impossible': _job(processors=65),
        'service-unknown': _job(service='pub'),
        'body-malformed': b'{"service": 1}',
    }
    for code, body in bodies_by_code.items():
        answer = await fleet.send(entry, '/jobs', 'POST', body)
        assert entry_fleets.code(answer) == code
        assert entry_fleets.outcome(answer) == 'not-run'
    missing = await fleet.send(entry, '/jobs/none')
    assert (missing.code, entry_fleets.code(missing)) == (404, 'job-unknown')
    assert not fleet.store.content.scan('jobs/').entries


async def test_deeply_nested_job_is_refused(fleet: entry_fleets.Fleet) -> None:
    entry = await fleet.start()
    answer = await fleet.send(entry, '/jobs', 'POST', b'[' * 100_000)
    assert entry_fleets.code(answer) == 'body-malformed'
    assert entry_fleets.outcome(answer) == 'not-run'


async def test_job_is_refused_while_the_store_is_unavailable(
    fleet: entry_fleets.Fleet,
) -> None:
    entry = await fleet.start()
    fleet.store.down = True
    answer = await fleet.send(entry, '/jobs', 'POST', _job())
    assert answer.code == 503
    assert entry_fleets.outcome(answer) == 'not-run'


load_tests = functions.loader(__name__, {'fleet': entry_fleets.fleet})
