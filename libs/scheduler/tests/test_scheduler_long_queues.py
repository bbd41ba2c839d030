"""What a planning round does for steps that no worker has room for."""

import scheduler_bench as benches
import scheduler_fleets as fleets

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import (
    job_order,
    lateness,
    planner,
    round_times,
    tasks,
)
from jackdawlatch.testing import functions


class CountingOrder(job_order.Order):
    """Orders jobs as they come, and counts them."""

    def __init__(self) -> None:
        self.count = 0

    def key(
        self, job: tasks.JobState, now: round_times.RoundTime
    ) -> tuple[float, ...]:
        """Return an empty key."""
        self.count += 1
        return ()


def test_steps_without_a_worker_that_fits_are_ordered(fleet):
    # One worker has processors left, the other one memory.
    _fill(fleet, 'w1', model.Room(processors_m=1000, memory_mb=4000))
    _fill(fleet, 'w2', model.Room(processors_m=4000, memory_mb=1000))
    order = CountingOrder()
    need = model.Room(processors_m=2000, memory_mb=2000)
    plan = _plan(fleet, order, need)
    assert not plan.placements
    assert len(plan.unplaced) == 3
    assert not order.count


def test_step_that_fits_one_worker_is_placed(fleet):
    _fill(fleet, 'w1', model.Room(processors_m=1000, memory_mb=4000))
    _fill(fleet, 'w2', model.Room(processors_m=2000, memory_mb=2000))
    need = model.Room(processors_m=2000, memory_mb=2000)
    plan = _plan(fleet, CountingOrder(), need)
    assert [one.worker.entry.id for one in plan.placements] == ['w2']
    assert len(plan.unplaced) == 2


def test_smaller_step_is_placed_behind_a_larger_one(fleet):
    _fill(fleet, 'w1', model.Room(processors_m=3000, memory_mb=3000))
    fleet.add_job('large', room=model.Room(processors_m=2000))
    fleet.add_job('small', room=model.Room(processors_m=1000))
    plan = _plan(fleet, CountingOrder(), model.Room(processors_m=1000))
    placed = [one.task.job.job.id for one in plan.placements]
    assert placed == ['small']
    assert len(plan.unplaced) == 4


def test_count_of_waiting_tasks_follows_their_phases(fleet):
    task = fleet.add_job(count=2)
    state = task.state
    run = fleet.start(task, fleet.boot('w1'))
    assert state.waiting_count == 1
    fleet.cluster.release(run, 'lost')
    assert state.waiting_count == 2
    task.job.finish_task(task)
    task.release()
    assert state.waiting_count == 1


def _fill(fleet: fleets.Fleet, name: str, used: model.Room) -> None:
    worker = fleet.boot(name)
    fleet.start(fleet.add_job(f'on-{name}', room=used), worker)


def _plan(
    fleet: fleets.Fleet, order: job_order.Order, need: model.Room
) -> planner.Plan:
    """Plan with three more jobs of one task each."""
    for name in ('a', 'b', 'c'):
        fleet.add_job(name, room=need)
    now_s = fleet.clock.monotonic_s()
    return planner.Planner(
        order, lateness.Lateness(), benches.FakeAdvice()
    ).plan(
        fleet.cluster.jobs_by_id.values(),
        {'photo': list(fleet.cluster.workers_by_id.values())},
        round_times.RoundTime(now_s, now_s),
    )


load_tests = functions.loader(__name__, {'fleet': fleets.fleet})
