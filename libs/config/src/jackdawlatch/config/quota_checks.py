"""Checks of the quotas of teams against sample jobs."""

from collections.abc import Callable, Iterable, Iterator

from jackdawlatch.config import findings
from jackdawlatch.jobs import model
from jackdawlatch.model import presets, teams

MILLICORES_PER_CORE = 1000


def check(
    section: str, declared: Iterable[teams.Team], jobs: Iterable[model.Job]
) -> Iterator[findings.Finding]:
    """Yield each quota that is below a task of the sample jobs.

    A job without a team stands for jobs of every team.
    """
    samples = tuple(jobs)
    for index, team in enumerate(declared):
        steps = [
            (job, step)
            for job in samples
            for step in job.steps
            if job.team in {'', team.name}
        ]
        for job, step in steps:
            exceeded = _exceeded(team.quota, step)
            if exceeded:
                yield exceeded(
                    f'{section}[{index}]',
                    f'the quota of {team.name!r} is below a step of '
                    f'queue {job.queue!r}: {_describe(step)}',
                )


def _exceeded(
    quota: presets.Quota, step: model.Step
) -> Callable[[str, str], findings.Finding] | None:
    """Return the severity of a quota that is below the needs of a step.

    A larger task runs while its team runs nothing else, but a gang has to
    start as a whole.
    """
    if not _fits(quota, step, 1):
        return findings.error if _is_gang(step) else findings.warning
    if _is_gang(step) and not _fits(quota, step, step.count):
        return findings.error
    return None


def _is_gang(step: model.Step) -> bool:
    return step.gang and step.count > 1


def _fits(quota: presets.Quota, step: model.Step, count: int) -> bool:
    room = step.room
    return (
        count * room.processors_m <= quota.processors * MILLICORES_PER_CORE
        and count * room.memory_mb <= quota.memory_mb
        and count * room.accelerators <= quota.accelerators
    )


def _describe(step: model.Step) -> str:
    room = step.room
    tasks = f'a gang of {step.count} tasks' if _is_gang(step) else 'a task'
    return (
        f'{tasks} of {room.processors_m / MILLICORES_PER_CORE:g} processors, '
        f'{room.memory_mb} MB, {room.accelerators} accelerators'
    )
