"""How a runner's stand-in responds to a request that it has run."""

import abc
import asyncio
import types
from collections.abc import Mapping

from jackdawlatch.standins import serving

SERVER_ERROR_STATUS = 500
SLOW_BODY_CHUNKS = 8


class Responder(abc.ABC):
    """Sends, spoils or withholds the response to a finished run."""

    @abc.abstractmethod
    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Respond with ``body``; ``duration_s`` is how long the run took."""


class CompleteResponse(Responder):
    """Sends the complete response."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Send the body."""
        handler.finish(body)


class Close(Responder):
    """Closes the connection without responding."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Close the connection."""
        handler.drop()


class CloseReused(Responder):
    """Closes without responding if the connection was used before."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Respond to the first request on a connection, else close it."""
        if handler.is_on_reused_connection():
            handler.drop()
        else:
            handler.finish(body)


class TruncatedBody(Responder):
    """Announces the full length and closes in the middle of the body."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Send half of the body."""
        handler.set_header('Content-Length', str(len(body)))
        handler.write(body[: len(body) // 2])
        await handler.flush()
        handler.drop()


class ServerError(Responder):
    """Reports that the run failed."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Send the body with status 500."""
        handler.set_status(SERVER_ERROR_STATUS)
        handler.finish(body)


class SlowBody(Responder):
    """Sends the body in chunks, spread over the run's duration."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Send the body chunk by chunk."""
        handler.set_header('Content-Length', str(len(body)))
        size = len(body) // SLOW_BODY_CHUNKS + 1
        for start in range(0, len(body), size):
            handler.write(body[start : start + size])
            await handler.flush()
            await asyncio.sleep(duration_s / SLOW_BODY_CHUNKS)
        handler.finish()


class Hang(Responder):
    """Never responds."""

    async def respond(
        self, handler: serving.Handler, body: bytes, duration_s: float
    ) -> None:
        """Wait until the caller closes the connection."""
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
