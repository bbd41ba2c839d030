"""Jobs over HTTP: submit, look up, cancel."""

import re

import msgspec
from returns import result

from jackdawlatch.entry import (
    fleet,
    invalid_requests,
    request_headers,
    requests,
)
from jackdawlatch.model import decoding, failures, hosts, work
from jackdawlatch.placement import drafts, job_registry

JOBS_PATH = '/jobs'
# msgspec appends the path of the field to its message, if there is one.
_FIELD = re.compile(r'^(?P<expected>.*?)(?: - at `\$\.?(?P<path>[^`]*)`)?$')

Outcome = result.Result[work.Job, failures.Problem]


class Jobs:
    """Validates the jobs that callers submit, and stores them."""

    def __init__(
        self, entry_fleet: fleet.Fleet, registry: job_registry.JobRegistry
    ) -> None:
        self._fleet = entry_fleet
        self._job_registry = registry

    async def submit(self, received: requests.ReceivedRequest) -> Outcome:
        """Store a job and return it.

        A duplicate with the same key and team returns the job stored first.
        Fails if the request is not valid or the store does not accept it.
        """
        checked_headers = request_headers.parse(received.headers)
        if isinstance(checked_headers, result.Failure):
            return checked_headers
        drafted = _draft(received.body).bind(self._check)
        if isinstance(drafted, result.Failure):
            return drafted
        draft = drafted.unwrap()
        return await self._job_registry.submit(
            draft, draft.team, checked_headers.unwrap().key
        )

    async def find(self, job_id: str) -> Outcome:
        """Return a job as it is stored."""
        return await self._job_registry.find(job_id)

    async def cancel(self, job_id: str) -> Outcome:
        """Cancel a job and return it."""
        return await self._job_registry.cancel(job_id)

    def _check(
        self, draft: drafts.Draft
    ) -> result.Result[drafts.Draft, failures.Problem]:
        service = self._fleet.services.get(draft.service)
        if service is None:
            return result.Failure(
                invalid_requests.UnknownService(
                    message=f'no service is named {draft.service!r}',
                    hint='use the name of a service in the configuration',
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
        return result.Success(decoding.from_json(body, drafts.Draft))
    except msgspec.DecodeError as error:
        match = _FIELD.match(str(error))
        return result.Failure(
            invalid_requests.MalformedBody(
                message=str(error),
                hint='send a JSON object as the documentation shows',
                path=(match and match['path']) or '',
                expected=(match and match['expected']) or 'a JSON object',
            )
        )
