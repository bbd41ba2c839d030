"""Polling in tests for conditions without an event to wait on."""

import asyncio
import inspect
from collections.abc import Callable
from typing import Any

WAIT_S = 10
POLL_S = 0.005


async def until(holds: Callable[[], Any]) -> None:
    """Poll until ``holds()``, awaited if need be, is true.

    Raises ``TimeoutError`` after ``WAIT_S``.
    """
    async with asyncio.timeout(WAIT_S):
        while True:
            outcome = holds()
            if inspect.isawaitable(outcome):
                outcome = await outcome
            if outcome:
                return
            await asyncio.sleep(POLL_S)
