"""Checks of a submitted job; each failure names the field."""

from typing import ClassVar

from returns import result

from jackdawlatch.jobs import model
from jackdawlatch.model import failures

# The platform's documented limit for the text passed to a task.
MAX_SPEC_BYTES = 4000
# Keeps the progress record of a job well below the store's value limit.
MAX_TASKS = 10_000
# About 30 years; sums and products of estimates stay finite.
MAX_ESTIMATE_S = 1e9


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
    room = step.room
    sizes = (room.processors_m, room.memory_mb, room.accelerators)
    limits = (step.max_per_worker, step.max_unavailable)
    unknown = any(before not in range(number) for before in step.after)
    return next(
        (
            expected
            for violated, expected in (
                (step.count < 1, 'a count of 1 or more'),
                (unknown, 'dependencies on earlier steps only'),
                (min(sizes) < 0, 'sizes that are not negative'),
                (
                    abs(step.estimate_s) > MAX_ESTIMATE_S,
                    f'an estimate of at most {MAX_ESTIMATE_S:.0f} s',
                ),
                (min(limits) < 0, 'limits that are not negative'),
            )
            if violated
        ),
        '',
    )


def _invalid(path: str, expected: str) -> Checked:
    return result.Failure(
        JobInvalid(
            message=f'{path}: expected {expected}',
            path=path,
            expected=expected,
        )
    )
