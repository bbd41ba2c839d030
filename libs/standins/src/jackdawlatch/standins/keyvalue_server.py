"""The key-value service's stand-in, served over HTTP."""

import asyncio

import msgspec
from returns import result
from tornado import ioloop, web

from jackdawlatch.model import clocks, records
from jackdawlatch.standins import (
    keyvalue_calls,
    keyvalue_faults,
    keyvalue_service,
    serving,
)
from jackdawlatch.store import keyvalue, replies, wire

EXPIRY_CHECK_MS = 50


class Calls(records.Record, frozen=True, kw_only=True):
    """How often each call was received, waiting watches included."""

    calls_by_name: dict[str, int]
    waiting_watches: int


class Server(serving.Server):
    """Serves the calls, ``/-/faults`` and ``/-/calls``."""

    def __init__(self, port: int = 0) -> None:
        self.service = keyvalue_service.Service(clocks.SystemClock())
        context = {'service': self.service}
        super().__init__(
            [
                web.url('/v1/([a-z]+)', CallHandler, context),
                web.url('/-/faults', FaultsHandler, context),
                web.url('/-/calls', CallsHandler, context),
            ],
            port,
        )
        self._expiry = ioloop.PeriodicCallback(
            self.service.wake_watches_on_change, EXPIRY_CHECK_MS
        )
        self._expiry.start()

    async def close(self) -> None:
        """Stop serving."""
        self._expiry.stop()
        await super().close()


class ServiceHandler(serving.Handler):
    """A handler with access to the service."""

    def initialize(self, service: keyvalue_service.Service) -> None:
        """Store the service passed by the URL rule."""
        self.service = service


class CallHandler(ServiceHandler):
    """Answers one call, subject to the faults in force."""

    async def post(self, name: str) -> None:
        """Run the call that the path names; answers 404 for other paths."""
        self.service.calls_by_name[name] += 1
        call = self._call(name)
        injector = self.service.injector
        await asyncio.sleep(injector.slow_s)
        if injector.is_down:
            await self._fail()
        elif isinstance(call, wire.Watch):
            await self._watch(call)
        else:
            outcome = self.service.perform(call)
            await asyncio.sleep(injector.slow_reply_s)
            self._answer(call, outcome)

    def _call(self, name: str) -> records.Record:
        call_type = keyvalue_calls.CALL_TYPES_BY_NAME.get(name)
        if call_type is None:
            raise web.HTTPError(serving.NOT_FOUND_STATUS)
        try:
            return records.decode(self.request.body, call_type)
        except msgspec.MsgspecError as error:
            raise web.HTTPError(
                serving.BAD_REQUEST_STATUS, str(error)
            ) from error

    async def _watch(self, call: wire.Watch) -> None:
        outcome = await self.service.watch(call)
        if self.service.injector.is_down:
            await self._fail()
        else:
            self._answer(call, outcome)

    async def _fail(self) -> None:
        if self.service.injector.outage is keyvalue_faults.Outage.REFUSE:
            down = keyvalue.Unavailable(message='the store is down')
            self._answer(None, result.Failure(down))
            return
        await self.service.hang()
        self.drop()

    def _answer(
        self, call: records.Record | None, outcome: keyvalue_calls.Outcome
    ) -> None:
        if isinstance(outcome, result.Failure):
            failure = outcome.failure()
            self.set_status(replies.STATUSES_BY_FAILURE[type(failure)])
            self.finish(records.encode(failure))
        elif self._loses_reply(call):
            self.drop()
        else:
            self.finish(records.encode(outcome.unwrap()))

    def _loses_reply(self, call: records.Record | None) -> bool:
        written = isinstance(call, keyvalue_calls.WRITES)
        return written and self.service.injector.loses_reply()


class FaultsHandler(ServiceHandler):
    """Sets the faults."""

    def post(self) -> None:
        """Replace the faults by the posted ones."""
        self.service.injector.set(self.read_json(keyvalue_faults.Faults))
        self.service.wake_watches()


class CallsHandler(ServiceHandler):
    """Shows the counters."""

    def get(self) -> None:
        """Answer how often each call was received."""
        self.finish_json(
            Calls(
                calls_by_name=self.service.calls_by_name,
                waiting_watches=self.service.waiting_watches,
            )
        )
