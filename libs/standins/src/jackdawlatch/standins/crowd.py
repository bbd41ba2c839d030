"""Everybody who uses a deployment during a soak."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Coroutine, Iterator
from typing import Any

from jackdawlatch.standins import (
    balancing,
    bench,
    observing,
    outages,
    rivals,
    traffic,
)

PRESETS = ('ordinary', 'peak')


class Crowd:
    """Callers, operators, the balancer and an observer."""

    def __init__(self, on: bench.Bench, seed: int) -> None:
        self.traffic = traffic.Traffic(on, random.Random(f'{seed} callers'))
        self.rivals = tuple(
            rivals.Rival(on, random.Random(f'{seed} {preset}'), preset)
            for preset in PRESETS
        )
        self.observer = observing.Observer(on)
        self.outages = outages.Outages()
        self._balancer = balancing.Balancer(on)

    @contextlib.asynccontextmanager
    async def at_work(self) -> AsyncIterator[None]:
        """Let all work while the context lasts, then hear the last answers.

        An exception of any of them is raised here.
        """
        calling = asyncio.create_task(self.traffic.run())
        others = [asyncio.create_task(work) for work in self._others()]
        try:
            yield
            self.traffic.stop()
            await calling
        finally:
            calling.cancel()
            await _end(others)
        self._balancer.close()

    def _others(self) -> Iterator[Coroutine[Any, Any, None]]:
        yield self.observer.run()
        yield self._balancer.run()
        yield from (rival.run() for rival in self.rivals)


async def _end(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    for error in ended:
        if not isinstance(error, asyncio.CancelledError):
            raise RuntimeError('a part of the soak ended') from error
