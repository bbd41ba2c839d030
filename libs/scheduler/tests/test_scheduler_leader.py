"""Guarantees of a leader, across changes of leaders and lost answers."""

import asyncio
from unittest import mock

import scheduler_bench as benches
from returns import result

from jackdawlatch.jobs import model, stored
from jackdawlatch.model import records
from jackdawlatch.scheduler import (
    calls,
    housekeeping,
    machine_workers,
    polling,
    reports,
    runs,
    waves,
)
from jackdawlatch.store import keyvalue, transactions
from jackdawlatch.testing import functions, waiting

DONE = reports.EndKind.DONE
FAILED = reports.EndKind.FAILED


async def test_job_runs_and_is_stored_as_done(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead():
        await waiting.until(lambda: worker.running)
        worker.end(benches.task(), DONE)
        await waiting.until(lambda: bench.phase('a') is stored.JobPhase.DONE)
        await waiting.until(lambda: not worker.ends)


async def test_workers_beyond_waiting_polls_are_polled_too(bench):
    fleet = [bench.add_worker(name) for name in ('w1', 'w2', 'w3')]
    bench.submit(benches.job(count=3, max_per_worker=1))
    with mock.patch.object(polling, 'MAX_WAITING_POLLS', 1):
        async with bench.lead():
            await waiting.until(lambda: all(one.running for one in fleet))
            for worker in fleet:
                worker.end(next(iter(worker.running)), DONE)
            await waiting.until(
                lambda: bench.phase('a') is stored.JobPhase.DONE
            )


async def test_job_whose_start_was_refused_counts_as_pending(bench):
    worker = bench.add_worker('w1')
    refusing = mock.patch.object(
        worker, 'start', return_value=calls.Refusal.NO_ROOM
    )
    refused = refusing.start()
    bench.submit(benches.job())
    async with bench.lead():
        await waiting.until(lambda: refused.call_count > 1)
    # The next leader finds the job as placed.
    async with bench.lead() as leader:
        await waiting.until(lambda: 'a' in leader.cluster.jobs_by_id)
        counted = housekeeping.pending(leader.cluster.jobs_by_id.values())
        assert counted == {'photos': 1}
        refusing.stop()
        await waiting.until(lambda: worker.running)
        await waiting.until(
            lambda: not housekeeping.pending(leader.cluster.jobs_by_id.values())
        )


async def test_late_write_replaces_number_of_pending_jobs(bench):
    """Guards against a number that an earlier write brings back."""
    late: list[transactions.Transaction] = []
    commit = bench.store.commit

    async def commit_late(transaction):
        publishes = any(
            put.key == stored.PENDING_KEY for put in transaction.puts
        )
        if publishes and not late:
            late.append(transaction)
            return result.Failure(keyvalue.Uncertain(message='late'))
        return await commit(transaction)

    with mock.patch.object(bench.store, 'commit', commit_late):
        async with bench.lead():
            await waiting.until(lambda: late)
            bench.submit(benches.job())
            await waiting.until(lambda: _pending(bench) == {'photos': 1})
            bench.store.content.commit(late[0])
            assert _pending(bench) == {'photos': 1}


async def test_record_of_an_ended_job_is_short(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job(count=2))
    async with bench.lead():
        await waiting.until(lambda: len(worker.running) == 2)
        worker.end(benches.task(index=0), DONE)
        await waiting.until(lambda: not worker.ends)
        assert len(bench.progress('a').tasks) == 2
        worker.end(benches.task(index=1), DONE)
        await waiting.until(lambda: bench.phase('a') is stored.JobPhase.DONE)
        assert not bench.progress('a').tasks


async def test_start_is_stored_before_it_is_sent(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead():
        await waiting.until(lambda: worker.running)
        known = bench.progress('a').tasks[0]
    assert (known.worker, known.attempt) == ('w1', 1)


async def test_end_is_not_acknowledged_before_it_is_stored(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead():
        await waiting.until(lambda: worker.running)
        bench.store.down = True
        worker.end(benches.task(), DONE)
        # Longer than STORE_WAIT_S, so that the worker is polled again.
        await asyncio.sleep(polling.STORE_WAIT_S + 0.3)
        assert worker.ends
        bench.store.down = False
        await waiting.until(lambda: not worker.ends)
    assert bench.phase('a') is stored.JobPhase.DONE


async def test_next_leader_does_not_restart_a_done_task(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job(count=2))
    async with bench.lead():
        await waiting.until(lambda: len(worker.running) == 2)
    # The next leader collects this end.
    worker.end(benches.task(index=0), DONE)
    async with bench.lead():
        await waiting.until(lambda: not worker.ends)
        worker.end(benches.task(index=1), DONE)
        await waiting.until(lambda: bench.phase('a') is stored.JobPhase.DONE)
    assert len(worker.started_runs) == 2


async def test_end_left_out_of_a_list_restarts_its_task(bench):
    """Guards against a full list of ends being taken for all of them."""
    worker = bench.add_worker('w1')
    worker.max_ends = 2
    room = model.Room(processors_m=100)
    bench.submit(benches.job(count=5, room=room))
    async with bench.lead():
        await waiting.until(lambda: len(worker.running) == 5)
    for task in tuple(worker.running):
        worker.end(task, DONE)
    async with bench.lead():
        await waiting.until(lambda: bench.phase('a') is stored.JobPhase.DONE)
    assert len(worker.started_runs) == 5


async def test_task_found_done_while_stored_is_started(bench):
    """Guards against a start whose task has ended since it was placed."""
    fleet = [bench.add_worker(name) for name in ('w1', 'w2', 'w3')]
    bench.submit(benches.job(count=2, max_per_worker=1))
    async with bench.lead() as leader:
        await waiting.until(lambda: sum(bool(one.running) for one in fleet) > 1)
        first, other = (one for one in fleet if one.running)
        task_id = next(iter(first.running))
        task = leader.cluster.task(task_id)
        first.down = True
        first.end(task_id, DONE)

        async def find_end() -> None:
            """Let the first worker answer while the next run is stored."""
            if task.run and task.run.phase is runs.RunPhase.WRITING:
                first.down = False
                await waiting.until(lambda: task.done)

        bench.store.before_put = find_end
        await waiting.until(lambda: first.down is False and not first.ends)
        other.end(next(iter(other.running)), DONE)
        await waiting.until(lambda: bench.phase('a') is stored.JobPhase.DONE)
    assert sum(len(one.started_runs) for one in fleet) == 2


async def test_next_leader_keeps_a_running_task(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job(lasting=True))
    async with bench.lead():
        await waiting.until(lambda: worker.running)
    async with bench.lead():
        await asyncio.sleep(0.2)
    assert len(worker.started_runs) == 1


async def test_lasting_task_that_ended_as_done_is_restarted(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job(lasting=True))
    async with bench.lead():
        await waiting.until(lambda: worker.running)
        worker.end(benches.task(), DONE)
        await waiting.until(lambda: len(worker.started_runs) == 2)
    assert bench.phase('a') is stored.JobPhase.RUNNING


async def test_next_leader_does_not_use_a_departed_worker(bench):
    departed = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead():
        await waiting.until(lambda: departed.running)
    bench.remove_worker('w1')
    present = bench.add_worker('w2')
    bench.submit(benches.job('b'))
    async with bench.lead():
        await waiting.until(lambda: present.running)
    assert len(departed.started_runs) == 1


async def test_unanswered_start_is_not_repeated_elsewhere(bench):
    first = bench.add_worker('w1')
    first.lose_answers = 1
    bench.submit(benches.job())
    async with bench.lead():
        await waiting.until(lambda: first.running)
        bench.add_worker('w2')
        await asyncio.sleep(0.2)
        first.end(benches.task(), DONE)
        await waiting.until(lambda: bench.phase('a') is stored.JobPhase.DONE)
    assert not bench.workers.by_id['w2'].started_runs


async def test_lost_task_is_not_restarted_before_lease_end(bench):
    first = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead() as leader:
        await waiting.until(lambda: first.running)
        second = bench.add_worker('w2')
        first.down = True
        known = leader.cluster.workers_by_id['w1']
        # The worker is found unreachable long before its lease ends.
        await waiting.until(lambda: not known.reachable)
        assert bench.clock.monotonic_s() < known.lease.end_s
        await waiting.until(lambda: second.started_runs)
        assert bench.clock.monotonic_s() > known.lease.end_s


async def test_runs_of_a_restarted_worker_are_restarted(bench):
    first = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead():
        await waiting.until(lambda: first.running)
        again = bench.add_worker('w1', born_ms=2)
        await waiting.until(lambda: again.running)
    assert again.started_runs[0].attempt == 2


async def test_start_on_a_restarting_worker_is_settled(bench):
    first = bench.add_worker('w1')
    first.lost_starts = asyncio.Event()
    bench.submit(benches.job())
    async with bench.lead() as leader:
        await waiting.until(lambda: _phases(leader) == {runs.RunPhase.ORDERED})
        again = bench.add_worker('w1', born_ms=2)
        await waiting.until(lambda: again.running)
        first.lost_starts.set()
    assert again.started_runs[0].attempt == 2


async def test_answer_of_an_earlier_boot_is_ignored(bench):
    first = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead() as leader:
        await waiting.until(lambda: first.running)
        first.answers_polls.clear()
        # The answer to the next poll is delayed until after the restart.
        await asyncio.sleep(polling.POLL_WAIT_S / 2)
        bench.leading = False
        again = bench.add_worker('w1', born_ms=2)
        known = leader.cluster.workers_by_id
        await waiting.until(lambda: known['w1'].entry.born_ms == 2)
        first.answers_polls.set()
        await asyncio.sleep(0.05)
        bench.leading = True
        await waiting.until(lambda: again.running)
        again.end(benches.task(), DONE)
        await waiting.until(lambda: bench.phase('a') is stored.JobPhase.DONE)


async def test_failures_up_to_the_limit_fail_the_job(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead():
        await _fail(worker)
        assert bench.phase('a') is stored.JobPhase.RUNNING
        await _fail(worker)
        assert bench.phase('a') is stored.JobPhase.FAILED
        await asyncio.sleep(0.05)
        assert not worker.running


async def test_failure_that_is_reported_again_counts_once(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead():
        await waiting.until(lambda: worker.running)
        worker.end(benches.task(), FAILED)
        unacknowledged = worker.ends[0]
        await waiting.until(lambda: len(worker.started_runs) == 2)
    worker.ends.append(unacknowledged)
    async with bench.lead():
        await waiting.until(lambda: not worker.ends)
        await asyncio.sleep(0.1)
    assert bench.phase('a') is stored.JobPhase.RUNNING


async def test_cancelled_job_is_stopped(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job(lasting=True))
    async with bench.lead():
        await waiting.until(lambda: worker.running)
        bench.cancel('a')
        await waiting.until(lambda: not worker.running)
        await waiting.until(
            lambda: bench.phase('a') is stored.JobPhase.CANCELLED
        )


async def test_step_waits_for_the_steps_before_it(bench):
    worker = bench.add_worker('w1')
    steps = (model.Step(count=2), model.Step(count=1, after=(0,)))
    bench.submit(records.replace(benches.job(), steps=steps))
    async with bench.lead():
        await waiting.until(lambda: len(worker.running) == 2)
        worker.end(benches.task(index=0), DONE)
        await waiting.until(lambda: not worker.ends)
        assert benches.task(step=1) not in worker.running
        worker.end(benches.task(index=1), DONE)
        await waiting.until(lambda: benches.task(step=1) in worker.running)


async def test_deposed_leader_starts_nothing(bench):
    worker = bench.add_worker('w1')
    async with bench.lead():
        await waiting.until(lambda: worker.token)
        async with bench.lead():
            bench.submit(benches.job())
            await waiting.until(lambda: worker.running)
            await asyncio.sleep(0.1)
    assert worker.started_runs == [calls.RunId(benches.task(), 1)]


async def test_leader_continues_after_its_lease_is_renewed(bench):
    worker = bench.add_worker('w1')
    async with bench.lead() as leader:
        await waiting.until(lambda: worker.token)
        bench.leading = False
        bench.submit(benches.job())
        await asyncio.sleep(0.3)
        assert not worker.started_runs
        bench.leading = True
        await waiting.until(lambda: worker.running)
        assert leader.cluster.jobs_by_id


async def test_stalled_task_is_restarted_elsewhere(bench):
    first = bench.add_worker('w1')
    bench.submit(benches.job())
    async with bench.lead():
        await waiting.until(lambda: first.running)
        second = bench.add_worker('w2')
        await waiting.until(lambda: second.running)
    assert not first.running


async def test_task_is_retried_on_another_worker(bench):
    workers = (bench.add_worker('w1'), bench.add_worker('w2'))
    bench.submit(benches.job())
    async with bench.lead():
        await waiting.until(lambda: any(one.running for one in workers))
        failing = workers[0] if workers[0].running else workers[1]
        failing.end(benches.task(), FAILED)
        await waiting.until(
            lambda: sum(len(one.started_runs) for one in workers) == 2
        )
    assert len(failing.started_runs) == 1


async def test_advised_task_runs_on_an_approved_worker(bench):
    bench.add_worker('w1')
    allowed = bench.add_worker('w2')
    bench.advice.approved = {'w2': 'ticket'}
    bench.submit(records.replace(benches.job(count=2), queue='advised'))
    async with bench.lead():
        await waiting.until(lambda: len(allowed.running) == 2)
    assert not bench.workers.by_id['w1'].started_runs


async def test_gang_starts_whole_or_not_at_all(bench):
    first = bench.add_worker('w1')
    bench.submit(benches.job(count=6, gang=True))
    async with bench.lead():
        await asyncio.sleep(0.1)
        assert not first.started_runs
        second = bench.add_worker('w2')
        await waiting.until(
            lambda: len(first.running) + len(second.running) == 6
        )
    attempts = {
        run_id.attempt for run_id in (*first.started_runs, *second.started_runs)
    }
    assert attempts == {1}


async def test_task_of_unreachable_worker_is_unavailable(bench):
    for name in ('w1', 'w2'):
        bench.add_worker(name)
    bench.submit(
        benches.job(count=2, lasting=True, max_unavailable=1, max_per_worker=1)
    )
    first, second = bench.workers.by_id.values()
    async with bench.lead() as leader:
        await waiting.until(lambda: first.running and second.running)
        tasks = leader.cluster.jobs_by_id['a'].step_state(0, 0).tasks
        await waiting.until(lambda: all(one.serving for one in tasks))
        first.down = True
        await waiting.until(lambda: sum(one.serving for one in tasks) == 1)
        assert all(one.run for one in tasks)
        assert not any(
            machine_workers.may_stop(one) for one in tasks if one.serving
        )


async def test_wave_keeps_max_unavailable_of_a_step(bench):
    for name in ('w1', 'w2', 'w3'):
        bench.add_worker(name)
    bench.submit(
        benches.job(count=2, lasting=True, max_unavailable=1, max_per_worker=1)
    )
    fleet = bench.workers.by_id
    async with bench.lead() as leader:
        await waiting.until(
            lambda: sum(len(one.running) for one in fleet.values()) == 2
        )
        leader.waves.add(waves.Wave(1, ('m-w1', 'm-w2', 'm-w3'), 9, 3))
        min_serving = 2
        async with asyncio.timeout(waiting.WAIT_S):
            while len(bench.machines.maintained) < 3:
                serving = sum(len(one.running) for one in fleet.values())
                min_serving = min(min_serving, serving)
                await asyncio.sleep(0.001)
    assert min_serving >= 1


def _phases(leader):
    return {
        run.phase
        for job in leader.cluster.jobs_by_id.values()
        for run in job.runs()
    }


async def _fail(worker):
    await waiting.until(lambda: worker.running)
    worker.end(benches.task(), FAILED)
    await waiting.until(lambda: not worker.ends)


def _pending(bench: benches.Bench) -> dict[str, int]:
    entry = bench.store.content.get(stored.PENDING_KEY)
    if entry is None:
        return {}
    return records.decode(entry.value, stored.Pending).counts_by_queue


load_tests = functions.loader(__name__, {'bench': benches.bench})
