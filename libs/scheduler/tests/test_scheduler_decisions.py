"""Placement, ordering, demand and pacing decisions, without a leader."""

import asyncio
import dataclasses

import scheduler_bench as benches

from jackdawlatch.jobs import model, queues, stored
from jackdawlatch.model import clocks, records
from jackdawlatch.scheduler import (
    advisor,
    cluster_state,
    demand,
    job_loader,
    job_order,
    lateness,
    observers,
    pacing,
    persistence,
    placing,
    reports,
    reservations,
    round_times,
    runs,
    tasks,
    workers,
)
from jackdawlatch.scheduler import placements as step_placements
from jackdawlatch.scheduler import planner as planners
from jackdawlatch.store import keyvalue
from jackdawlatch.testing import functions

QUEUE = queues.Queue('q', 'h', '/q/', 's', slack_factor=2, target_s=1)
CORE = model.Room(processors_m=1000)


def test_step_is_packed_on_the_fullest_worker():
    fleet = [_worker('w1'), _worker('w2', cores=2)]
    placed = _place(_job(model.Step(count=2, room=CORE)), fleet)
    assert [one.worker.entry.id for one in placed] == ['w2', 'w2']


def test_no_worker_holds_more_of_a_step_than_allowed():
    fleet = [_worker('w1'), _worker('w2')]
    placed = _place(
        _job(model.Step(count=4, room=CORE, max_per_worker=1)), fleet
    )
    assert sorted(one.worker.entry.id for one in placed) == ['w1', 'w2']


def test_data_rack_is_preferred_and_label_is_required():
    near, far = _worker('w1', rack='r2'), _worker('w2', cores=1)
    step = model.Step(count=1, room=CORE, data_rack='r2')
    assert _place(_job(step), [near, far])[0].worker is near
    labelled = model.Step(count=1, room=CORE, required_label='gpu')
    assert not _place(_job(labelled), [near, far])


def test_same_rack_step_stays_in_one_rack():
    fleet = [
        _worker('w1', cores=2),
        _worker('w2', rack='r2'),
        _worker('w3', rack='r2'),
    ]
    step = model.Step(count=6, room=CORE, same_rack=True, gang=True)
    placed = _place(_job(step), fleet)
    assert len(placed) == 6
    assert {one.worker.entry.rack for one in placed} == {'r2'}


def test_unusable_workers_get_no_tasks():
    fleet = [_worker('w1') for _ in range(4)]
    fleet[0].reachable = False
    fleet[1].registered = False
    fleet[2].cordons.add(workers.Cordon.MAINTENANCE)
    fleet[3].cordons.add(workers.Cordon.MOVE)
    for worker in fleet:
        assert not _place(_job(model.Step(count=1, room=CORE)), [worker])


def test_filler_task_reserves_no_processors():
    worker = _worker('w1', cores=1)
    step = model.Step(count=3, room=CORE, fills=True)
    assert len(_place(_job(step), [worker])) == 3


def test_job_in_time_is_placed_before_a_late_one():
    order = job_order.ObjectiveOrder(lateness.Lateness())
    now = round_times.RoundTime(monotonic_s=100, wall_s=100)
    short = model.Step(count=1, room=CORE, estimate_s=1)
    late, fresh = _job(short), _job(short, short, accepted_s=99.5)
    assert order.key(fresh, now) < order.key(late, now)


def test_running_step_does_not_make_its_job_late():
    job = _job(model.Step(count=2, room=CORE, estimate_s=3))
    fleet = [_worker('w1')]
    for placed in _place(job, fleet):
        run = runs.Run(placed.task, placed.worker, 1, runs.RunPhase.RUNNING)
        placed.task.run = run
        placed.task.phase = tasks.TaskPhase.PLACED
        placed.task.started_s = 0
    judged = lateness.Lateness()
    # The objective is more than 7 s; an untouched step would need 3 s more.
    for monotonic_s, is_late in ((5, False), (9, True)):
        now = round_times.RoundTime(monotonic_s, wall_s=0)
        assert judged.is_late(job, now) is is_late


def test_step_takes_as_long_as_its_ended_tasks():
    job = _job(model.Step(count=2, room=CORE, estimate_s=1))
    ended = job.steps[0].tasks[0]
    ended.started_s = 0
    judged = lateness.Lateness()
    now = round_times.RoundTime(monotonic_s=4, wall_s=0)
    assert judged.is_late(job, now)
    judged.record_end(ended, now_s=4)
    # Twice the 4 s that the ended task took, and 1 s, are allowed.
    assert not judged.is_late(job, now)


