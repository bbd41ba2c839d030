"""Waits for a condition that another process or task brings about."""

import asyncio
from collections.abc import Awaitable, Callable

POLL_S = 0.02


async def until(check: Callable[[], Awaitable[bool]], timeout_s: float) -> bool:
    """Poll ``check``; return whether it held within about ``timeout_s``."""
    for _ in range(int(timeout_s / POLL_S) + 1):
        if await check():
            return True
        await asyncio.sleep(POLL_S)
    return False
