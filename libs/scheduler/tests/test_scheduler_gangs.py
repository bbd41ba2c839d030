"""What the members of a gang share."""

import dataclasses
from unittest import mock

import scheduler_bench as benches
import scheduler_fleets as fleets

from jackdawlatch.jobs import stored
from jackdawlatch.scheduler import calls, placing, reports, runs, tasks, workers
from jackdawlatch.testing import functions, waiting

MEMBERS = 3
BROKEN = reports.EndKind.BROKEN


def test_members_resume_from_different_checkpoints(fleet):
    """Guards against a gang that never works again after a lost worker."""
    gang = _start_gang(fleet)
    first, *others = (member.run.worker for member in gang.tasks)
    for worker in (first, *others):
        _report(fleet, worker, f'saved-on-{worker.entry.id}')
    fleet.crash(first)
    for worker in others:
        _break(fleet, worker, f'end-on-{worker.entry.id}')
    assert _resumed(fleet, gang) == {f'end-on-{others[-1].entry.id}'}


def test_late_end_of_a_member_takes_work_back(fleet):
    """Guards against a gang that resumes from an earlier attempt's work."""
    gang = _start_gang(fleet)
    first_run = gang.tasks[0].run
    for member in gang.tasks:
        fleet.cluster.release(member.run, 'lease-over')
    _place(fleet, gang)
    _report(fleet, gang.tasks[1].run.worker, 'second-attempt')
    end = reports.EndReport(
        1, first_run.run_id, reports.EndKind.LAPSED, 'first-attempt'
    )
    _reconcile(fleet, first_run.worker, ended=(end,))
    assert gang.tasks[0].checkpoint == 'second-attempt'


def test_record_with_different_checkpoints_is_resumed(fleet):
    """Guards against records of releases that kept one for each member."""
    progress = stored.Progress(
        phase=stored.JobPhase.RUNNING,
        tasks=tuple(
            stored.TaskProgress(0, 0, index, 1, checkpoint=f'saved-{index}')
            for index in range(MEMBERS)
        ),
    )
    fleet.loader.add(benches.job(count=MEMBERS, gang=True), progress, 1)
    job = fleet.cluster.jobs_by_id['a']
    _boot_workers(fleet)
    resumed = _resumed(fleet, job.steps[0])
    assert len(resumed) == 1
    assert resumed <= {task.checkpoint for task in progress.tasks}


def test_tasks_of_other_steps_share_no_checkpoint(fleet):
    task = fleet.add_job(count=2)
    task.state.checkpoints.record(calls.RunId(task.id, 1), 'saved')
    assert [one.checkpoint for one in task.state.tasks] == ['saved', '']


async def test_refused_member_leaves_the_others_waiting(bench):
    """Guards against members that wait for one that was not started."""
    refusing, other = bench.add_worker('w1'), bench.add_worker('w2')
    bench.submit(benches.job(count=2, gang=True, max_per_worker=1))
    refusal = mock.patch.object(
        refusing, 'start', return_value=calls.Refusal.NO_ROOM
    )
    with refusal:
        async with bench.lead():
            await waiting.until(lambda: other.started_runs)
            await waiting.until(lambda: not other.running)


async def test_gang_is_started_beside_a_closed_worker(bench):
    """Guards against a gang of which one member can't be started any more."""
    draining, other = bench.add_worker('w1'), bench.add_worker('w2')
    bench.submit(benches.job(count=2, gang=True, max_per_worker=1))
    async with bench.lead() as leader:
        by_id = leader.cluster.workers_by_id
        members: list[tasks.Task] = []

        async def drain() -> None:
            """Let a worker announce its departure while runs are stored."""
            if by_id['w1'].runs_by_task and not members:
                job = leader.cluster.jobs_by_id['a']
                members.extend(job.steps[0].tasks)
                bench.add_entry(
                    dataclasses.replace(draining.entry, draining=True)
                )
                await waiting.until(lambda: by_id['w1'].entry.draining)

        bench.store.before_put = drain
        await waiting.until(lambda: members)
        await waiting.until(
            lambda: all(
                member.phase is tasks.TaskPhase.WAITING for member in members
            )
        )
    assert not other.started_runs


def _start_gang(fleet: fleets.Fleet) -> tasks.StepState:
    gang = fleet.add_job(count=MEMBERS, gang=True, max_per_worker=1).state
    _boot_workers(fleet)
    _place(fleet, gang)
    return gang


def _boot_workers(fleet: fleets.Fleet) -> None:
    for number in range(MEMBERS):
        fleet.boot(f'w{number}')


def _place(fleet: fleets.Fleet, gang: tasks.StepState) -> None:
    pool = fleet.cluster.workers_by_id.values()
    for placed in placing.StepPlacer(gang, fleet.reserve(*pool), None).place():
        fleet.cluster.assign(
            placed.task, placed.worker, placed.attempt, runs.RunPhase.WRITING
        ).phase = runs.RunPhase.RUNNING


def _resumed(fleet: fleets.Fleet, gang: tasks.StepState) -> set[str]:
    """Start a gang whose members all wait; return what they resume from."""
    _place(fleet, gang)
    assert all(member.run for member in gang.tasks)
    return {member.run.checkpoint for member in gang.tasks}


def _report(
    fleet: fleets.Fleet, worker: workers.Worker, checkpoint: str
) -> None:
    """Report that every run of a worker has saved its work."""
    running = tuple(
        reports.RunReport(run.run_id, checkpoint, percent=1)
        for run in worker.runs_by_task.values()
    )
    _reconcile(fleet, worker, running)


def _break(
    fleet: fleets.Fleet, worker: workers.Worker, checkpoint: str
) -> None:
    """Report that every run has ended, since another member did."""
    ended = tuple(
        reports.EndReport(number, run.run_id, BROKEN, checkpoint)
        for number, run in enumerate(worker.runs_by_task.values(), 1)
    )
    _reconcile(fleet, worker, ended=ended)


def _reconcile(
    fleet: fleets.Fleet,
    worker: workers.Worker,
    running: tuple[reports.RunReport, ...] = (),
    ended: tuple[reports.EndReport, ...] = (),
) -> None:
    fleet.clock.advance(0.1)
    status = reports.WorkerStatus(
        0, worker.entry.born_ms, running=running, ended=ended
    )
    fleet.reconciler.reconcile(worker, status, fleet.clock.monotonic_s())


load_tests = functions.loader(
    __name__, {'bench': benches.bench, 'fleet': fleets.fleet}
)
