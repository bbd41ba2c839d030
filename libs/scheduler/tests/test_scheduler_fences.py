"""Fencing tokens of requests to workers."""

import asyncio
import contextlib

import scheduler_bench as benches

from jackdawlatch.jobs import stored
from jackdawlatch.scheduler import (
    call_failures,
    calls,
    fences,
    persistence,
    reports,
    workers,
)
from jackdawlatch.store import transactions
from jackdawlatch.testing import functions


class Term:
    """A term of a leader, with the fences of its workers."""

    def __init__(self) -> None:
        self.bench = benches.Bench()
        self.deposed = asyncio.Event()
        self.bench.put(stored.LEADER_KEY, b'')
        entry = self.bench.store.content.get(stored.LEADER_KEY)
        assert entry is not None
        self.token = entry.revision
        self.fences = fences.Fences(
            fences.Dependencies(
                self.bench.store,
                persistence.Term('leader', self.token),
                lambda: True,
                self.deposed,
            )
        )

    @property
    def writes(self) -> int:
        """Return the revision of the last token that was written."""
        entry = self.bench.store.content.get(stored.FENCE_KEY)
        return entry.revision if entry else 0


@contextlib.contextmanager
def term():
    """Yield a new term."""
    yield Term()


async def test_requests_of_two_boots_carry_one_token(term):
    former, later = _boot('w1', 1), _boot('w1', 2)
    assert await term.fences.issue(former) == term.token
    token = await term.fences.issue(later)
    assert token > term.token
    assert term.fences.token(former) is None
    # A former boot that is read again is fenced anew.
    assert await term.fences.issue(former) > token


async def test_lost_boot_is_asked_with_the_same_token(term):
    worker = _boot('w1', 1)
    await term.fences.issue(worker)
    term.fences.expire(worker)
    assert term.fences.token(worker) is None
    assert await term.fences.issue(worker) > term.token


async def test_workers_lost_together_are_fenced_one_by_one(term):
    lost = [_boot(f'w{number}', 1) for number in range(9)]
    for worker in lost:
        await term.fences.issue(worker)
        term.fences.expire(worker)
    tokens = await asyncio.gather(*map(term.fences.issue, lost))
    assert set(tokens) == {term.writes}


async def test_requests_to_one_worker_are_fenced_one_by_one(term):
    """The second token would fence the requests with the first one."""
    worker = _boot('w1', 1)
    await term.fences.issue(worker)
    term.fences.expire(worker)
    tokens = await asyncio.gather(
        *(term.fences.issue(worker) for _ in range(3))
    )
    assert set(tokens) == {term.writes}


async def test_new_worker_waits_for_the_token_of_another_one(term):
    lost = _boot('w1', 1)
    await term.fences.issue(lost)
    term.fences.expire(lost)
    term.bench.store.slow_s = 9
    issuing = asyncio.create_task(term.fences.issue(lost))
    await asyncio.sleep(0.05)
    assert not issuing.done()
    async with asyncio.timeout(1):
        assert await term.fences.issue(_boot('w2', 1)) == term.token
    issuing.cancel()


async def test_deposed_leader_issues_a_token(term):
    worker = _boot('w1', 1)
    await term.fences.issue(worker)
    term.fences.expire(worker)
    term.bench.put(stored.LEADER_KEY, b'next')
    assert await term.fences.issue(worker) is None
    assert term.deposed.is_set()


async def test_token_is_issued_while_the_store_is_down(term):
    worker = _boot('w1', 1)
    await term.fences.issue(worker)
    term.fences.expire(worker)
    term.bench.store.down = True
    assert await term.fences.issue(worker) is None
    assert not term.deposed.is_set()
    term.bench.store.down = False
    assert await term.fences.issue(worker) > term.token


async def test_token_of_the_next_leader_is_lower(term):
    worker = _boot('w1', 1)
    await term.fences.issue(worker)
    term.fences.expire(worker)
    token = await term.fences.issue(worker)
    term.bench.store.content.commit(
        transactions.Transaction(deletes=(stored.LEADER_KEY,))
    )
    term.bench.put(stored.LEADER_KEY, b'next')
    next_leader = term.bench.store.content.get(stored.LEADER_KEY)
    assert next_leader.revision > token


async def test_overtaken_request_ends_the_term(term):
    """A worker refuses it, since a later one of the same leader was faster."""
    worker = _boot('w1', 1)
    failed = call_failures.CallFailures(
        call_failures.Dependencies(
            term.bench.clock, None, term.fences, 2.0, term.deposed
        )
    )
    fenced = calls.Refused(message='', reason=calls.Refusal.FENCED)
    overtaken = await term.fences.issue(worker)
    term.fences.expire(worker)
    current = await term.fences.issue(worker)
    failed.record(worker, fenced, overtaken)
    assert not term.deposed.is_set()
    failed.record(worker, fenced, current)
    assert term.deposed.is_set()


def _boot(name: str, born_ms: int) -> workers.Worker:
    return workers.Worker(
        reports.WorkerEntry(
            id=name,
            born_ms=born_ms,
            address=name,
            service='photo',
            zone='z',
            machine=f'm-{name}',
            room=benches.job().steps[0].room,
        )
    )


load_tests = functions.loader(__name__, {'term': term})
