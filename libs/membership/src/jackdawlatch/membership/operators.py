"""What operators ask of hosts and waves, within each pool's budget."""

import uuid

from returns import result

from jackdawlatch.membership import (
    budget,
    editor,
    lifecycle,
    transitions,
    wave_edits,
)
from jackdawlatch.model import clocks, failures, keys, presets
from jackdawlatch.store import editing, keyvalue

ID_DIGITS = 8

Limits = result.Result[budget.Limits, failures.Problem]


class Operators:
    """Operators' edits of one shard; limits are read from the store.

    Each method returns the value that was written, a ``refusals.Refusal``,
    or the store's failure, of which ``keyvalue.Uncertain`` alone leaves open
    whether the edit took effect.
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
    ) -> editor.Edited:
        """Drain a host and let it join another pool, rebooted if asked."""
        if not reboot:
            return await self._make(lifecycle.Move(host, pool))
        wave = _wave_id(f'move-{host}')
        return await self._make(
            wave_edits.StartForHost(wave, host),
            lifecycle.Move(host, pool, wave),
        )

    async def drain(self, host: str) -> editor.Edited:
        """Drain a host, reboot it and let it join its pool again."""
        wave = _wave_id(f'drain-{host}')
        return await self._make(
            wave_edits.StartForHost(wave, host), lifecycle.Drain(host, wave)
        )

    async def start_wave(self, pool: str, wave: str = '') -> editor.Edited:
        """Start a wave over a pool, or over all when ``pool`` is empty."""
        scope = pool or 'all'
        name = wave or _wave_id(f'wave-{scope}')
        return await self._make(wave_edits.Start(name, pool))

    async def halt_wave(self, wave: str) -> editor.Edited:
        """Let a wave start no more drains."""
        return await self._make(wave_edits.Halt(wave))

    async def resume_wave(self, wave: str) -> editor.Edited:
        """Let a halted wave go on."""
        return await self._make(wave_edits.Halt(wave, halted=False))

    async def _make(self, *steps: transitions.Transition) -> editor.Edited:
        read = await self._configuration.read()
        if isinstance(read, result.Failure):
            return read
        limits = budget.Limits.of(read.unwrap())
        return await self._editor.make_all(steps, limits)


def _wave_id(prefix: str) -> str:
    unique = uuid.uuid4().hex[:ID_DIGITS]
    return f'{prefix}-{unique}'