def test_lateness_is_judged_again_after_a_while():
    job = _job(model.Step(count=1, room=CORE, estimate_s=1))
    judged = lateness.Lateness()
    # The objective is twice the expected 1.3 s, and 1 s.
    for monotonic_s, is_late in ((2.2, False), (2.35, False), (2.45, True)):
        now = round_times.RoundTime(monotonic_s, wall_s=0)
        assert judged.is_late(job, now) is is_late


def test_jump_of_the_wall_clock_makes_no_job_late():
    clock = clocks.ManualClock(start_s=100)
    cluster = _cluster(clock)
    observer = observers.JobObserver(job_loader.JobLoader(cluster), {}, clock)
    judged = lateness.Lateness()
    for number, jump_s in enumerate((-7, 7, 0)):
        job = records.replace(
            _job(model.Step(count=1, estimate_s=1)).job,
            id=f'j{number}',
            accepted_s=clock.wall_s() + jump_s,
        )
        observer.change(_entry(job))
        now = round_times.RoundTime(clock.monotonic_s(), clock.wall_s())
        assert not judged.is_late(cluster.jobs_by_id[job.id], now), jump_s


def test_job_read_at_takeover_has_its_recorded_age():
    clock = clocks.ManualClock(start_s=100)
    cluster = _cluster(clock)
    observer = observers.JobObserver(job_loader.JobLoader(cluster), {}, clock)
    template = _job(model.Step(count=1, estimate_s=1)).job
    old, future = (
        records.replace(template, id=name, accepted_s=clock.wall_s() + shift_s)
        for name, shift_s in (('old', -60), ('future', 60))
    )
    observer.reset([_entry(old), _entry(future)])
    now = round_times.RoundTime(clock.monotonic_s(), clock.wall_s())
    judged = lateness.Lateness()
    assert judged.is_late(cluster.jobs_by_id['old'], now)
    assert not judged.is_late(cluster.jobs_by_id['future'], now)


def test_lasting_job_goes_first_then_the_smaller_one():
    order = job_order.ObjectiveOrder(lateness.Lateness())
    now = round_times.RoundTime(monotonic_s=0, wall_s=0)
    small = _job(model.Step(count=1, room=CORE, estimate_s=1))
    large = _job(model.Step(count=9, room=CORE, estimate_s=1))
    lasting = _job(model.Step(count=9, room=CORE, lasting=True))
    assert order.key(small, now) < order.key(large, now)
    assert order.key(lasting, now) < order.key(small, now)


class CountingOrder(job_order.Order):
    """Counts the jobs whose key is needed."""

    def __init__(self) -> None:
        self.count = 0

    def key(
        self, job: tasks.JobState, now: round_times.RoundTime
    ) -> tuple[float, ...]:
        """Return the same key for every job."""
        self.count += 1
        return (0,)


def test_jobs_that_cannot_fit_are_not_ordered():
    order = CountingOrder()
    planner = planners.Planner(order, lateness.Lateness(), None)
    worker = _worker('w1')
    backlog = [_job(model.Step(count=1, room=CORE)) for _ in range(9)]
    now = round_times.RoundTime(monotonic_s=0, wall_s=0)
    for free_cores, ordered in ((0, 0), (2, len(backlog))):
        worker.free = records.replace(
            worker.free, processors_m=free_cores * 1000
        )
        plan = planner.plan(backlog, {'s': [worker]}, now)
        assert len(plan.placements) == free_cores
        assert len(plan.unplaced) == len(backlog) - free_cores
        assert order.count == ordered


class RecordingAdvisor(advisor.Advisor):
    """Records the steps for which tickets are needed, and has none."""

    def __init__(self) -> None:
        self.states: list[tasks.StepState] = []

    def tickets(self, state: tasks.StepState) -> advisor.Tickets:
        """Return no ticket."""
        self.states.append(state)
        return advisor.Tickets({})


def test_tickets_are_requested_in_job_order():
    step_advisor = RecordingAdvisor()
    judged = lateness.Lateness()
    planner = planners.Planner(
        job_order.ObjectiveOrder(judged), judged, step_advisor
    )
    short, lasting = (
        _job(model.Step(count=1, room=CORE, lasting=is_lasting))
        for is_lasting in (False, True)
    )
    for job in (short, lasting):
        job.queue = dataclasses.replace(QUEUE, advised=True)
    now = round_times.RoundTime(monotonic_s=0, wall_s=0)
    planner.plan([short, lasting], {'s': [_worker('w1')]}, now)
    assert step_advisor.states == [lasting.steps[0], short.steps[0]]


