"""Jobs that can be in time avoid workers whose tasks take much longer."""

import contextlib

import scheduler_fleets as fleets

from jackdawlatch.scheduler import (
    job_order,
    lateness,
    planner,
    reports,
    round_times,
    workers,
)
from jackdawlatch.testing import functions

POLL_S = 0.5
FAST_PERCENT = 20
SLOW_PERCENT = 4
POLLS = 3
FAST_COUNT = 2
LATE_S = 600.0


class Fleet(fleets.Fleet):
    """Two workers of a service, of which the fuller one is slow."""

    def __init__(self) -> None:
        super().__init__()
        self.fast, self.slow = self.boot('fast'), self.boot('slow')
        judged = lateness.Lateness()
        self._planner = planner.Planner(
            job_order.ObjectiveOrder(judged), judged, None
        )

    def slow_down(self, **step: object) -> None:
        """Run a step on both workers, slowly on one."""
        self.add_job('wide', count=5, **step)
        job = self.cluster.jobs_by_id['wide']
        for index, task in enumerate(job.steps[0].tasks):
            self.start(task, self.fast if index < FAST_COUNT else self.slow)
        for poll in range(1, 1 + POLLS):
            self.clock.advance(POLL_S)
            self.poll(self.fast, poll * FAST_PERCENT)
            self.poll(self.slow, poll * SLOW_PERCENT)

    def poll(self, worker: workers.Worker, percent: int) -> None:
        """Report the same progress for all runs of a worker."""
        now_s = self.clock.monotonic_s()
        running = tuple(
            reports.RunReport(run.run_id, '', percent)
            for run in worker.runs_by_task.values()
        )
        status = reports.WorkerStatus(now_s, worker.entry.born_ms, running, ())
        self.reconciler.reconcile(worker, status, now_s)

    def place(self) -> list[str]:
        """Return the workers that a round places tasks on."""
        now_s = self.clock.monotonic_s()
        plan = self._planner.plan(
            self.cluster.jobs_by_id.values(),
            {'photo': [self.fast, self.slow]},
            round_times.RoundTime(now_s, now_s),
        )
        return [one.worker.entry.id for one in plan.placements]


@contextlib.contextmanager
def fleet():
    """Yield two workers without runs."""
    yield Fleet()


def test_job_in_time_takes_a_slow_worker_last(fleet):
    fleet.slow_down()
    fleet.add_job('next', count=3, estimate_s=1)
    assert fleet.place() == ['fast', 'fast', 'slow']


def test_late_job_leaves_fast_workers_to_others(fleet):
    fleet.slow_down()
    fleet.add_job('next', estimate_s=1)
    fleet.cluster.jobs_by_id['next'].accepted_s -= LATE_S
    assert fleet.place() == ['slow']


def test_lasting_task_avoids_a_slow_worker(fleet):
    fleet.slow_down()
    fleet.add_job('next', lasting=True)
    assert fleet.place() == ['fast']


def test_recovered_worker_is_used_at_once(fleet):
    fleet.slow_down()
    for _ in range(POLLS):
        fleet.clock.advance(POLL_S)
        fleet.poll(fleet.slow, 3 * FAST_PERCENT)
    fleet.clock.advance(POLL_S)
    fleet.poll(fleet.slow, 4 * FAST_PERCENT)
    fleet.add_job('next', estimate_s=1)
    assert fleet.place() == ['slow']


def test_slow_worker_that_is_silent_counts_no_more(fleet):
    fleet.slow_down()
    fleet.clock.advance(3)
    fleet.add_job('next', estimate_s=1)
    assert fleet.place() == ['slow']


def test_pace_of_gangs_and_fillers_says_nothing(fleet):
    for number, step in enumerate(({'gang': True}, {'fills': True})):
        fleet.slow_down(**step)
        assert not fleet.slow.health.pace.slow, number
        for run in fleet.cluster.jobs_by_id.pop('wide').runs():
            run.worker.drop(run)


load_tests = functions.loader(__name__, {'fleet': fleet})
