"""Machines that waiting steps with a spread get, or take from others."""

import test_scheduler_pools as pool_tests

from jackdawlatch.jobs import model
from jackdawlatch.model import records
from jackdawlatch.scheduler import reports, worker_registry
from jackdawlatch.testing import functions

STANDBY = tuple(
    reports.Machine(f'm-spare{number}', 'spare', available=True)
    for number in range(20)
)


async def test_standby_is_never_listed_for_a_wide_step(bench):
    """A new leader knows few machines; the standby ones are not among them."""
    bench.machines.listed = STANDBY
    bench.add_workers('photo', 3)
    bench.add_workers('desk', 2)
    bench.submit_lasting('spread', 'photos', count=9, max_per_worker=1)
    for number in range(3):
        bench.start('spread', f'photo{number}', 1)
    await bench.rounds(pool_tests.ALLOWED_WAIT_S)
    assert len(_moved_to(bench, 'photo')) == 6


async def test_machines_too_small_for_a_step_are_moved(bench):
    """Only a machine with runs is large enough for its tasks."""
    bench.add_workers('photo', 2)
    bench.add_workers('desk', 9)
    _resize(bench, 'desk0', processors_m=16000)
    bench.submit_lasting('holding', 'letters', count=1)
    bench.start('holding', 'desk0', 1)
    _submit_large(bench)
    for _ in range(10):
        await bench.rounds(pool_tests.MIGRATION_S)
        _arrive(bench)
    assert not _moved_to(bench, 'photo')


async def test_large_machine_is_moved_after_small_ones(bench):
    bench.add_workers('photo', 2)
    bench.add_workers('desk', 9)
    _resize(bench, 'desk8', processors_m=16000)
    _submit_large(bench)
    await bench.rounds(1)
    assert bench.machines.moves == [('m-desk8', 'photo')]


async def test_small_step_waits_for_a_large_machine(bench):
    """Together they would fit on a machine in use."""
    bench.add_workers('photo', 2)
    bench.add_workers('desk', 9)
    _resize(bench, 'desk0', processors_m=16000)
    bench.submit_lasting('holding', 'letters', count=1)
    bench.start('holding', 'desk0', 1)
    _submit_large(bench)
    bench.submit_lasting('small', 'photos', count=3, max_per_worker=1)
    for number in range(2):
        bench.start('small', f'photo{number}', 1)
    for _ in range(4):
        await bench.rounds(pool_tests.MIGRATION_S)
        _arrive(bench)
    assert len(_moved_to(bench, 'photo')) == 1


async def test_small_machine_on_standby_is_moved_twice(bench):
    bench.machines.listed = STANDBY[:3]
    bench.add_workers('photo', 2)
    bench.add_workers('desk', 3)
    _resize(bench, 'desk0', processors_m=16000)
    bench.submit_lasting('holding', 'letters', count=1)
    bench.start('holding', 'desk0', 1)
    _submit_large(bench)
    for _ in range(20):
        await bench.rounds(pool_tests.MIGRATION_S)
        _arrive(bench)
    moved = _moved_to(bench, 'photo')
    assert sorted(moved) == [machine.id for machine in STANDBY[:3]]


async def test_steps_that_share_workers_get_separate_ones(bench):
    bench.add_workers('photo', 2)
    bench.add_workers('desk', 16)
    for job_id in ('first', 'second', 'third'):
        bench.submit_lasting(job_id, 'photos', count=6, max_per_worker=1)
        for number in range(2):
            bench.start(job_id, f'photo{number}', 1)
    await bench.rounds(1)
    # Seven by capacity, with the reserve for tasks of different sizes.
    assert len(_moved_to(bench, 'photo')) <= 5


async def test_new_leader_repeats_moves_in_transit(bench):
    """The platform lists the machines that are moving, and where to."""
    bench.add_workers('photo', 3)
    bench.add_workers('desk', 12)
    bench.submit_lasting('spread', 'photos', count=7, max_per_worker=1)
    for number in range(3):
        bench.start('spread', f'photo{number}', 1)
    await bench.rounds(1)
    assert len(_moved_to(bench, 'photo')) == 4
    bench.machines.listed = tuple(
        reports.Machine(machine, service, available=False, moving=True)
        for machine, service in bench.machines.moves
    )
    bench.pools = bench.new_pools()
    await bench.rounds(1)
    assert len(_moved_to(bench, 'photo')) == 4


def _moved_to(bench: pool_tests.Bench, service: str) -> list[str]:
    return [
        machine for machine, target in bench.machines.moves if target == service
    ]


def _resize(bench: pool_tests.Bench, name: str, processors_m: int) -> None:
    entry = bench.cluster.workers_by_id[name].entry
    bench.cluster.workers_by_id[name].update(
        reports.WorkerEntry(
            id=name,
            born_ms=entry.born_ms,
            address=name,
            service=entry.service,
            zone=entry.zone,
            machine=entry.machine,
            room=records.replace(entry.room, processors_m=processors_m),
        )
    )


def _submit_large(bench: pool_tests.Bench) -> None:
    """Accept a lasting task that is too large for most machines."""
    bench.submit_lasting('large', 'photos', count=1)
    large = bench.cluster.jobs_by_id['large']
    state = large.steps[0]
    state.step = records.replace(state.step, room=model.Room(processors_m=8000))


def _arrive(bench: pool_tests.Bench) -> None:
    """Register the workers of the machines that have moved."""
    for machine, service in bench.machines.moves:
        name = f'{machine}-{service}'
        worker = worker_registry.WorkerRegistry(bench.cluster).register(
            reports.WorkerEntry(
                id=name,
                born_ms=2,
                address=name,
                service=service,
                zone='z',
                machine=machine,
                room=model.Room(processors_m=4000, memory_mb=4000),
            )
        )
        worker.reachable = True


load_tests = functions.loader(__name__, {'bench': pool_tests.bench})
