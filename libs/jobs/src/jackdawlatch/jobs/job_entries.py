"""The entries of one job in the store."""

import msgspec
from absl import logging
from returns import result

from jackdawlatch.jobs import model, stored
from jackdawlatch.model import failures, records
from jackdawlatch.store import keyvalue, transactions


def creation(job: model.Job) -> transactions.Transaction:
    """Return the write of a job's record, if there is none."""
    key = f'{stored.JOBS_PREFIX}{job.id}'
    return transactions.Transaction(
        conditions=(transactions.Condition(key=key, revision=keyvalue.ABSENT),),
        puts=(transactions.Put(key=key, content=records.pack(job)),),
    )


def cancellation(job_id: str, asked_s: float) -> transactions.Transaction:
    """Return the write of a request to cancel a job."""
    return transactions.Transaction(
        puts=(
            transactions.Put(
                key=f'{stored.CANCELS_PREFIX}{job_id}',
                content=records.encode(stored.Cancel(asked_s=asked_s)),
            ),
        ),
    )


def phase(
    entry: keyvalue.Entry,
) -> result.Result[stored.JobPhase, failures.Invalid]:
    """Return the phase in a progress record."""
    try:
        progress = records.decode(entry.value, stored.Progress)
    except msgspec.DecodeError as error:
        logging.error('progress record %s is malformed: %s', entry.key, error)
        return result.Failure(failures.Invalid(message=str(error)))
    return result.Success(progress.phase)
