"""Background asyncio tasks of a process."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class BackgroundTasks:
    """Holds references to running tasks and cancels them at shutdown."""

    def __init__(self, on_failure: Callable[[BaseException], None]) -> None:
        self._on_failure = on_failure
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task; its exception is passed to ``on_failure``."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in tuple(self._tasks):
            task.cancel()

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error:
            self._on_failure(error)
