"""Operators who edit presets at the same time."""

import asyncio
import random

from jackdawlatch.standins import bench, oracle, pools

FIRST_LIMIT = 100
PAUSE_S = 2.0


class Rival:
    """Raises one preset's queue limit, and now and then changes presets.

    Nobody else edits the limit, so an accepted one must never be undone.
    """

    def __init__(
        self, on: bench.Bench, rng: random.Random, preset: str
    ) -> None:
        self.accepted = 0
        self.edits = 0
        self._on = on
        self._rng = rng
        self._preset = preset
        self._accepted_limit = 0

    async def run(self) -> None:
        """Edit until cancelled."""
        while True:
            await self._edit()
            await asyncio.sleep(self._rng.uniform(0, PAUSE_S))

    async def violations(self) -> list[oracle.Violation]:
        """Return an accepted edit that is no longer there."""
        known = await pools.configuration(self._on.store)
        stored = known.presets_by_name[self._preset].queue_limit
        if stored >= self._accepted_limit:
            return []
        detail = f'{stored} after {self._accepted_limit} was accepted'
        return [oracle.Violation('an edit was lost', self._preset, detail)]

    async def _edit(self) -> None:
        self.edits += 1
        limit = FIRST_LIMIT + self.edits
        arguments = ('preset', 'edit', self._preset, f'queue_limit={limit}')
        if self._rng.choice((True, False)):
            ran = await self._on.operator.run('preset', 'use', self._preset)
        else:
            ran = await self._on.operator.run(*arguments)
            if ran.succeeded:
                self._accepted_limit = limit
        self.accepted += int(ran.succeeded)
