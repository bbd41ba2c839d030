"""A store between one process and the truth, with faults to choose from."""

import asyncio
import enum

from returns import result

from jackdawlatch.standins import fakes
from jackdawlatch.store import keyvalue


class Fault(enum.StrEnum):
    """What becomes of a process's writes."""

    NONE = 'none'
    DOWN = 'down'
    REPLY_LOST = 'reply-lost'
    REQUEST_LOST = 'request-lost'
    LATE = 'late'
    STALLED = 'stalled'


class FaultyStore(fakes.FakeStore):
    """Writes go to a shared truth, as the fault in force has it.

    A late write is reported as uncertain and takes effect at ``land``; a
    stalled one waits for ``land`` together with its caller.
    """

    def __init__(self, truth: fakes.FakeStore) -> None:
        super().__init__()
        self.content = truth.content
        self.fault = Fault.NONE
        self.late: list[tuple[str, bytes, int]] = []
        self.gate = asyncio.Event()

    async def put(
        self, key: str, content: bytes, revision: int, lease: str = ''
    ) -> result.Result[keyvalue.Entry, keyvalue.WriteFailure]:
        self.down = self.fault is Fault.DOWN
        uncertain = result.Failure(keyvalue.Uncertain(message='lost'))
        if self.fault is Fault.REQUEST_LOST:
            return uncertain
        if self.fault is Fault.LATE:
            self.late.append((key, content, revision))
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

    def land(self) -> None:
        """Let what is late or stalled take effect."""
        for key, content, revision in self.late:
            self.content.put(key, content, revision, '')
        self.late.clear()
        self.gate.set()
        self.gate = asyncio.Event()
