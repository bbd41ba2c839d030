"""Commands on maintenance waves."""

import dataclasses
from collections.abc import Callable

from returns import result

from jackdawlatch.command import operation, session, shards
from jackdawlatch.model import hosts


@dataclasses.dataclass(frozen=True)
class ListWaves(operation.Operation):
    """Lists waves and how far they are."""

    async def run(self, opened: session.Session) -> operation.Reported:
        """Read the membership."""
        found = await shards.membership(opened)
        if isinstance(found, result.Failure):
            return found
        waves = found.unwrap().waves_by_id
        lines = tuple(wave_line(wave) for _, wave in sorted(waves.items()))
        return result.Success(operation.Report(waves, lines))


@dataclasses.dataclass(frozen=True)
class StartWave(operation.Operation):
    """Starts a maintenance wave over one pool, or over all."""

    wave: str
    pool: str = ''

    async def run(self, opened: session.Session) -> operation.Reported:
        """Write the wave."""
        edits = shards.operators_of(opened)
        started = await edits.start_wave(self.pool, self.wave)
        return started.map(_wave_report(self.wave))


@dataclasses.dataclass(frozen=True)
class HaltWave(operation.Operation):
    """Halts a maintenance wave, or lets it go on."""

    wave: str
    halted: bool = True

    async def run(self, opened: session.Session) -> operation.Reported:
        """Write the wave's state."""
        edits = shards.operators_of(opened)
        edit = edits.halt_wave if self.halted else edits.resume_wave
        edited = await edit(self.wave)
        return edited.map(_wave_report(self.wave))


def _wave_report(
    wave: str,
) -> Callable[[hosts.Membership], operation.Report]:
    def report(value: hosts.Membership) -> operation.Report:
        present = value.waves_by_id[wave]
        return operation.Report(present, (wave_line(present),))

    return report


def wave_line(wave: hosts.Wave) -> str:
    """Return a wave as one line of text."""
    state = f'halted: {wave.reason}' if wave.halted else 'running'
    total = len(wave.done) + len(wave.remaining)
    return f'{wave.id} pool={wave.pool} {len(wave.done)}/{total} {state}'
