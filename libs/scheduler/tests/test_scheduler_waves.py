"""Maintenance and stops on machines whose worker is not registered."""

import asyncio
from unittest import mock

import scheduler_bench as benches
from returns import result

from jackdawlatch.model import records
from jackdawlatch.scheduler import reports, waves, workers
from jackdawlatch.testing import functions, waiting

WAVE_S = 9
# Such a wave does not wait for services with less load.
URGENT_WAVE_S = 4
# More than two rounds of waves; idle workers get tasks at once.
PLACED_S = 0.5
UNANSWERED = result.Failure(reports.MachineFailure(message='no answer'))


async def test_wave_vacates_worker_without_registration(bench):
    """It may be cut off from the store only, and run on."""
    worker = bench.add_worker('w1')
    bench.submit(benches.job(count=2, lasting=True, max_unavailable=1))
    fleet = bench.workers.by_id
    async with bench.lead() as leader:
        await waiting.until(lambda: len(worker.running) == 2)
        bench.remove_worker('w1')
        bench.add_worker('w2')
        leader.waves.add(waves.Wave(1, ('m-w1',), WAVE_S, 1))
        min_serving = 2
        async with asyncio.timeout(waiting.WAIT_S):
            while not bench.machines.maintained:
                serving = sum(len(one.running) for one in fleet.values())
                min_serving = min(min_serving, serving)
                await asyncio.sleep(0.001)
    assert not worker.running
    assert min_serving == 1


async def test_stop_for_a_wave_is_logged(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job(lasting=True))
    async with bench.lead() as leader:
        await waiting.until(lambda: worker.running)
        with mock.patch.object(leader.cluster, 'note') as note:
            leader.waves.add(waves.Wave(1, ('m-w1',), WAVE_S, 1))
            await waiting.until(lambda: not worker.running)
            notes = [(one.args[0], one.args[2]) for one in note.call_args_list]
    assert notes.count(('vacated', 'wave')) == 1


async def test_run_without_registration_is_stopped(bench):
    worker = bench.add_worker('w1')
    bench.submit(benches.job(lasting=True))
    async with bench.lead() as leader:
        await waiting.until(lambda: worker.running)
        known = leader.cluster.workers_by_id['w1']
        bench.remove_worker('w1')
        await waiting.until(lambda: not known.registered)
        bench.cancel('a')
        await waiting.until(lambda: not worker.running)


async def test_wave_sees_worker_that_registers_meanwhile(bench):
    bench.add_worker('w1')
    bench.machines.opened.clear()
    async with bench.lead() as leader:
        leader.waves.add(waves.Wave(1, ('m-w1', 'm-w2'), WAVE_S, 2))
        await waiting.until(lambda: bench.machines.requested)
        # An earlier leader started the task there.
        bench.submit(benches.job(lasting=True))
        bench.add_worker('w2').running[benches.task()] = 1
        by_id = leader.cluster.workers_by_id
        await waiting.until(lambda: 'w2' in by_id and by_id['w2'].runs_by_task)
        bench.machines.opened.set()
        await waiting.until(lambda: len(bench.machines.maintained) == 2)
    assert not bench.machines.ended_runs


async def test_wave_does_not_open_a_worker_that_is_moving(bench):
    worker = bench.add_worker('w1')
    bench.machines.opened.clear()
    async with bench.lead() as leader:
        by_id = leader.cluster.workers_by_id
        await waiting.until(lambda: 'w1' in by_id)
        by_id['w1'].cordons.add(workers.Cordon.MOVE)
        leader.waves.add(waves.Wave(1, ('m-w0', 'm-w1'), WAVE_S, 1))
        await waiting.until(lambda: bench.machines.requested)
        bench.submit(benches.job(lasting=True))
        await asyncio.sleep(PLACED_S)
        assert not worker.started_runs
        by_id['w1'].cordons.clear()
        await waiting.until(lambda: worker.running)


