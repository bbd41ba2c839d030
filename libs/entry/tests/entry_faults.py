"""A fake store for one process that injects faults into its calls."""

import asyncio
import enum

from returns import result

from jackdawlatch.standins import fakes
from jackdawlatch.store import keyvalue


class Fault(enum.StrEnum):
    """A fault of the store; most apply to writes only."""

    NONE = 'none'
    DOWN = 'down'
    REPLY_LOST = 'reply-lost'
    REQUEST_LOST = 'request-lost'
    LATE = 'late'
    STALLED = 'stalled'


class FaultyStore(fakes.FakeStore):
    """A view of a shared store, subject to the fault that is set.

    A late write is reported as uncertain and takes effect when
    ``apply_delayed_writes`` is called; a stalled one blocks its caller until
    then.
    """

    def __init__(self, shared: fakes.FakeStore) -> None:
        super().__init__()
        self.content = shared.content
        self.fault = Fault.NONE
        self.late_writes: list[tuple[str, bytes, int]] = []
        self.gate = asyncio.Event()

    async def put(
        self, key: str, content: bytes, revision: int, lease: str = ''
    ) -> result.Result[keyvalue.Entry, keyvalue.WriteFailure]:
        self.down = self.fault is Fault.DOWN
        uncertain = result.Failure(keyvalue.Uncertain(message='lost'))
        if self.fault is Fault.REQUEST_LOST:
            return uncertain
        if self.fault is Fault.LATE:
            self.late_writes.append((key, content, revision))
            return uncertain
        if self.fault is Fault.STALLED:
            await self.gate.wait()
        written = await super().put(key, content, revision, lease)
        lost = self.fault is Fault.REPLY_LOST
        return uncertain if lost and not self.down else written

    async def get(
        self, key: str
    ) -> result.Result[keyvalue.Entry | None, keyvalue.Unavailable]:
        self.down = self.fault in {Fault.DOWN, Fault.LATE}
        return await super().get(key)

    def apply_delayed_writes(self) -> None:
        """Let late and stalled writes take effect."""
        for key, content, revision in self.late_writes:
            self.content.put(key, content, revision, '')
        self.late_writes.clear()
        self.gate.set()
        self.gate = asyncio.Event()
