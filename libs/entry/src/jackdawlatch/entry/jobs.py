"""Jobs over HTTP: submit, look up, cancel."""

import re

import msgspec
from returns import result

from jackdawlatch.entry import fleet, refusals, requests, steering
from jackdawlatch.model import failures, hosts, work
from jackdawlatch.placement import book, drafts

JOBS_PATH = '/jobs'
# msgspec ends a message with the path of the field, if there is one.
_FIELD = re.compile(r'^(?P<expected>.*?)(?: - at `\$\.?(?P<path>[^`]*)`)?$')

Outcome = result.Result[work.Job, failures.Problem]


class Jobs:
    """Checks what callers declare and keeps it in the job book."""

    def __init__(self, known: fleet.Fleet, jobs_kept: book.Book) -> None:
        self._fleet = known
        self._book = jobs_kept

    async def submit(self, received: requests.Received) -> Outcome:
        """Return the job once it is kept in the platform's store.

        A repeat under the same key and team returns the job kept first.
        """
        steered = steering.options(received.headers)
        if isinstance(steered, result.Failure):
            return steered
        drafted = _draft(received.body).bind(self._checked)
        if isinstance(drafted, result.Failure):
            return drafted
        draft = drafted.unwrap()
        return await self._book.submit(draft, draft.team, steered.unwrap().key)

    async def find(self, job_id: str) -> Outcome:
        """Return a job as it is kept."""
        return await self._book.find(job_id)

    async def cancel(self, job_id: str) -> Outcome:
        """Cancel a job and return it."""
        return await self._book.cancel(job_id)

    def _checked(
        self, draft: drafts.Draft
    ) -> result.Result[drafts.Draft, failures.Problem]:
        service = self._fleet.services.get(draft.service)
        if service is None:
            return result.Failure(
                refusals.UnknownService(
                    message=f'no service is named {draft.service!r}',
                    hint='name a service of the configuration',
                    path='service',
                    expected='a service of the configuration',
                )
            )
        capacities = self._fleet.capacities_by_pool.get(service.pool, ())
        if not capacities:
            return result.Success(draft)
        declared = hosts.Capacity(
            processors=draft.processors,
            memory_mb=draft.memory_mb,
            accelerators=draft.accelerators,
        )
        fitting = drafts.check_fit(declared, capacities)
        return fitting.map(lambda _: draft)


def _draft(body: bytes) -> result.Result[drafts.Draft, failures.Problem]:
    try:
        return result.Success(msgspec.json.decode(body, type=drafts.Draft))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        match = _FIELD.match(str(error))
        return result.Failure(
            refusals.MalformedBody(
                message=str(error),
                hint='send a JSON object as the documentation shows',
                path=(match and match['path']) or '',
                expected=(match and match['expected']) or 'a JSON object',
            )
        )
