"""Operators that edit presets concurrently."""

import asyncio
import random

from jackdawlatch.standins import fleet_state, oracle, testbed

FIRST_LIMIT = 100
PAUSE_S = 2.0


class PresetEditor:
    """Raises the queue limit of one preset, or puts that preset in force.

    Nothing else edits this limit, so an accepted value must never go back.
    """

    def __init__(
        self, bed: testbed.Testbed, rng: random.Random, preset: str
    ) -> None:
        self.accepted = 0
        self.edits = 0
        self._bed = bed
        self._rng = rng
        self._preset = preset
        self._accepted_limit = 0

    async def run(self) -> None:
        """Make random edits until cancelled."""
        while True:
            await self._edit()
            await asyncio.sleep(self._rng.uniform(0, PAUSE_S))

    async def violations(self) -> list[oracle.Violation]:
        """Return a violation if the last accepted limit was lost."""
        configuration = await fleet_state.read_configuration(self._bed.store)
        stored = configuration.presets_by_name[self._preset].queue_limit
        if stored >= self._accepted_limit:
            return []
        detail = f'stored {stored}, accepted {self._accepted_limit}'
        return [oracle.Violation('accepted edit lost', self._preset, detail)]

    async def _edit(self) -> None:
        self.edits += 1
        limit = FIRST_LIMIT + self.edits
        arguments = ('preset', 'edit', self._preset, f'queue_limit={limit}')
        if self._rng.choice((True, False)):
            completed = await self._bed.operator.run(
                'preset', 'use', self._preset
            )
        else:
            completed = await self._bed.operator.run(*arguments)
            if completed.succeeded:
                self._accepted_limit = limit
        self.accepted += int(completed.succeeded)
