"""Tells all peers at once when a target shows a sign of leaving."""

import asyncio

from jackdawlatch.entry import surroundings
from jackdawlatch.model import records
from jackdawlatch.routing import leaving
from jackdawlatch.telemetry import events

TELL_TIMEOUT_S = 1


class TargetLeaving(records.Record, frozen=True, kw_only=True):
    """A target showed a sign of leaving, good for ``remaining_s`` seconds."""

    host: str
    remaining_s: float


class Heard(records.Record, frozen=True, kw_only=True):
    """The reply to word of a target that leaves."""


class Departures:
    """Notes the signs that this entry sees and those that peers pass on."""

    def __init__(self, around: surroundings.Surroundings) -> None:
        self._around = around
        self._telling: set[asyncio.Task[None]] = set()
        around.endpoint.handle(TargetLeaving, self._learn)

    def note(self, host: str, sign: leaving.Sign) -> None:
        """Take note of a sign; peers are told when it is news."""
        now_s = self._around.clock.monotonic_s()
        if not self._around.signs.mark(host, sign, now_s):
            return
        self._around.meters.count('leaving_signs', sign=sign.value)
        self._around.ring.add(
            events.Event(name='target-leaving', host=host, detail=sign.value)
        )
        remaining_s = self._around.signs.signs(now_s).get(host, 0)
        message = TargetLeaving(host=host, remaining_s=remaining_s)
        for peer in self._around.members.others():
            self._tell(peer.peer_address, message)

    def _tell(self, address: str, message: TargetLeaving) -> None:
        telling = asyncio.ensure_future(self._call(address, message))
        self._telling.add(telling)
        telling.add_done_callback(self._telling.discard)

    async def _call(self, address: str, message: TargetLeaving) -> None:
        await self._around.endpoint.call(
            address, message, Heard, TELL_TIMEOUT_S
        )

    async def _learn(self, message: TargetLeaving) -> Heard:
        now_s = self._around.clock.monotonic_s()
        self._around.signs.learn(message.host, message.remaining_s, now_s)
        return Heard()
