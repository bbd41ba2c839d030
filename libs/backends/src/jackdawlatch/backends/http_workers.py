"""HTTP client of the workers."""

import types
from collections.abc import Mapping, Sequence
from typing import TypeVar

import msgspec
from returns import result

from jackdawlatch.backends import exchange, tasks, workers
from jackdawlatch.model import records

TIMEOUT_S = 2.0

OK_STATUS = 200
CREATED_STATUS = 201
NOT_FOUND_STATUS = 404
CONFLICT_STATUS = 409
FORBIDDEN_START_STATUS = 410
OTHER_BOOT_STATUS = 421
DRAINING_STATUS = 503
DOES_NOT_FIT_STATUS = 507

REFUSALS_BY_STATUS: Mapping[int, type[workers.NotStarted]] = (
    types.MappingProxyType(
        {
            DOES_NOT_FIT_STATUS: workers.DoesNotFit,
            DRAINING_STATUS: workers.Draining,
            OTHER_BOOT_STATUS: workers.OtherBoot,
            FORBIDDEN_START_STATUS: workers.NotStarted,
        }
    )
)

Body = TypeVar('Body')
CallResult = result.Result[Body, workers.Gone | workers.Unanswered]


class HttpWorkers(workers.Workers):
    """Calls workers; each call takes at most ``timeout_s``."""

    def __init__(self, timeout_s: float = TIMEOUT_S) -> None:
        self._timeout_s = timeout_s
        self._client = exchange.Client()

    async def start(
        self, address: str, task: tasks.Task
    ) -> result.Result[
        workers.StartResult, workers.NotStarted | workers.Uncertain
    ]:
        """Start a task under a lease; the call is sent at most once."""
        answered = await self._send(f'{address}/tasks', task)
        if isinstance(answered, result.Success):
            return _start_result(answered.unwrap())
        failed = answered.failure()
        if isinstance(failed, exchange.NotSent):
            return result.Failure(workers.NotStarted(message=failed.message))
        return result.Failure(workers.Uncertain(message=failed.message))

    async def forbid(
        self, address: str, task_id: str
    ) -> result.Result[tasks.Forbidden, workers.Unanswered]:
        """Forbid a task to start; report whether it was started before."""
        url = f'{address}/tasks/{task_id}/forbid'
        answered = await self._send(url, resend=True)
        return _read(answered, tasks.Forbidden).alt(_unanswered)

    async def renew(
        self, address: str, ids: Sequence[str], lease_s: float
    ) -> result.Result[tuple[str, ...], workers.Unanswered]:
        """Extend leases from now; return the ids it has never started."""
        renewal = tasks.Renewal(ids=tuple(ids), lease_s=lease_s)
        answered = await self._send(f'{address}/leases', renewal, resend=True)
        replied = _read(answered, tasks.Unknown).alt(_unanswered)
        return replied.map(lambda reply: reply.unknown)

    async def usage(
        self, address: str
    ) -> result.Result[tasks.Usage, workers.Unanswered]:
        """Return the worker's capacity and tasks, some seconds old."""
        answered = await self._client.send(
            exchange.Outgoing(
                f'{address}/usage', timeout_s=self._timeout_s, resend=True
            )
        )
        return _read(answered, tasks.Usage).alt(_unanswered)

    async def checkpoint(
        self, address: str, task_id: str
    ) -> result.Result[str, workers.Gone | workers.Unanswered]:
        """Stop a task and return the token to resume it from."""
        url = f'{address}/tasks/{task_id}/checkpoint'
        answered = await self._send(url, resend=True)
        return _read(answered, tasks.Token).map(lambda reply: reply.checkpoint)

    async def throttle(
        self, address: str, task_id: str, fraction: float
    ) -> result.Result[None, workers.Gone | workers.Unanswered]:
        """Limit a task to a fraction (0 to 1) of its processors."""
        limit = tasks.Throttle(fraction=fraction)
        url = f'{address}/tasks/{task_id}/throttle'
        answered = await self._send(url, limit, resend=True)
        return _read(answered, tasks.TaskReport).map(_discard_report)

    async def stop(
        self, address: str, task_id: str
    ) -> result.Result[None, workers.Gone | workers.Unanswered]:
        """Stop a task; a task that has ended is left unchanged."""
        url = f'{address}/tasks/{task_id}/stop'
        answered = await self._send(url, resend=True)
        return _read(answered, tasks.TaskReport).map(_discard_report)

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def _send(
        self,
        url: str,
        body: records.Record | None = None,
        *,
        resend: bool = False,
    ) -> result.Result[exchange.Reply, exchange.Failed]:
        return await self._client.send(
            exchange.Outgoing(
                url,
                method='POST',
                body=msgspec.json.encode(body) if body else b'',
                timeout_s=self._timeout_s,
                resend=resend,
            )
        )


def _start_result(
    reply: exchange.Reply,
) -> result.Result[workers.StartResult, workers.NotStarted | workers.Uncertain]:
    if reply.status == CREATED_STATUS:
        return result.Success(workers.StartResult.NOW)
    if reply.status == OK_STATUS:
        return result.Success(workers.StartResult.BEFORE)
    refusal = REFUSALS_BY_STATUS.get(reply.status, workers.Uncertain)
    return result.Failure(refusal(message=f'status {reply.status}'))


def _read(
    answered: result.Result[exchange.Reply, exchange.Failed],
    body_type: type[Body],
) -> CallResult[Body]:
    if isinstance(answered, result.Failure):
        return result.Failure(_unanswered(answered.failure()))
    reply = answered.unwrap()
    if reply.status in {NOT_FOUND_STATUS, CONFLICT_STATUS}:
        return result.Failure(workers.Gone(message=f'status {reply.status}'))
    if reply.status != OK_STATUS:
        message = f'status {reply.status}'
        return result.Failure(workers.Unanswered(message=message))
    return reply.json(body_type).alt(_unanswered)


def _unanswered(
    failed: exchange.Failed | workers.Gone | workers.Unanswered,
) -> workers.Unanswered:
    return workers.Unanswered(message=failed.message)


def _discard_report(_report: tasks.TaskReport) -> None:
    """Return nothing: the reply only confirms the call."""
