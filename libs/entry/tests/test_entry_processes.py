import asyncio
import collections
import random

import entry_daemons
from returns import result
from tornado import httpclient

from jackdawlatch.backends import exchange
from jackdawlatch.testing import functions

KEYS = 60
DUPLICATES = 3
SEED = 1


async def test_killed_and_paused_entries_run_each_key_once(
    daemons: entry_daemons.Daemons,
) -> None:
    rng = random.Random(SEED)
    outcomes_by_key: dict[str, list[str]] = {}

    async def dispatch(number: int) -> None:
        key = f'k{number}'
        outcomes_by_key[key] = []
        await asyncio.sleep(rng.uniform(0, 2))
        for _ in range(DUPLICATES):
            answer = await daemons.post(
                rng.choice(daemons.entries), key, '?ms=100', timeout_s=5
            )
            if answer is not None:
                outcomes_by_key[key].append(
                    answer.headers['Jackdawlatch-Outcome']
                )

    async def inject_faults() -> None:
        first, second, _ = daemons.entries
        await asyncio.sleep(0.4)
        await daemons.pause(second, 0.7)
        await daemons.replace(first)

    await asyncio.gather(
        inject_faults(), *(dispatch(each) for each in range(KEYS))
    )
    run_counts_by_key = await daemons.run_counts_by_key()
    assert max(run_counts_by_key.values()) == 1
    for key, outcomes in outcomes_by_key.items():
        if 'answered' in outcomes:
            assert run_counts_by_key[key] == 1
        if set(outcomes) == {'not-run'} and len(outcomes) == DUPLICATES:
            assert key not in run_counts_by_key
    assert (
        sum('answered' in outcomes for outcomes in outcomes_by_key.values())
        > KEYS / 2
    )


async def test_planned_stop_answers_requests_in_flight(
    daemons: entry_daemons.Daemons,
) -> None:
    stopped = daemons.entries[0]
    pending = [
        asyncio.create_task(daemons.post(entry, f'{entry}{number}', '?ms=900'))
        for entry in daemons.entries
        for number in range(5)
    ]
    await asyncio.sleep(0.3)
    assert await daemons.stop(stopped) == 0
    answers = await asyncio.gather(*pending)
    outcomes = collections.Counter(map(_outcome, answers))
    assert outcomes == {'answered': len(pending)}, (outcomes, daemons.errors)
    assert set((await daemons.run_counts_by_key()).values()) == {1}


async def test_planned_stop_drops_no_keep_alive_connection(
    daemons: entry_daemons.Daemons,
) -> None:
    stopped = daemons.entries[0]
    url = daemons.url(stopped, 'lookup')
    client = exchange.Client()
    outcomes: list[result.Result[exchange.Reply, exchange.Failed]] = []

    async def send_until_refused() -> None:
        while not outcomes or isinstance(outcomes[-1], result.Success):
            outcomes.append(await client.send(exchange.Outgoing(url)))

    clients = [asyncio.create_task(send_until_refused()) for _ in range(8)]
    await asyncio.sleep(0.5)
    assert await daemons.stop(stopped) == 0
    await asyncio.gather(*clients)
    client.close()
    interrupted = [
        outcome
        for outcome in outcomes
        if isinstance(outcome, result.Failure)
        and isinstance(outcome.failure(), exchange.Unanswered)
    ]
    assert not interrupted, interrupted[0]


def _outcome(answer: httpclient.HTTPResponse | None) -> str:
    if answer is None:
        return 'no answer'
    outcome = answer.headers['Jackdawlatch-Outcome']
    return outcome if outcome == 'answered' else f'{outcome} {answer.body!r}'


load_tests = functions.loader(__name__, {'daemons': entry_daemons.daemons})
