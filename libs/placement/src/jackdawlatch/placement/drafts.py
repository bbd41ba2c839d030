"""Jobs as callers submit them, and the ids that jobs get."""

import hashlib
import uuid
from collections.abc import Iterable
from typing import Annotated, ClassVar

import msgspec
from returns import result

from jackdawlatch.model import failures, hosts, records, work

MAX_COMMAND_CHARACTERS = 4096
MAX_PROCESSORS = 65_536
MAX_MEMORY_MB = 1_073_741_824
MAX_RUN_TIME_S = 31_536_000
ID_BYTES = 16

Processors = Annotated[float, msgspec.Meta(ge=0, le=MAX_PROCESSORS)]
MemoryMb = Annotated[float, msgspec.Meta(ge=0, le=MAX_MEMORY_MB)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_RUN_TIME_S)]
Command = Annotated[str, msgspec.Meta(max_length=MAX_COMMAND_CHARACTERS)]


class Impossible(failures.Invalid, frozen=True, kw_only=True):
    """The job fits no host of its pool, even an empty one."""

    code: ClassVar[str] = 'job-impossible'


class Draft(records.StrictRecord, frozen=True, kw_only=True):
    """A job as a caller declares it; sizes and run time are estimates."""

    service: str
    team: str = 'default'
    urgency: work.Urgency = work.Urgency.NORMAL
    processors: Processors = 1
    memory_mb: MemoryMb = 0
    accelerators: Processors = 0
    run_time_s: Seconds = 0
    command: Command = ''
    idempotent: bool = True


def job_id(team: str, key: str) -> str:
    """Return a digest of team and key, or a random id without a key."""
    if not key:
        return uuid.uuid4().hex
    digest = hashlib.blake2b(digest_size=ID_BYTES)
    digest.update(f'{len(team)}:{team}:{key}'.encode())
    return digest.hexdigest()


def job_of(draft: Draft, team: str, key: str, now_s: float) -> work.Job:
    """Return the queued job of a draft, submitted at ``now_s`` (wall clock)."""
    return work.Job(
        id=job_id(team, key),
        kind=work.Kind(service=draft.service, team=team, urgency=draft.urgency),
        declared=hosts.Capacity(
            processors=draft.processors,
            memory_mb=draft.memory_mb,
            accelerators=draft.accelerators,
        ),
        run_time_s=draft.run_time_s,
        command=draft.command,
        idempotent=draft.idempotent,
        submitted_s=now_s,
    )


def same_request(one: work.Job, other: work.Job) -> bool:
    """Whether two jobs were submitted with the same fields."""
    return _request_fields(one) == _request_fields(other)


def check_fit(
    declared: hosts.Capacity, capacities: Iterable[hosts.Capacity]
) -> result.Result[None, Impossible]:
    """Fail with ``Impossible`` if the job fits no host, even an empty one."""
    fitting = any(fits(declared, capacity) for capacity in capacities)
    if fitting:
        return result.Success(None)
    return result.Failure(
        Impossible(
            message='the job fits no host of its pool',
            hint='declare less, or choose a pool with larger hosts',
            expected='at most the capacity of one host of the pool',
        )
    )


def fits(declared: hosts.Capacity, capacity: hosts.Capacity) -> bool:
    """Whether an empty host of ``capacity`` can hold the declared size."""
    return (
        declared.processors <= capacity.processors
        and declared.memory_mb <= capacity.memory_mb
        and declared.accelerators <= capacity.accelerators
    )


def _request_fields(job: work.Job) -> tuple[object, ...]:
    return (
        job.kind,
        job.declared,
        job.run_time_s,
        job.command,
        job.idempotent,
    )
