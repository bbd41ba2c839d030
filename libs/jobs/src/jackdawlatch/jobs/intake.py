"""Accepts jobs from callers and returns their state, using only the store.

A submission writes the job's key if it is absent.  If it is present, an earlier
copy of the same submission has written it, so any entry may answer a resent
submission and the job exists only once.
"""

import dataclasses
from typing import ClassVar

import msgspec
from absl import logging
from returns import result

from jackdawlatch.jobs import model, queues, refusals, stored
from jackdawlatch.model import clocks, failures, records
from jackdawlatch.store import keyvalue, monitored, transactions
from jackdawlatch.telemetry import decisions, meters

# The store documents answers in milliseconds; a slow one takes about 0.25 s.
RETRY_AFTER_S = 1
BEARER = 'bearer'


class NotAccepted(failures.NotRun, frozen=True, kw_only=True):
    """The store refused the write: the job is not stored and never runs."""

    code: ClassVar[str] = 'job-not-accepted'


_STORE_UNAVAILABLE = NotAccepted(
    message='the store does not answer', retry_after_s=RETRY_AFTER_S
)


class OutcomeUnknown(failures.OutcomeUnknown, frozen=True, kw_only=True):
    """The write may take effect; the caller has to resend the job."""

    code: ClassVar[str] = 'job-outcome-unknown'


class KeyUnknown(failures.Problem, frozen=True, kw_only=True):
    """No team of the configuration in force holds the key of the call."""

    code: ClassVar[str] = 'key-unknown'


_KEY_UNKNOWN = KeyUnknown(message='no team of the configuration holds this key')


class NoSuchJob(failures.Problem, frozen=True, kw_only=True):
    """No job with this id was accepted, or it was removed after its end."""

    code: ClassVar[str] = 'job-unknown'


Failure = NotAccepted | OutcomeUnknown | KeyUnknown | NoSuchJob


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """What the intake works with."""

    store: monitored.MonitoredStore
    clock: clocks.Clock
    log: decisions.DecisionLog
    meters: meters.Meters