async def test_machine_being_requested_gets_no_tasks(bench):
    bench.machines.opened.clear()
    async with bench.lead() as leader:
        leader.waves.add(waves.Wave(1, ('m-w1',), WAVE_S, 1))
        await waiting.until(lambda: bench.machines.requested)
        added = bench.add_worker('w1')
        bench.submit(benches.job(lasting=True))
        await asyncio.sleep(PLACED_S)
        bench.machines.opened.set()
        await waiting.until(lambda: bench.machines.maintained)
        await waiting.until(lambda: bench.workers.by_id['w1'].running)
    assert not added.started_runs
    assert not bench.machines.ended_runs


async def test_machine_that_may_go_down_gets_no_tasks(bench):
    """A maintenance request without answer may be carried out later."""
    worker = bench.add_worker('w1')
    async with bench.lead() as leader:
        with mock.patch.object(
            bench.machines, 'maintain', return_value=UNANSWERED
        ) as maintain:
            leader.waves.add(waves.Wave(1, ('m-w1',), WAVE_S, 1))
            await waiting.until(lambda: maintain.call_count)
            await asyncio.sleep(PLACED_S)
            bench.submit(benches.job(lasting=True))
            await asyncio.sleep(PLACED_S)
        assert not worker.started_runs
        await waiting.until(lambda: bench.machines.maintained)
        await waiting.until(lambda: bench.workers.by_id['w1'].running)
    assert not bench.machines.ended_runs


async def test_refused_machine_does_not_hold_up_a_wave(bench):
    bench.add_worker('w1')
    bench.machines.refused.add('m-gone')
    async with bench.lead() as leader:
        leader.waves.add(waves.Wave(1, ('m-gone', 'm-w1'), WAVE_S, 1))
        await waiting.until(lambda: bench.machines.maintained)
        bench.machines.refused.clear()
        await waiting.until(lambda: len(bench.machines.maintained) == 2)


async def test_refused_machine_gets_no_tasks_for_ever(bench):
    """It stays up, and is requested anew in every round."""
    worker = bench.add_worker('w1')
    bench.machines.refused.add('m-w1')
    async with bench.lead() as leader:
        leader.waves.add(waves.Wave(1, ('m-w1',), WAVE_S, 1))
        await waiting.until(lambda: bench.machines.requested)
        bench.submit(benches.job(lasting=True))
        await waiting.until(lambda: worker.running)


async def test_changed_wave_waits_for_the_next_leader(bench):
    """A machine that has left the wave is refused, and one has joined it."""
    worker = bench.add_worker('w1')
    bench.machines.refused.add('m-w1')
    async with bench.lead() as leader:
        leader.waves.add(waves.Wave(1, ('m-w1',), WAVE_S, 1))
        await waiting.until(lambda: bench.machines.requested)
        leader.waves.add(waves.Wave(1, ('m-w2',), WAVE_S, 1))
        bench.submit(benches.job(lasting=True))
        await waiting.until(lambda: worker.running)
        await waiting.until(lambda: 'm-w2' in bench.machines.maintained)


async def test_done_wave_that_is_extended_stays_done(bench):
    """Guards against machines that join a wave after its end."""
    bench.add_worker('w1')
    bench.add_worker('w2')
    async with bench.lead() as leader:
        leader.waves.add(waves.Wave(1, ('m-w1',), WAVE_S, 1))
        await waiting.until(lambda: _is_done(bench))
        leader.waves.add(waves.Wave(1, ('m-w1', 'm-w2'), WAVE_S, 1))
        await waiting.until(lambda: not _is_done(bench))
        await waiting.until(lambda: _is_done(bench))
    assert bench.machines.maintained == ['m-w1', 'm-w2']


async def test_known_wave_is_begun_again(bench):
    """Guards against a done wave that starts over when it is read again."""
    bench.add_worker('w1')
    wave = waves.Wave(1, ('m-w1',), WAVE_S, 1)
    # A release without records has reported it.
    bench.put('status/1', records.encode(waves.WaveStatus(number=1, done=True)))
    async with bench.lead() as leader:
        leader.waves.add(wave)
        await asyncio.sleep(PLACED_S)
        leader.waves.add(wave)
        await asyncio.sleep(PLACED_S)
    assert not bench.machines.requested


