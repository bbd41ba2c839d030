"""Workers whose capacity shrinks and grows while they run tasks."""

import asyncio
import dataclasses
from unittest import mock

import scheduler_bench as benches

from jackdawlatch.jobs import model, stored
from jackdawlatch.model import clocks
from jackdawlatch.scheduler import (
    cluster_state,
    job_loader,
    persistence,
    placements,
    placing,
    reports,
    reservations,
    runs,
    tasks,
    worker_registry,
    workers,
)
from jackdawlatch.testing import functions, waiting

CORE = model.Room(processors_m=1000, memory_mb=100)


def test_shrunk_worker_gets_no_task_beyond_capacity():
    worker = _worker(cores=4)
    for phase in (runs.RunPhase.RUNNING, runs.RunPhase.STOPPING):
        _add_run(worker, phase)
    for cores, count in ((2, 0), (1, 0), (3, 1), (4, 2)):
        worker.update(dataclasses.replace(worker.entry, room=_room(cores)))
        assert len(_place(worker, count=4)) == count, cores


def test_overfull_worker_gets_no_filler_task():
    worker = _worker(cores=4)
    for _ in range(3):
        _add_run(worker, runs.RunPhase.RUNNING)
    assert _place(worker, fills=True)
    worker.update(dataclasses.replace(worker.entry, room=_room(1)))
    assert worker.free.processors_m < 0
    assert not _place(worker, fills=True)


def test_capacity_returns_as_runs_end():
    worker = _worker(cores=4)
    started = [_add_run(worker, runs.RunPhase.RUNNING) for _ in range(4)]
    worker.update(dataclasses.replace(worker.entry, room=_room(2)))
    for run, count in zip(started, (0, 0, 1, 2), strict=True):
        worker.drop(run)
        assert len(_place(worker, count=4)) == count


def test_next_leader_reserves_by_the_capacity_in_force():
    cluster = _cluster()
    known = stored.TaskProgress(0, 0, 0, 1, worker='w1', born_ms=1)
    job_loader.JobLoader(cluster).add(
        benches.job(room=CORE), stored.Progress(tasks=(known,)), 1
    )
    registry = worker_registry.WorkerRegistry(cluster)
    for cores, count in ((1, 0), (2, 1)):
        worker = registry.register(_entry(cores))
        worker.reachable = True
        assert len(_place(worker, count=4)) == count


async def test_placed_task_is_not_sent_to_a_shrunk_worker(bench):
    worker = bench.add_worker('w1')
    with mock.patch.object(persistence, 'BATCH_DELAY_S', 0.2):
        async with bench.lead() as leader:
            bench.submit(benches.job())
            await waiting.until(lambda: _placed(leader))
            _resize(bench, 500)
            await asyncio.sleep(0.4)
            assert not worker.started_runs
            _resize(bench, 1000)
            await waiting.until(lambda: worker.running)


def _placed(leader) -> bool:
    return any(job.runs() for job in leader.cluster.jobs_by_id.values())


def _room(cores: int) -> model.Room:
    return model.Room(processors_m=cores * 1000, memory_mb=4000)


def _entry(cores: int) -> reports.WorkerEntry:
    return reports.WorkerEntry(
        id='w1',
        born_ms=1,
        address='',
        service='photo',
        zone='z',
        machine='m',
        room=_room(cores),
    )


def _worker(cores: int) -> workers.Worker:
    worker = workers.Worker(_entry(cores))
    worker.reachable = True
    return worker


def _add_run(worker: workers.Worker, phase: runs.RunPhase) -> runs.Run:
    name = f'j{len(worker.runs_by_task)}'
    job = tasks.JobState(benches.job(name, room=CORE))
    run = runs.Run(job.steps[0].tasks[0], worker, 1, phase)
    worker.add(run)
    return run


def _place(
    worker: workers.Worker, **step: object
) -> list[placements.Placement]:
    job = tasks.JobState(benches.job('new', **{'room': CORE, **step}))
    reserved = reservations.Reservations({'photo': [worker]}, now_s=0)
    return placing.StepPlacer(job.steps[0], reserved, None).place()


def _cluster() -> cluster_state.ClusterState:
    return cluster_state.ClusterState(
        cluster_state.Dependencies(
            clocks.ManualClock(),
            persistence.ProgressWriter(
                benches.Bench().store, persistence.Term('a', 1)
            ),
            benches.decision_log(),
            cluster_state.Bounds(lease_s=2, stop_s=0.1),
        ),
        benches.CATALOG,
    )


def _resize(bench: benches.Bench, processors_m: int) -> None:
    """Register another capacity of the same boot of a worker."""
    room = model.Room(processors_m=processors_m)
    entry = dataclasses.replace(bench.entries_by_id['w1'], room=room)
    bench.add_entry(entry)


load_tests = functions.loader(__name__, {'bench': benches.bench})
