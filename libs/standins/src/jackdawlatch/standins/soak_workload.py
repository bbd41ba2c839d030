"""Everything that uses or watches a deployment during a soak."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Coroutine, Iterator
from typing import Any

from jackdawlatch.standins import (
    load_balancer,
    observer,
    outages,
    preset_editors,
    testbed,
    traffic,
)

PRESETS = ('ordinary', 'peak')


class Workload:
    """Callers, operators, the load balancer and an observer."""

    def __init__(self, bed: testbed.Testbed, seed: int) -> None:
        self.traffic = traffic.Traffic(bed, random.Random(f'{seed} callers'))
        self.editors = tuple(
            preset_editors.PresetEditor(
                bed, random.Random(f'{seed} {preset}'), preset
            )
            for preset in PRESETS
        )
        self.observer = observer.Observer(bed)
        self.outage_log = outages.OutageLog()
        self._load_balancer = load_balancer.LoadBalancer(bed)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run all of them for the context, then wait for the last answers.

        Raises ``RuntimeError`` if one of them ended with an exception.
        """
        calling = asyncio.create_task(self.traffic.run())
        others = [asyncio.create_task(work) for work in self._background_work()]
        try:
            yield
            self.traffic.stop()
            await calling
        finally:
            calling.cancel()
            await _end(others)
        self._load_balancer.close()

    def _background_work(self) -> Iterator[Coroutine[Any, Any, None]]:
        yield self.observer.run()
        yield self._load_balancer.run()
        yield from (editor.run() for editor in self.editors)


async def _end(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    ended = await asyncio.gather(*tasks, return_exceptions=True)
    for error in ended:
        if not isinstance(error, asyncio.CancelledError):
            raise RuntimeError(
                'a background task of the soak ended early'
            ) from error
