"""The background work of a process."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class Tasks:
    """Keeps background work referenced, and ends it at shutdown."""

    def __init__(self, failed: Callable[[BaseException], None]) -> None:
        self._failed = failed
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start background work; ``failed`` is told of its exception."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def cancel(self) -> None:
        """Cancel all that still runs."""
        for task in tuple(self._tasks):
            task.cancel()

    def _forget(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error:
            self._failed(error)
