import asyncio
import collections
import random

import entry_daemons
from returns import result
from tornado import httpclient

from jackdawlatch.backends import exchange
from jackdawlatch.testing import functions

KEYS = 60
COPIES = 3
SEED = 1


async def test_killed_and_paused_entries_run_each_key_once(
    daemons: entry_daemons.Daemons,
) -> None:
    rng = random.Random(SEED)
    told_by_key: dict[str, list[str]] = {}

    async def dispatch(number: int) -> None:
        key = f'k{number}'
        told_by_key[key] = []
        await asyncio.sleep(rng.uniform(0, 2))
        for _ in range(COPIES):
            answer = await daemons.post(
                rng.choice(daemons.entries), key, '?ms=100', timeout_s=5
            )
            if answer is not None:
                told_by_key[key].append(answer.headers['Jackdawlatch-Outcome'])

    async def disturb() -> None:
        first, second, _ = daemons.entries
        await asyncio.sleep(0.4)
        await daemons.pause(second, 0.7)
        await daemons.replace(first)

    await asyncio.gather(disturb(), *(dispatch(each) for each in range(KEYS)))
    runs_by_key = await daemons.runs_by_key()
    assert max(runs_by_key.values()) == 1
    for key, told in told_by_key.items():
        if 'answered' in told:
            assert runs_by_key[key] == 1
        if set(told) == {'not-run'} and len(told) == COPIES:
            assert key not in runs_by_key
    assert sum('answered' in told for told in told_by_key.values()) > KEYS / 2


async def test_planned_stop_answers_what_is_in_flight(
    daemons: entry_daemons.Daemons,
) -> None:
    stopped = daemons.entries[0]
    asked = [
        asyncio.create_task(daemons.post(entry, f'{entry}{number}', '?ms=900'))
        for entry in daemons.entries
        for number in range(5)
    ]
    await asyncio.sleep(0.3)
    assert await daemons.stop(stopped) == 0
    answers = await asyncio.gather(*asked)
    told = collections.Counter(map(_outcome, answers))
    assert told == {'answered': len(asked)}, (told, daemons.errors)
    assert set((await daemons.runs_by_key()).values()) == {1}


async def test_planned_stop_cuts_no_kept_connection(
    daemons: entry_daemons.Daemons,
) -> None:
    stopped = daemons.entries[0]
    url = daemons.url(stopped, 'lookup')
    client = exchange.Client()
    told: list[result.Result[exchange.Reply, exchange.Failed]] = []

    async def ask_until_refused() -> None:
        while not told or isinstance(told[-1], result.Success):
            told.append(await client.send(exchange.Outgoing(url)))

    asking = [asyncio.create_task(ask_until_refused()) for _ in range(8)]
    await asyncio.sleep(0.5)
    assert await daemons.stop(stopped) == 0
    await asyncio.gather(*asking)
    client.close()
    cut = [
        answered
        for answered in told
        if isinstance(answered, result.Failure)
        and isinstance(answered.failure(), exchange.Unanswered)
    ]
    assert not cut, cut[0]


def _outcome(answer: httpclient.HTTPResponse | None) -> str:
    if answer is None:
        return 'no answer'
    outcome = answer.headers['Jackdawlatch-Outcome']
    return outcome if outcome == 'answered' else f'{outcome} {answer.body!r}'


load_tests = functions.loader(__name__, {'daemons': entry_daemons.daemons})