def test_demand_counts_the_widest_open_step():
    job = _job(
        model.Step(count=2, room=CORE),
        model.Step(count=8, room=CORE, after=(0,)),
    )
    machine = model.Room(processors_m=4000, memory_mb=4000)
    needs = demand.Needs(machine, lateness.Lateness())
    assert demand.machines_by_service([job], needs) == {'s': 3}
    job.phase = job.phase.CANCELLED
    assert not demand.machines_by_service([job], needs)


def test_known_need_is_counted_again_as_tasks_end():
    """Guards against machines for tasks that are done."""
    job = _job(model.Step(count=8, room=CORE, estimate_s=1))
    needs = demand.Needs(model.Room(processors_m=4000), lateness.Lateness())
    assert needs.machines(job) == 2
    for task in job.steps[0].tasks[:4]:
        job.finish_task(task)
    assert needs.machines(job) == 1
    larger = dataclasses.replace(needs, machine=model.Room(processors_m=8000))
    assert larger.machines(job) == 1 / 2


def test_late_job_waits_while_machines_are_withheld():
    worker = _worker('w1')
    step = model.Step(count=1, room=CORE, estimate_s=1)
    planner = planners.Planner(
        job_order.ObjectiveOrder(lateness.Lateness()),
        lateness.Lateness(),
        None,
    )
    now = round_times.RoundTime(monotonic_s=9, wall_s=9)
    late, fresh = _job(step), _job(step, accepted_s=8)
    for withheld, placed in ((frozenset(), 2), (frozenset(('w1',)), 1)):
        plan = planner.plan([late, fresh], {'s': [worker]}, now, withheld)
        assert len(plan.placements) == placed
        assert plan.placements[0].task.job is fresh


def test_filler_pace_falls_near_target_and_recovers():
    assert pacing.next_pace_percent(100, latency_ratio=1.2) == 0
    assert pacing.next_pace_percent(100, latency_ratio=0.95) == 50
    assert pacing.next_pace_percent(50, latency_ratio=0.8) == 50
    assert pacing.next_pace_percent(90, latency_ratio=0.2) == 100


async def test_wait_for_stored_ends_keeps_a_cancellation():
    for turns in range(5):
        worker = _worker('w1')
        acknowledge = worker.track_end(1)
        waiting = asyncio.create_task(worker.wait_all_stored(9))
        await asyncio.sleep(0.001)
        acknowledge()
        for _ in range(turns):
            await asyncio.sleep(0)
        if waiting.cancel():
            await asyncio.wait((waiting,))
            assert waiting.cancelled(), turns


def test_occurrence_waits_for_its_start_time():
    job = tasks.JobState(
        model.Job(
            id='a',
            queue='q',
            service='s',
            steps=(model.Step(count=1),),
            repeat_count=2,
            start_at_s=10,
            interval_s=5,
        )
    )
    assert [len(job.ready_steps(now_s)) for now_s in (9, 10, 15)] == [0, 1, 2]


def _job(*steps: model.Step, accepted_s: float = 0) -> tasks.JobState:
    state = tasks.JobState(
        model.Job(
            id='a',
            queue='q',
            service='s',
            steps=steps,
        ),
        accepted_s,
    )
    state.queue = QUEUE
    return state


def _cluster(clock: clocks.ManualClock) -> cluster_state.ClusterState:
    return cluster_state.ClusterState(
        cluster_state.Dependencies(
            clock,
            persistence.ProgressWriter(
                benches.Bench().store, persistence.Term('a', 1)
            ),
            benches.decision_log(),
            cluster_state.Bounds(lease_s=2, stop_s=0.1),
        ),
        queues.Catalog(1, (QUEUE,)),
    )


def _entry(job: model.Job) -> keyvalue.Entry:
    return keyvalue.Entry(
        key=f'{stored.JOBS_PREFIX}{job.id}', value=records.pack(job), revision=1
    )


def _worker(name: str, cores: int = 4, rack: str = 'r1') -> workers.Worker:
    worker = workers.Worker(
        reports.WorkerEntry(
            id=name,
            born_ms=1,
            address='',
            service='s',
            zone='z',
            machine=name,
            room=model.Room(processors_m=cores * 1000, memory_mb=4000),
            rack=rack,
        )
    )
    worker.reachable = True
    return worker


def _place(
    job: tasks.JobState, fleet: list[workers.Worker]
) -> list[step_placements.Placement]:
    reserved = reservations.Reservations({'s': fleet}, now_s=0)
    return placing.StepPlacer(job.steps[0], reserved, None).place()


load_tests = functions.loader(__name__)