class Intake:
    """Answers callers; ``catalog`` is replaced with each configuration version.

    ``in_flight`` counts the requests that were received and not answered yet.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self.catalog = queues.Catalog()
        self.pending_by_queue: dict[str, int] = {}
        self.draining = False
        self.in_flight = 0
        self._dependencies = dependencies
        self._refusals = refusals.Refusals(
            dependencies.log, dependencies.meters
        )

    def authorize(
        self, queue: queues.Queue, header: str, request_id: str
    ) -> result.Result[str, KeyUnknown | NotAccepted]:
        """Return the team that calls a queue, '' if the call needs no key.

        ``header`` is the call's Authorization header, which contains the key.
        """
        if queue.open or not self.catalog.requires_keys:
            return result.Success('')
        scheme, _, key = header.partition(' ')
        team = self.catalog.team_of_key(key.strip())
        if team is not None and scheme.lower() == BEARER:
            return result.Success(team.name)
        refusal: KeyUnknown | NotAccepted = _KEY_UNKNOWN
        if not self._dependencies.store.answering:
            # A newer configuration may hold the key.
            refusal = _STORE_UNAVAILABLE
        self._refusals.note_key(
            request_id, queue.name, self.catalog.version, refusal.code
        )
        return result.Failure(refusal)

    async def submit(
        self, job: model.Job, request_id: str
    ) -> result.Result[None, NotAccepted | OutcomeUnknown]:
        """Store a checked job; a success means that it is stored."""
        stamped = records.replace(
            job,
            accepted_s=self._dependencies.clock.wall_s(),
            version=self.catalog.version,
        )
        outcome = await self._write(
            transactions.Transaction(
                conditions=(
                    transactions.Condition(
                        key=f'{stored.JOBS_PREFIX}{job.id}',
                        revision=keyvalue.ABSENT,
                    ),
                ),
                puts=(
                    transactions.Put(
                        key=f'{stored.JOBS_PREFIX}{job.id}',
                        content=records.pack(stamped),
                    ),
                ),
            )
        )
        self._note('submit', job.id, request_id, outcome, job.team)
        failure = outcome.swap().value_or(None)
        if isinstance(failure, NotAccepted):
            self._refusals.count(job.team, failure.code)
        return outcome

    async def cancel(
        self, job_id: str, request_id: str
    ) -> result.Result[None, Failure]:
        """Store a request to cancel an accepted job."""
        found = await self._get(f'{stored.JOBS_PREFIX}{job_id}')
        if isinstance(found, result.Failure):
            return found
        if found.unwrap() is None:
            return result.Failure(NoSuchJob(message=job_id))
        request = stored.Cancel(asked_s=self._dependencies.clock.wall_s())
        outcome = await self._write(
            transactions.Transaction(
                puts=(
                    transactions.Put(
                        key=f'{stored.CANCELS_PREFIX}{job_id}',
                        content=records.encode(request),
                    ),
                ),
            )
        )
        self._note('cancel', job_id, request_id, outcome)
        return outcome

    async def phase(
        self, job_id: str
    ) -> result.Result[stored.JobPhase, Failure]:
        """Return the phase of a job."""
        found = await self._get(f'{stored.PROGRESS_PREFIX}{job_id}')
        if isinstance(found, result.Failure):
            return found
        entry = found.unwrap()
        if entry is not None:
            return _phase_of(entry)
        accepted = await self._get(f'{stored.JOBS_PREFIX}{job_id}')
        if isinstance(accepted, result.Failure):
            return accepted
        if accepted.unwrap() is None:
            return result.Failure(NoSuchJob(message=job_id))
        return result.Success(stored.JobPhase.QUEUED)

    def pending(self, queue: queues.Queue) -> int:
        """Return the last known number of jobs of a queue not yet begun."""
        return self.pending_by_queue.get(queue.name, 0)

    async def _get(
        self, key: str
    ) -> result.Result[keyvalue.Entry | None, NotAccepted]:
        if not self._dependencies.store.answering:
            return result.Failure(_STORE_UNAVAILABLE)
        found = await self._dependencies.store.get(key)
        return found.alt(_not_accepted)

    async def _write(
        self, transaction: transactions.Transaction
    ) -> result.Result[None, NotAccepted | OutcomeUnknown]:
        written = await self._attempt(transaction)
        uncertain = isinstance(written.swap().value_or(None), OutcomeUnknown)
        if uncertain and self._dependencies.store.answering:
            # If the first write took effect, the second one finds its key.
            again = await self._attempt(transaction)
            if isinstance(again, result.Success):
                return again
        return written

    async def _attempt(
        self, transaction: transactions.Transaction
    ) -> result.Result[None, NotAccepted | OutcomeUnknown]:
        if not self._dependencies.store.answering:
            return result.Failure(_STORE_UNAVAILABLE)
        written = await self._dependencies.store.commit(transaction)
        if isinstance(written, result.Success):
            return result.Success(None)
        failure = written.failure()
        if isinstance(failure, keyvalue.Conflict):
            return result.Success(None)
        if isinstance(failure, keyvalue.Uncertain):
            return result.Failure(OutcomeUnknown(message=failure.message))
        return result.Failure(_not_accepted(failure))

    def _note(
        self,
        name: str,
        job_id: str,
        request_id: str,
        outcome: result.Result[None, Failure],
        team: str = '',
    ) -> None:
        outcome_text = 'stored'
        if isinstance(outcome, result.Failure):
            outcome_text = outcome.failure().line()
        self._dependencies.log.note(
            name,
            request=request_id,
            job=job_id,
            team=team,
            version=self.catalog.version,
            outcome=outcome_text,
        )


def _phase_of(
    entry: keyvalue.Entry,
) -> result.Result[stored.JobPhase, Failure]:
    try:
        progress = records.decode(entry.value, stored.Progress)
    except msgspec.DecodeError as error:
        logging.error('progress record %s is malformed: %s', entry.key, error)
        return result.Failure(
            NotAccepted(message=str(error), retry_after_s=RETRY_AFTER_S)
        )
    return result.Success(progress.phase)


def _not_accepted(failure: failures.Problem) -> NotAccepted:
    return NotAccepted(message=failure.message, retry_after_s=RETRY_AFTER_S)
