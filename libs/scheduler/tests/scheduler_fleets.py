"""A cluster state without a leader, for tests of what it records."""

import contextlib

import scheduler_bench as benches

from jackdawlatch.jobs import model, queues
from jackdawlatch.model import clocks
from jackdawlatch.scheduler import (
    cluster_state,
    job_loader,
    lateness,
    persistence,
    reconciliation,
    reports,
    reservations,
    runs,
    tasks,
    worker_registry,
    workers,
)

LONGEST_LEASE_S = 2.0


class Fleet:
    """A cluster state without a leader, whose workers crash on request."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock(start_s=100)
        self.cluster = cluster_state.ClusterState(
            cluster_state.Dependencies(
                self.clock,
                persistence.ProgressWriter(
                    benches.Bench().store, persistence.Term('a', 1)
                ),
                benches.decision_log(),
                cluster_state.Bounds(LONGEST_LEASE_S, stop_s=0.1),
            ),
            queues.Catalog(1, (benches.QUEUE,)),
        )
        self.registry = worker_registry.WorkerRegistry(self.cluster)
        self.loader = job_loader.JobLoader(self.cluster)
        self.reconciler = reconciliation.Reconciler(
            self.cluster, lateness.Lateness()
        )
        self.born_ms = 1

    def add_job(self, job_id: str = 'a', **step: object) -> tasks.Task:
        """Add a job; return its first task."""
        self.loader.add(benches.job(job_id, **step), None, 0)
        job = self.cluster.jobs_by_id[job_id]
        return job.steps[0].tasks[0]

    def boot(
        self, name: str, machine: str = '', answers: bool = True
    ) -> workers.Worker:
        """Register a later boot of a worker, or of another on its machine."""
        self.born_ms += 1
        worker = self.registry.register(
            reports.WorkerEntry(
                id=name,
                born_ms=self.born_ms,
                address=name,
                service='photo',
                zone='z',
                machine=machine or f'm-{name}',
                room=model.Room(processors_m=4000, memory_mb=4000),
            )
        )
        if answers:
            now_s = self.clock.monotonic_s()
            worker.reachable = True
            worker.last_poll_s = now_s
            worker.lease.record_answer(LONGEST_LEASE_S, now_s)
        return worker

    def start(
        self,
        task: tasks.Task,
        worker: workers.Worker,
        phase: runs.RunPhase = runs.RunPhase.RUNNING,
    ) -> runs.Run:
        """Start the next attempt at a task; a poll lists a running one."""
        attempt = task.attempt + 1
        worker.lease.extend(workers.LEASE_S, self.clock.monotonic_s())
        run = self.cluster.assign(task, worker, attempt, phase)
        if phase is runs.RunPhase.RUNNING:
            run.update(
                reports.RunReport(run.run_id, '', 0), self.clock.monotonic_s()
            )
        return run

    def reserve(self, *pool: workers.Worker) -> reservations.Reservations:
        """Return the free capacity of the workers of the service."""
        return reservations.Reservations(
            {'photo': list(pool)}, self.clock.monotonic_s()
        )

    def lose(self, *lost: workers.Worker) -> None:
        """Let workers stop answering."""
        for worker in lost:
            worker.reachable = False
            worker.health.lost_s = self.clock.monotonic_s()

    def crash(self, worker: workers.Worker, after_s: float = 0.01) -> None:
        """Lose a worker and boot it again three seconds later."""
        self.clock.advance(after_s)
        self.lose(worker)
        self.clock.advance(3)
        self.boot(worker.entry.id)

    def crash_soon(self, name: str, task: tasks.Task, times: int) -> None:
        """Crash a worker just after a start, and boot it again at once."""
        for _ in range(times):
            self.start(task, self.boot(name))
            self.clock.advance(0.1)
            self.lose(self.cluster.workers_by_id[name])
            self.clock.advance(0.1)
            self.boot(name)

    def crash_under(self, task: tasks.Task, times: int) -> None:
        """Start a task ``times`` times on a worker that then crashes."""
        for _ in range(times):
            self.start(task, self.boot('w'))
            self.crash(self.cluster.workers_by_id['w'])


@contextlib.contextmanager
def fleet():
    """Yield an empty cluster."""
    yield Fleet()
