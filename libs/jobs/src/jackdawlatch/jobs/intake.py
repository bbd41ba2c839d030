"""Accepts jobs from callers and returns their state, using only the store.

A submission writes the job's key if it is absent.  If it is present, an earlier
copy of the same submission has written it, so any entry may answer a resent
submission and the job exists only once.
"""

import dataclasses

from returns import result

from jackdawlatch.jobs import (
    early_cancels,
    job_entries,
    load_sightings,
    model,
    outcomes,
    queues,
    refusals,
    stored,
)
from jackdawlatch.model import clocks, records
from jackdawlatch.policy import shedding
from jackdawlatch.store import keyvalue, monitored, transactions
from jackdawlatch.telemetry import decisions, meters

BEARER = 'bearer'


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
    ``load_sightings`` has the forecast by which jobs are refused.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self.catalog = queues.Catalog()
        self.pending_by_queue: dict[str, int] = {}
        self.draining = False
        self.in_flight = 0
        self.load_sightings = load_sightings.LoadSightings(dependencies.clock)
        self._dependencies = dependencies
        self._uncertain_s = -early_cancels.LATE_WRITE_S
        self._early_cancels = early_cancels.EarlyCancels(
            dependencies.store, dependencies.clock
        )
        self._refusals = refusals.Refusals(
            dependencies.log, dependencies.meters
        )

    def authorize(
        self, queue: queues.Queue, header: str, request_id: str
    ) -> result.Result[str, outcomes.KeyUnknown | outcomes.NotAccepted]:
        """Return the team that calls a queue, '' if the call needs no key.

        ``header`` is the call's Authorization header, which contains the key.
        """
        if queue.open or not self.catalog.requires_keys:
            return result.Success('')
        scheme, _, key = header.partition(' ')
        team = self.catalog.team_of_key(key.strip())
        if team is not None and scheme.lower() == BEARER:
            return result.Success(team.name)
        # A newer configuration may hold the key while the store is away.
        refusal = self._refusal() or outcomes.KEY_UNKNOWN
        self._refusals.note_key(
            request_id, queue.name, self.catalog.version, refusal.code
        )
        return result.Failure(refusal)

    async def submit(
        self, job: model.Job, request_id: str
    ) -> outcomes.Submitted:
        """Store a checked job; a success means that it is stored.

        A job whose record is stored already is not refused.
        """
        refusal = self._refusal(job)
        outcome: outcomes.Submitted | None = None
        if refusal is not None:
            outcome = await self._refuse(job, refusal)
        if outcome is None:
            stamped = records.replace(
                job,
                accepted_s=self._dependencies.clock.wall_s(),
                version=self.catalog.version,
            )
            outcome = await self._write(job_entries.creation(stamped))
        self._note('submit', job.id, request_id, outcome, job.team)
        failure = outcome.swap().value_or(None)
        if isinstance(failure, outcomes.NotAccepted):
            self._refusals.count(job.team, failure.code)
        return outcome

    async def cancel(
        self, job_id: str, request_id: str
    ) -> result.Result[None, outcomes.Failure]:
        """Store a request to cancel an accepted job."""
        found = await self._get(job_entries.job_key(job_id))
        if isinstance(found, result.Failure):
            return found
        asked_s = self._dependencies.clock.wall_s()
        outcome: result.Result[None, outcomes.Failure] | None = None
        if found.unwrap() is None:
            written = await self._early_cancels.write(job_id, asked_s)
            outcome = outcomes.of_early_cancel(job_id, written)
        if outcome is None:
            cancellation = job_entries.cancellation(job_id, asked_s)
            outcome = await self._write(cancellation)
        self._note('cancel', job_id, request_id, outcome)
        return outcome

    async def phase(
        self, job_id: str
    ) -> result.Result[stored.JobPhase, outcomes.Failure]:
        """Return the phase of a job."""
        found = await self._get(f'{stored.PROGRESS_PREFIX}{job_id}')
        if isinstance(found, result.Failure):
            return found
        entry = found.unwrap()
        if entry is not None:
            return job_entries.phase(entry).alt(outcomes.not_accepted)
        accepted = await self._get(job_entries.job_key(job_id))
        if isinstance(accepted, result.Failure):
            return accepted
        if accepted.unwrap() is None:
            return result.Failure(outcomes.NoSuchJob(message=job_id))
        return result.Success(stored.JobPhase.QUEUED)

    def pending(self, queue: queues.Queue) -> int:
        """Return the last known number of jobs of a queue not yet begun."""
        return self.pending_by_queue.get(queue.name, 0)

    def _refusal(
        self, job: model.Job | None = None
    ) -> outcomes.NotAccepted | None:
        """Return why a request is refused at once, None if it is not."""
        described = None
        load = self.load_sightings.of_service(job.service) if job else None
        if job is not None and load is not None:
            queue = self.catalog.queues_by_name.get(job.queue)
            described = load_sightings.describe(job, queue)
        refusal = shedding.decide(
            self._dependencies.store.answering, described, load
        )
        if refusal is None:
            return None
        return outcomes.NotAccepted(
            message=refusal.message,
            retry_after_s=refusal.retry_after_s,
            reason=refusal.reason.value,
        )

    async def _refuse(
        self, job: model.Job, refusal: outcomes.NotAccepted
    ) -> outcomes.Submitted | None:
        """Refuse a job, unless an earlier copy of it was accepted.

        Return None if that is not known: a write of its record finds out.
        While an earlier write may still take effect, a job without a record
        may be stored after the refusal, so none is refused.
        """
        if refusal.reason == shedding.Reason.STORE:
            return result.Failure(refusal)
        now_s = self._dependencies.clock.monotonic_s()
        if now_s < self._uncertain_s + early_cancels.LATE_WRITE_S:
            return None
        found = await self._get(job_entries.job_key(job.id))
        if isinstance(found, result.Failure):
            return None
        known = found.unwrap() is not None
        return result.Success(None) if known else result.Failure(refusal)

    async def _get(
        self, key: str
    ) -> result.Result[keyvalue.Entry | None, outcomes.NotAccepted]:
        refusal = self._refusal()
        if refusal is not None:
            return result.Failure(refusal)
        found = await self._dependencies.store.get(key)
        return found.alt(outcomes.not_accepted)

    async def _write(
        self, transaction: transactions.Transaction
    ) -> outcomes.Submitted:
        written = await self._attempt(transaction)
        uncertain = isinstance(
            written.swap().value_or(None), outcomes.OutcomeUnknown
        )
        if uncertain and self._dependencies.store.answering:
            # If the first write took effect, the second one finds its key.
            again = await self._attempt(transaction)
            if isinstance(again, result.Success):
                return again
        return written

    async def _attempt(
        self, transaction: transactions.Transaction
    ) -> outcomes.Submitted:
        refusal = self._refusal()
        if refusal is not None:
            return result.Failure(refusal)
        written = await self._dependencies.store.commit(transaction)
        if isinstance(written, result.Success):
            return result.Success(None)
        failure = written.failure()
        if isinstance(failure, transactions.Rejected):
            return outcomes.of_rejected_creation(transaction, failure)
        if isinstance(failure, keyvalue.Uncertain):
            self._uncertain_s = self._dependencies.clock.monotonic_s()
            return result.Failure(
                outcomes.OutcomeUnknown(message=failure.message)
            )
        return result.Failure(outcomes.not_accepted(failure))

    def _note(
        self,
        name: str,
        job_id: str,
        request_id: str,
        outcome: result.Result[None, outcomes.Failure],
        team: str = '',
    ) -> None:
        outcome_text = 'stored'
        reason = ''
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
            outcome_text = failure.line()
            reason = (
                failure.reason
                if isinstance(failure, outcomes.NotAccepted)
                else ''
            )
        self._dependencies.log.note(
            name,
            request=request_id,
            job=job_id,
            team=team,
            version=self.catalog.version,
            outcome=outcome_text,
            **({'reason': reason} if reason else {}),
        )
        if reason:
            self._dependencies.log.count(f'{name}-refused-{reason}')
