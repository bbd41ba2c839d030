"""Runs a coroutine that SIGINT and SIGTERM cancel, so that it cleans up."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

INTERRUPTED = 1


def run(work: Coroutine[Any, Any, int]) -> int:
    """Run a coroutine and return its result.

    Returns ``INTERRUPTED`` if SIGINT or SIGTERM cancelled it.
    """
    return asyncio.run(_cancel_on_signals(work))


async def _cancel_on_signals(work: Coroutine[Any, Any, int]) -> int:
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return INTERRUPTED
