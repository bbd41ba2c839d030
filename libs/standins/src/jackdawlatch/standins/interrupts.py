"""Runs work so that SIGINT and SIGTERM leave its contexts properly."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

INTERRUPTED = 1


def run(work: Coroutine[Any, Any, int]) -> int:
    """Run work to its end; an interrupt ends it early, as a failure."""
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
