"""Edits that operators request of hosts and waves, within pool budgets."""

import uuid

from returns import result

from jackdawlatch.membership import (
    budget,
    editor,
    lifecycle,
    transitions,
    wave_changes,
)
from jackdawlatch.model import clocks, failures, keys, presets
from jackdawlatch.store import editing, keyvalue

ID_DIGITS = 8

LimitsResult = result.Result[budget.Limits, failures.Problem]


class Operators:
    """Operators' edits of one shard, under the limits read from the store.

    Each method returns the value that was written, a ``refusals.Refusal``,
    or the store's failure.  After ``keyvalue.Uncertain`` the edit may have
    taken effect; after any other failure it has not.
    """

    def __init__(
        self, store: keyvalue.Store, shard: str, clock: clocks.Clock
    ) -> None:
        self._editor = editor.Editor(store, shard, clock)
        self._configuration = editing.Editor(
            store, keys.CONFIG, presets.Configuration()
        )

    async def move(
        self, host: str, pool: str, reboot: bool = False
    ) -> editor.EditResult:
        """Drain a host, reboot it if requested, and move it to a pool."""
        if not reboot:
            return await self._apply(lifecycle.Move(host, pool))
        wave = _wave_id(f'move-{host}')
        return await self._apply(
            wave_changes.StartHostWave(wave, host),
            lifecycle.Move(host, pool, wave),
        )

    async def drain(self, host: str) -> editor.EditResult:
        """Drain a host, reboot it and return it to its pool."""
        wave = _wave_id(f'drain-{host}')
        return await self._apply(
            wave_changes.StartHostWave(wave, host), lifecycle.Drain(host, wave)
        )

    async def start_wave(self, pool: str, wave: str = '') -> editor.EditResult:
        """Start a wave over a pool, or over all hosts if ``pool`` is empty.

        An id is generated if ``wave`` is empty.
        """
        scope = pool or 'all'
        name = wave or _wave_id(f'wave-{scope}')
        return await self._apply(wave_changes.StartWave(name, pool))

    async def halt_wave(self, wave: str) -> editor.EditResult:
        """Stop a wave from starting drains; those begun are completed."""
        return await self._apply(wave_changes.SetHalted(wave))

    async def resume_wave(self, wave: str) -> editor.EditResult:
        """Let a halted wave start drains again."""
        return await self._apply(wave_changes.SetHalted(wave, halted=False))

    async def _apply(self, *steps: transitions.Transition) -> editor.EditResult:
        read = await self._configuration.read()
        if isinstance(read, result.Failure):
            return read
        limits = budget.Limits.of(read.unwrap())
        return await self._editor.apply_all(steps, limits)


def _wave_id(prefix: str) -> str:
    unique = uuid.uuid4().hex[:ID_DIGITS]
    return f'{prefix}-{unique}'
