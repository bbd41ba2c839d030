"""At most one process leads at a time, and it knows when its lease ends."""

import asyncio
import contextlib

from returns import result

from jackdawlatch.jobs import stored
from jackdawlatch.model import clocks
from jackdawlatch.scheduler import election
from jackdawlatch.standins import fakes
from jackdawlatch.store import keyvalue
from jackdawlatch.testing import functions, waiting

WEAKEST_S = election.candidacy_delay_s(0, 0)


class Bench:
    """Candidates with one store, on a clock that the test advances."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock(start_s=10)
        self.store = fakes.FakeStore(self.clock)

    def candidate(
        self, name: str, candidacy_delay_s: float = 0
    ) -> election.Election:
        """Return a candidate that has observed a vacancy."""
        candidate = election.Election(
            election.Candidate(name, self.store, self.clock, candidacy_delay_s)
        )
        candidate.record_vacancy(vacant=True)
        return candidate


@contextlib.contextmanager
def bench():
    yield Bench()


async def test_only_one_candidate_wins(bench):
    first, second = bench.candidate('a'), bench.candidate('b')
    term = await first.win()
    losing = asyncio.create_task(second.win())
    await waiting.until(lambda: bench.store.calls_by_name['commit'] > 1)
    assert first.leading and not second.leading
    assert term.token == bench.store.content.get(stored.LEADER_KEY).revision
    losing.cancel()


async def test_stronger_host_wins_a_vacancy(bench):
    weak = bench.candidate('a', election.candidacy_delay_s(0.5, 10))
    strong = bench.candidate('b', election.candidacy_delay_s(2, 200))
    competing = [
        asyncio.create_task(candidate.win()) for candidate in (weak, strong)
    ]
    await waiting.until(lambda: weak.leading or strong.leading)
    assert strong.leading
    for candidate in competing:
        candidate.cancel()


async def test_hosts_that_all_stop_keep_a_leader(bench):
    holder, other = bench.candidate('a'), bench.candidate('b')
    await holder.win()
    for stopping in (holder, other):
        await stopping.step_aside()
    holder.record_vacancy(vacant=True)
    competing = [asyncio.create_task(one.win()) for one in (holder, other)]
    await waiting.until(lambda: holder.leading or other.leading)
    for candidate in competing:
        candidate.cancel()


async def test_stopping_host_leaves_the_lead_to_others(bench):
    stopping, staying = bench.candidate('a'), bench.candidate('b', WEAKEST_S)
    await stopping.win()
    await stopping.step_aside()
    stopping.record_vacancy(vacant=True)
    competing = [asyncio.create_task(one.win()) for one in (stopping, staying)]
    await waiting.until(lambda: stopping.leading or staying.leading)
    assert staying.leading
    for candidate in competing:
        candidate.cancel()


async def test_host_that_withdraws_meanwhile_does_not_lead(bench):
    leaving = bench.candidate('a')
    commit = bench.store.commit

    async def withdraw_first(transaction):
        await leaving.withdraw()
        return await commit(transaction)

    bench.store.commit = withdraw_first
    competing = asyncio.create_task(leaving.win())
    await waiting.until(lambda: bench.store.calls_by_name['commit'])
    await waiting.until(
        lambda: bench.store.content.get(stored.LEADER_KEY) is None
    )
    assert not leaving.leading
    competing.cancel()


async def test_later_term_has_a_higher_token(bench):
    first, second = bench.candidate('a'), bench.candidate('b')
    earlier = await first.win()
    await first.resign()
    later = await second.win()
    assert later.token > earlier.token


async def test_holder_that_was_suspended_does_not_lead(bench):
    holder = bench.candidate('a')
    await holder.win()
    bench.clock.advance(election.TTL_S)
    assert not holder.leading


async def test_lost_answer_does_not_delay_the_next_renewal(bench):
    holder = bench.candidate('a')
    await holder.win()
    answers = []

    async def renew(_lease: str):
        answers.append(len(answers))
        if len(answers) == 1:
            await asyncio.sleep(waiting.WAIT_S)
        return result.Success(None)

    bench.store.renew = renew
    keeping = asyncio.create_task(holder.keep_renewing())
    bench.clock.advance(1)
    await waiting.until(lambda: len(answers) > 1)
    bench.clock.advance(1)
    assert holder.leading
    keeping.cancel()


async def test_removed_key_ends_the_term(bench):
    holder = bench.candidate('a')
    term = await holder.win()
    holder.observe(
        keyvalue.Entry(
            key=stored.LEADER_KEY, revision=term.token + 1, deleted=True
        )
    )
    assert not holder.leading


load_tests = functions.loader(__name__, {'bench': bench})
