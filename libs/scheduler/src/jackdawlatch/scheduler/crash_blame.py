"""Records which tasks may have crashed the workers that ran them."""

import collections
import math
from collections.abc import Iterable

from jackdawlatch.jobs import stored
from jackdawlatch.policy import crashes
from jackdawlatch.scheduler import cluster_state, runs, tasks, workers

# Workers whose loss is remembered, to recognize those lost together.
MAX_LOSSES = 256
# Such a run was never started, or is being ended.
NOT_BLAMED = frozenset((runs.RunPhase.WRITING, runs.RunPhase.STOPPING))


class CrashBlame:
    """Counts crashes under tasks, and finds those that cause them."""

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        self._cluster = cluster
        self._lost_s_by_boot: collections.OrderedDict[
            tuple[str, int], float
        ] = collections.OrderedDict()

    def blame(
        self, worker: workers.Worker, ended: bool
    ) -> list[tasks.JobState]:
        """Record the loss of a worker under the tasks that it had started.

        ``ended`` tells whether this boot of the worker is known to have ended,
        and was not only cut off.  Return the jobs with a task that is given up
        for it.
        """
        if worker.cordons or worker.entry.draining:
            return []
        self._record_losses(worker)
        lost_s = worker.health.lost_s
        if lost_s is None:
            lost_s = self._cluster.now_s
        started = [
            run
            for run in worker.runs_by_task.values()
            if run.phase not in NOT_BLAMED and run.age_s(lost_s) >= 0
        ]
        last_sent_before_s = min(
            (run.age_s(lost_s) for run in started), default=0
        )
        return [
            run.task.job
            for run in started
            if self._blame(run, lost_s, last_sent_before_s, ended)
        ]

    def give_up(self, jobs: Iterable[tasks.JobState]) -> None:
        """End these jobs as failed, but those that have ended."""
        for job in jobs:
            if not job.ended:
                self._cluster.end_job(job, stored.JobPhase.FAILED)

    def _blame(
        self,
        run: runs.Run,
        lost_s: float,
        last_sent_before_s: float,
        ended: bool,
    ) -> bool:
        """Return whether the task of a run is given up."""
        task = run.task
        inherited = _is_inherited(run)
        lost = crashes.LostRun(
            confirmed_s=run.confirmed_s,
            sent_before_s=math.inf if inherited else run.age_s(lost_s),
            last_sent_before_s=last_sent_before_s,
            # Crashes may have been missed while the leaders changed.
            suspected=task.suspected or (inherited and _was_lost_before(task)),
            lost_workers=sum(
                abs(other_s - lost_s) <= crashes.TOGETHER_S
                for other_s in self._lost_s_by_boot.values()
            ),
        )
        if crashes.survives(lost.confirmed_s):
            task.crash_record.clear()
        if not crashes.is_blamed(lost):
            return False
        task.crash_record.record(
            run.attempt, ended and self._is_proven(run, lost_s)
        )
        count = task.state.crash_count(task)
        proven = task.state.proven_crash_count(task)
        self._cluster.note(
            'crash-under', run, f'{count} in a row, {proven} proven'
        )
        # A lasting task is restarted however it ends.
        return not task.step.lasting and crashes.is_given_up(
            count, proven, self._crashes_to_give_up()
        )

    def _crashes_to_give_up(self) -> int:
        since_s = self._cluster.now_s - crashes.RATE_PERIOD_S
        recent = sum(
            lost_s > since_s for lost_s in self._lost_s_by_boot.values()
        )
        return crashes.crashes_to_give_up(
            recent, len(self._cluster.workers_by_id)
        )

    def _is_proven(self, run: runs.Run, lost_s: float) -> bool:
        """Whether a worker that has ended crashed under a run.

        A run that is not located may be on its next boot.  If the loss was
        noticed late, the worker may have been cut off before.
        After the end of its lease the run may have ended before the worker.
        """
        return (
            run.located
            and run.phase is runs.RunPhase.RUNNING
            and not crashes.survives(run.age_s(lost_s))
            and self._cluster.now_s <= run.worker.lease.end_s
        )

    def _record_losses(self, worker: workers.Worker) -> None:
        """Remember when a worker was lost, and others that are still away."""
        for lost in (worker, *self._cluster.workers_by_id.values()):
            lost_s = lost.health.lost_s
            if lost_s is not None and lost.runs_by_task:
                boot = (lost.entry.id, lost.entry.born_ms)
                self._lost_s_by_boot[boot] = lost_s
        while len(self._lost_s_by_boot) > MAX_LOSSES:
            self._lost_s_by_boot.popitem(last=False)


def _is_inherited(run: runs.Run) -> bool:
    """Whether an earlier leader sent the start, and nothing is known since."""
    unsettled = run.phase is runs.RunPhase.UNSETTLED
    return unsettled and run.settled_after_s is not None


def _was_lost_before(task: tasks.Task) -> bool:
    """Whether an earlier attempt ended without having failed."""
    return task.attempt > 1 + len(task.failed_attempts)
