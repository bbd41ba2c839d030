"""The ways in which a runner's stand-in ends a request it has run."""

import abc
import asyncio
import types
from collections.abc import Mapping

from jackdawlatch.standins import serving

SERVER_ERROR_STATUS = 500
BODY_PARTS = 8


class Ending(abc.ABC):
    """What becomes of the answer; ``pause_s`` is the run's own duration."""

    @abc.abstractmethod
    async def end(
        self, handler: serving.Handler, body: bytes, pause_s: float
    ) -> None:
        """Answer, or fail to."""


class Answer(Ending):
    """Answers whole."""

    async def end(
        self, handler: serving.Handler, body: bytes, pause_s: float
    ) -> None:
        """Send the body."""
        handler.finish(body)


class Close(Ending):
    """Closes the connection without answering."""

    async def end(
        self, handler: serving.Handler, body: bytes, pause_s: float
    ) -> None:
        """Drop the caller."""
        handler.drop()


class CloseReused(Ending):
    """Closes without answering if the connection has served before."""

    async def end(
        self, handler: serving.Handler, body: bytes, pause_s: float
    ) -> None:
        """Drop the caller, or answer the first on its connection."""
        if handler.is_on_reused_connection():
            handler.drop()
        else:
            handler.finish(body)


class Half(Ending):
    """Promises a length and closes in the middle of the body."""

    async def end(
        self, handler: serving.Handler, body: bytes, pause_s: float
    ) -> None:
        """Send half of the body."""
        handler.set_header('Content-Length', str(len(body)))
        handler.write(body[: len(body) // 2])
        await handler.flush()
        handler.drop()


class Fail(Ending):
    """Answers that the run failed."""

    async def end(
        self, handler: serving.Handler, body: bytes, pause_s: float
    ) -> None:
        """Send the body with status 500."""
        handler.set_status(SERVER_ERROR_STATUS)
        handler.finish(body)


class SlowBody(Ending):
    """Answers in small parts, over the run's duration once more."""

    async def end(
        self, handler: serving.Handler, body: bytes, pause_s: float
    ) -> None:
        """Send the body part by part."""
        handler.set_header('Content-Length', str(len(body)))
        size = len(body) // BODY_PARTS + 1
        for start in range(0, len(body), size):
            handler.write(body[start : start + size])
            await handler.flush()
            await asyncio.sleep(pause_s / BODY_PARTS)
        handler.finish()


class Hang(Ending):
    """Never answers."""

    async def end(
        self, handler: serving.Handler, body: bytes, pause_s: float
    ) -> None:
        """Wait until the caller has gone."""
        await handler.gone.wait()


ENDINGS_BY_NAME: Mapping[str, Ending] = types.MappingProxyType(
    {
        '': Answer(),
        'close': Close(),
        'close-reused': CloseReused(),
        'half': Half(),
        'fail': Fail(),
        'slow-body': SlowBody(),
        'hang': Hang(),
    }
)
