"""Tells all peers at once when a target shows a sign of leaving."""

import asyncio

from jackdawlatch.entry import shared_dependencies
from jackdawlatch.model import records
from jackdawlatch.routing import leaving
from jackdawlatch.telemetry import events

NOTIFY_TIMEOUT_S = 1


class TargetLeaving(records.Record, frozen=True, kw_only=True):
    """A target showed a sign of leaving, valid for ``remaining_s`` seconds."""

    host: str
    remaining_s: float


class Heard(records.Record, frozen=True, kw_only=True):
    """The reply to ``TargetLeaving``."""


class LeavingNotifier:
    """Records signs of leaving seen by this entry and by its peers."""

    def __init__(self, dependencies: shared_dependencies.Dependencies) -> None:
        self._dependencies = dependencies
        self._notifications: set[asyncio.Task[None]] = set()
        dependencies.endpoint.handle(TargetLeaving, self._handle_notice)

    def report(self, host: str, sign: leaving.Sign) -> None:
        """Record a sign; notify peers unless the host is known to leave."""
        now_s = self._dependencies.clock.monotonic_s()
        if not self._dependencies.leaving_hosts.record_sign(host, sign, now_s):
            return
        self._dependencies.meters.count('leaving_signs', sign=sign.value)
        self._dependencies.ring.add(
            events.Event(name='target-leaving', host=host, detail=sign.value)
        )
        remaining_s = self._dependencies.leaving_hosts.remaining_s_by_host(
            now_s
        ).get(host, 0)
        message = TargetLeaving(host=host, remaining_s=remaining_s)
        for peer in self._dependencies.entry_peers.others():
            self._notify(peer.peer_address, message)

    def _notify(self, address: str, message: TargetLeaving) -> None:
        notification = asyncio.ensure_future(self._call(address, message))
        self._notifications.add(notification)
        notification.add_done_callback(self._notifications.discard)

    async def _call(self, address: str, message: TargetLeaving) -> None:
        await self._dependencies.endpoint.call(
            address, message, Heard, NOTIFY_TIMEOUT_S
        )

    async def _handle_notice(self, message: TargetLeaving) -> Heard:
        now_s = self._dependencies.clock.monotonic_s()
        self._dependencies.leaving_hosts.record_peer_sign(
            message.host, message.remaining_s, now_s
        )
        return Heard()
