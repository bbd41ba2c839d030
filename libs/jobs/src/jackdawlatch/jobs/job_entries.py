"""The entries of one job in the store."""

import msgspec
from absl import logging
from returns import result

from jackdawlatch.jobs import model, stored
from jackdawlatch.model import failures, records
from jackdawlatch.store import keyvalue, transactions


def creation(job: model.Job) -> transactions.Transaction:
    """Return the write of a job's record, if there is none and no cancel."""
    key = job_key(job.id)
    return transactions.Transaction(
        conditions=(_absent(key), _absent(_cancel_key(job.id))),
        puts=(transactions.Put(key=key, content=records.pack(job)),),
    )


def cancellation(job_id: str, asked_s: float) -> transactions.Transaction:
    """Return the write of a request to cancel a job."""
    return transactions.Transaction(puts=(_cancel(job_id, asked_s),))


def early_cancellation(
    job_id: str, asked_s: float, lease: str
) -> transactions.Transaction:
    """Return the write that prevents the creation of a job without a record.

    It lasts as long as its lease.
    """
    return transactions.Transaction(
        conditions=(_absent(job_key(job_id)),),
        puts=(_cancel(job_id, asked_s, lease),),
    )


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return f'{stored.JOBS_PREFIX}{job_id}'


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


def _cancel(job_id: str, asked_s: float, lease: str = '') -> transactions.Put:
    return transactions.Put(
        key=_cancel_key(job_id),
        content=records.encode(stored.Cancel(asked_s=asked_s)),
        lease=lease,
    )


def _cancel_key(job_id: str) -> str:
    return f'{stored.CANCELS_PREFIX}{job_id}'


def _absent(key: str) -> transactions.Condition:
    return transactions.Condition(key=key, revision=keyvalue.ABSENT)
