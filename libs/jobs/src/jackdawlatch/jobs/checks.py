"""Checks of a submitted job; each failure names the field."""

from typing import ClassVar

from returns import result

from jackdawlatch.jobs import model
from jackdawlatch.model import failures

# The platform's documented limit for the text passed to a task.
MAX_SPEC_BYTES = 4000
# Keeps the progress record of a job well below the store's value limit.
MAX_TASKS = 10_000


class JobInvalid(failures.Invalid, frozen=True, kw_only=True):
    """The job can't be accepted as it is; it was not stored."""

    code: ClassVar[str] = 'job-invalid'


Checked = result.Result[model.Job, JobInvalid]


def check(job: model.Job) -> Checked:
    """Return the job if it can be accepted."""
    if not job.steps:
        return _invalid('steps', 'at least one step')
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        return _invalid('spec', f'at most {MAX_SPEC_BYTES} bytes')
    tasks = job.occurrences * sum(step.count for step in job.steps)
    if tasks > MAX_TASKS:
        return _invalid('steps', f'at most {MAX_TASKS} tasks')
    for number, step in enumerate(job.steps):
        expected = _violation(number, step)
        if expected:
            return _invalid(f'steps[{number}]', expected)
    return result.Success(job)


def _violation(number: int, step: model.Step) -> str:
    if step.count < 1:
        return 'a count of 1 or more'
    if any(before not in range(number) for before in step.after):
        return 'dependencies on earlier steps only'
    room = step.room
    if min(room.processors_m, room.memory_mb, room.accelerators) < 0:
        return 'sizes that are not negative'
    if min(step.max_per_worker, step.max_unavailable) < 0:
        return 'limits that are not negative'
    return ''


def _invalid(path: str, expected: str) -> Checked:
    return result.Failure(
        JobInvalid(
            message=f'{path}: expected {expected}',
            path=path,
            expected=expected,
        )
    )
