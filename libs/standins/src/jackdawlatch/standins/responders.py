"""The ways in which a runner's stand-in ends a request it has run."""

import abc
import asyncio
import types
from collections.abc import Mapping

from jackdawlatch.standins import serving

SERVER_ERROR_STATUS = 500
SLOW_BODY_CHUNKS = 8


class Responder(abc.ABC):
    """What becomes of the answer; ``pause_s`` is the run's own duration."""

    @abc.abstractmethod
    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Answer, or fail to."""


class CompleteResponse(Responder):
    """Answers whole."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Send the body."""
        handler.finish(body)


class Close(Responder):
    """Closes the connection without answering."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Drop the caller."""
        handler.drop()


class CloseReused(Responder):
    """Closes without answering if the connection has served before."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Drop the caller, or answer the first on its connection."""
        if handler.is_on_reused_connection():
            handler.drop()
        else:
            handler.finish(body)


class TruncatedBody(Responder):
    """Promises a length and closes in the middle of the body."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Send half of the body."""
        handler.set_header('Content-Length', str(len(body)))
        handler.write(body[: len(body) // 2])
        await handler.flush()
        handler.drop()


class ServerError(Responder):
    """Answers that the run failed."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Send the body with status 500."""
        handler.set_status(SERVER_ERROR_STATUS)
        handler.finish(body)


class SlowBody(Responder):
    """Answers in small parts, over the run's duration once more."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Send the body part by part."""
        handler.set_header('Content-Length', str(len(body)))
        size = len(body) // SLOW_BODY_CHUNKS + 1
        for start in range(0, len(body), size):
            handler.write(body[start : start + size])
            await handler.flush()
            await asyncio.sleep(duration_s / SLOW_BODY_CHUNKS)
        handler.finish()


class Hang(Responder):
    """Never answers."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Wait until the caller has gone."""
        await handler.connection_closed.wait()


RESPONDERS_BY_FAULT: Mapping[str, Responder] = types.MappingProxyType(
    {
        '': CompleteResponse(),
        'close': Close(),
        'close-reused': CloseReused(),
        'half': TruncatedBody(),
        'fail': ServerError(),
        'slow-body': SlowBody(),
        'hang': Hang(),
    }
)
