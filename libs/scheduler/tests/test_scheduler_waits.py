"""Long waits are logged with their reason, also beside many other lines."""

import contextlib
import io
import os

import msgspec
import scheduler_bench as benches

from jackdawlatch.jobs import model, queues
from jackdawlatch.model import clocks
from jackdawlatch.scheduler import (
    cluster_state,
    job_loader,
    job_order,
    lateness,
    persistence,
    planner,
    reports,
    round_times,
    waiting,
    worker_registry,
    workers,
)
from jackdawlatch.telemetry import decisions, meters
from jackdawlatch.testing import functions

QUEUE = queues.Queue('photos', 'host', '/photos/', 'photo')
CATALOG = queues.Catalog(1, (QUEUE,), (queues.Service('photo'),))
LINES_PER_FLOOD = 2 * decisions.BURST_LINES


class Bench:
    """A planner without workers, and a decision log on a pipe."""

    def __init__(self, reading: io.TextIOWrapper, log_file: io.TextIOWrapper):
        self._reading = reading
        self.clock = clocks.ManualClock(start_s=100)
        self.log = decisions.DecisionLog(
            'test', self.clock, meters.Meters('test', 'test'), log_file
        )
        self.cluster = cluster_state.ClusterState(
            cluster_state.Dependencies(
                self.clock,
                persistence.ProgressWriter(
                    benches.Bench().store, persistence.Term('a', 1)
                ),
                self.log,
                cluster_state.Bounds(lease_s=2, stop_s=0.1),
            ),
            CATALOG,
        )
        self.reporter = waiting.WaitReporter(self.cluster)
        judged = lateness.Lateness()
        self._planner = planner.Planner(
            job_order.ObjectiveOrder(judged), judged, None
        )

    def submit(self, **step: object) -> None:
        """Accept a job with one step."""
        loader = job_loader.JobLoader(self.cluster)
        loader.add(benches.job(estimate_s=1, **step), None, 0)

    def add_worker(self, cores: int = 1) -> workers.Worker:
        """Register a worker that answers."""
        worker = worker_registry.WorkerRegistry(self.cluster).register(
            reports.WorkerEntry(
                id='w',
                born_ms=1,
                address='w',
                service='photo',
                zone='z',
                machine='m',
                room=model.Room(processors_m=cores * 1000),
            )
        )
        worker.reachable = True
        return worker

    def wait(self, seconds: int, withheld: tuple[str, ...] = ()) -> None:
        """Plan once a second, and place nothing."""
        for _ in range(seconds):
            now = round_times.RoundTime(
                self.clock.monotonic_s(), self.clock.wall_s()
            )
            plan = self._planner.plan(
                self.cluster.jobs_by_id.values(),
                {'photo': list(self.cluster.workers_by_id.values())},
                now,
                withheld,
            )
            self.reporter.report(plan.unplaced)
            self.clock.advance(1)

    def lines(self) -> list[dict[str, object]]:
        """Return the lines written since the last call."""
        with contextlib.suppress(BlockingIOError):
            written = os.read(self._reading.fileno(), 1 << 20)
            return [msgspec.json.decode(line) for line in written.splitlines()]
        return []

    def reasons(self) -> set[object]:
        """Return the reasons of the waits written since the last call."""
        return {
            line['reason']
            for line in self.lines()
            if line['event'] == 'task-waits'
        }


@contextlib.contextmanager
def bench():
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    with os.fdopen(reading) as source, os.fdopen(writing, 'w') as stream:
        yield Bench(source, stream)


def test_rare_event_is_logged_beside_a_flood(bench):
    for number in range(LINES_PER_FLOOD):
        bench.log.note('flood', number=number)
    bench.log.note('rare')
    assert bench.lines()[-1]['event'] == 'rare'
    assert bench.log.dropped


def test_volume_of_one_event_is_limited(bench):
    limit = decisions.BURST_LINES + decisions.RESERVED_BURST_LINES
    for number in range(LINES_PER_FLOOD):
        bench.log.note('flood', number=number)
    assert len(bench.lines()) <= limit


def test_wait_is_logged_with_what_is_missing(bench):
    bench.submit()
    bench.wait(4)
    assert bench.reasons() == {'no-worker'}
    worker = bench.add_worker(cores=0)
    bench.wait(1)
    assert bench.reasons() == {'no-room'}
    worker.health.suspend(bench.clock.monotonic_s() + 9)
    bench.wait(1)
    assert bench.reasons() == {'workers-suspended'}
    worker.cordons.add(workers.Cordon.MOVE)
    bench.wait(1)
    assert bench.reasons() == {'workers-unusable'}


def test_wait_for_a_worker_without_the_step_is_logged(bench):
    bench.submit(count=2, lasting=True, max_per_worker=1)
    bench.add_worker(cores=4)
    bench.wait(4)
    assert bench.reasons() == {'spread'}


def test_wait_of_a_gang_is_logged_as_restricted(bench):
    bench.submit(count=5, gang=True)
    bench.add_worker(cores=4)
    bench.wait(4)
    assert bench.reasons() == {'step-restricted'}


def test_late_job_beside_withheld_worker_is_logged(bench):
    bench.submit()
    bench.add_worker()
    bench.clock.advance(60)
    bench.wait(4, withheld=('m',))
    assert bench.reasons() == {'workers-withheld'}


def test_short_wait_is_not_logged(bench):
    bench.submit()
    bench.wait(2)
    assert not bench.reasons()


load_tests = functions.loader(__name__, {'bench': bench})
