"""Records the progress of runs, which shows the workers that are slow."""

from jackdawlatch.scheduler import cluster_state, runs, tasks, workers


def record_report(run: runs.Run, now_s: float) -> None:
    """Record the percentage that a worker has reported for a run."""
    if _is_comparable(run):
        run.worker.health.pace.report(
            run.run_id, run.percent, run.task.state.pace.by_worker, now_s
        )


def record_end(task: tasks.Task, now_s: float) -> None:
    """Record that the current run of a task is done."""
    run = task.run
    if run is None or not _is_comparable(run):
        return
    run_s = None if task.started_s is None else now_s - task.started_s
    run.worker.health.pace.end(
        run.run_id, run_s, task.state.pace.by_worker, now_s
    )


def judge(worker: workers.Worker, cluster: cluster_state.ClusterState) -> None:
    """Judge a worker after each of its answers; log when that changes."""
    pace = worker.health.pace
    slow_before = pace.slow
    if pace.judge(cluster.now_s) != slow_before:
        cluster.dependencies.log.note(
            'worker-recovered' if slow_before else 'worker-slow',
            worker=worker.entry.id,
            born=worker.entry.born_ms,
            service=worker.entry.service,
            runs=len(worker.runs_by_task),
        )


def _is_comparable(run: runs.Run) -> bool:
    """Whether a slow worker, and nothing else, slows down a run.

    Lasting tasks report no progress, a gang progresses with its slowest member,
    and a filler gets what other tasks leave.
    """
    step = run.task.step
    return not (step.lasting or step.gang or step.fills)