async def test_worker_opens_after_repeated_maintenance(bench):
    """The platform accepts a request of a new leader that is done already."""
    worker = bench.add_worker('w1')
    with mock.patch.object(
        bench.machines, 'maintain', return_value=result.Success(None)
    ) as maintain:
        async with bench.lead() as leader:
            leader.waves.add(waves.Wave(1, ('m-w1',), WAVE_S, 1))
            await waiting.until(lambda: maintain.call_count)
            bench.add_entry(worker.entry)
            bench.submit(benches.job(lasting=True))
            await waiting.until(lambda: worker.running)


async def test_task_is_stopped_repeatedly_ahead_of_a_place(bench):
    bench.maintenance_s = 2
    bench.machines = benches.FakeMachines(lambda _: 0)
    worker = bench.add_worker('w1')
    bench.submit(benches.job(lasting=True))
    async with bench.lead() as leader:
        await waiting.until(lambda: worker.running)
        leader.waves.add(waves.Wave(1, ('m-w0', 'm-w1'), WAVE_S, 1))
        await waiting.until(lambda: 'm-w1' in bench.machines.maintained)
    assert len(worker.started_runs) == 1


async def test_wave_and_lasting_task_wait_for_each_other(bench):
    """A step that is short of a worker allows no stop on the machine."""
    worker = bench.add_worker('w1')
    bench.submit(benches.job('a', lasting=True))
    bench.submit(
        benches.job(
            'b', count=2, lasting=True, max_per_worker=1, max_unavailable=1
        )
    )
    async with bench.lead() as leader:
        await waiting.until(lambda: len(worker.running) == 2)
        leader.waves.add(waves.Wave(1, ('m-w1',), URGENT_WAVE_S, 1))
        await waiting.until(lambda: len(worker.running) == 1)
        await waiting.until(lambda: len(worker.running) == 2)


async def test_refused_machine_is_closed_to_tasks(bench):
    """It is sound as long as no maintenance begins."""
    worker = bench.add_worker('w1')
    bench.machines.refused.add('m-w1')
    async with bench.lead() as leader:
        leader.waves.add(waves.Wave(1, ('m-w1',), WAVE_S, 1))
        await waiting.until(lambda: bench.machines.requested)
        bench.submit(benches.job(lasting=True))
        await waiting.until(lambda: worker.running)


async def test_worker_that_stayed_up_is_given_up(bench):
    """A request that is done already is accepted, and takes nothing down."""
    worker = bench.add_worker('w1')
    with mock.patch.object(
        bench.machines, 'maintain', return_value=result.Success(None)
    ) as maintain:
        async with bench.lead() as leader:
            leader.waves.add(waves.Wave(1, ('m-w1',), WAVE_S, 1))
            await waiting.until(lambda: maintain.call_count)
            bench.submit(benches.job(lasting=True))
            await waiting.until(lambda: worker.running)


async def test_new_leader_does_not_repeat_maintenance(bench):
    bench.add_worker('w1')
    wave = waves.Wave(1, ('m-w1', 'm-w2'), WAVE_S, 1)
    bench.machines.refused.add('m-w2')
    async with bench.lead() as first:
        first.waves.add(wave)
        await waiting.until(lambda: bench.machines.maintained)
        await asyncio.sleep(PLACED_S)
    bench.machines.refused.clear()
    bench.machines.maintained.clear()
    async with bench.lead() as second:
        second.waves.add(wave)
        await waiting.until(lambda: 'm-w2' in bench.machines.maintained)
        await asyncio.sleep(PLACED_S)
    assert bench.machines.maintained == ['m-w2']


def _is_done(bench: benches.Bench) -> bool:
    entry = bench.store.content.get('status/1')
    return bool(entry) and records.decode(entry.value, waves.WaveStatus).done


load_tests = functions.loader(__name__, {'bench': benches.bench})
