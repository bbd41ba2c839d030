"""Restarts loops that fail, so that one error does not stop the others."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging

RESTART_S = 0.5
# A loop that fails as often as this in a row, without working for a while in
# between, is left to the next leader.
MAX_FAILURES = 5
WORKING_S = 10.0

Loop = Callable[[], Coroutine[Any, Any, None]]


async def keep_running(
    loop: Loop,
    now_s: Callable[[], float],
    max_failures: float = MAX_FAILURES,
) -> None:
    """Run a loop to its end; start it again if it raises an exception.

    The exception is raised after ``max_failures`` in a row.
    """
    failures = 0
    while True:
        began_s = now_s()
        try:
            return await loop()
        except Exception as error:
            if now_s() - began_s > WORKING_S:
                failures = 0
            failures += 1
            if failures >= max_failures:
                raise
            logging.error('scheduler loop failed, restarting', exc_info=error)
        await asyncio.sleep(RESTART_S)
