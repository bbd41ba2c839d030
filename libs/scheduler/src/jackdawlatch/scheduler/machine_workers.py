"""The workers of each machine, and whether it may be vacated."""

from collections.abc import Iterable, Sequence

from jackdawlatch.policy import wave_order
from jackdawlatch.scheduler import tasks, workers


def by_machine(
    known: Iterable[workers.Worker],
) -> dict[str, list[workers.Worker]]:
    """Return the workers of each machine that are registered or have runs.

    A worker that cannot reach the store loses its registration, not its runs.
    """
    grouped: dict[str, list[workers.Worker]] = {}
    for worker in known:
        if worker.registered or worker.runs_by_task:
            grouped.setdefault(worker.entry.machine, []).append(worker)
    return grouped


def on_machine(
    machine: str, known: Iterable[workers.Worker]
) -> list[workers.Worker]:
    """Return the workers of one machine, as ``by_machine`` does."""
    return by_machine(
        worker for worker in known if worker.entry.machine == machine
    ).get(machine, [])


def may_vacate(
    held_by: Iterable[workers.Worker], undersupplied: frozenset[str]
) -> bool:
    """Whether a machine is being vacated, or can be spared by its service."""
    return all(
        bool(worker.cordons)
        or not worker.runs_by_task
        or worker.entry.service not in undersupplied
        for worker in held_by
    )


def due_machine(
    name: str, held_by: Sequence[workers.Worker], refused: bool
) -> wave_order.DueMachine:
    """Return a machine that is due for maintenance."""
    return wave_order.DueMachine(
        name,
        run_count=sum(len(worker.runs_by_task) for worker in held_by),
        lasting_count=sum(map(workers.lasting_count, held_by)),
        cordoned=any(
            workers.Cordon.MAINTENANCE in worker.cordons for worker in held_by
        ),
        refused=refused,
    )


def may_stop(task: tasks.Task) -> bool:
    """Whether stopping a lasting task keeps ``max_unavailable`` of its step."""
    step = task.step
    if not step.max_unavailable:
        return True
    state = task.job.step_state(task.id.occurrence, task.id.step)
    others_unavailable = state.unavailable_count() - (not task.serving)
    return others_unavailable < step.max_unavailable
