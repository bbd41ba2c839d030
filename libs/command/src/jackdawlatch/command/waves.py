"""Commands on maintenance waves."""

import dataclasses
from collections.abc import Callable

from returns import result

from jackdawlatch.command import fleet_client, operation, shard_membership
from jackdawlatch.model import hosts


@dataclasses.dataclass(frozen=True)
class ListWaves(operation.Operation):
    """Lists maintenance waves with their progress."""

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Read the membership of the shard."""
        found = await shard_membership.read(client)
        if isinstance(found, result.Failure):
            return found
        waves = found.unwrap().waves_by_id
        lines = tuple(wave_line(wave) for _, wave in sorted(waves.items()))
        return result.Success(operation.Report(waves, lines))


@dataclasses.dataclass(frozen=True)
class StartWave(operation.Operation):
    """Starts a maintenance wave over one pool, or over all pools."""

    wave: str
    pool: str = ''

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Write the new wave to the store."""
        edits = shard_membership.operator_edits(client)
        started = await edits.start_wave(self.pool, self.wave)
        return started.map(_wave_report(self.wave))


@dataclasses.dataclass(frozen=True)
class HaltWave(operation.Operation):
    """Halts a maintenance wave, or resumes it."""

    wave: str
    halted: bool = True

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Write the new state of the wave to the store."""
        edits = shard_membership.operator_edits(client)
        edit = edits.halt_wave if self.halted else edits.resume_wave
        edited = await edit(self.wave)
        return edited.map(_wave_report(self.wave))


def _wave_report(
    wave: str,
) -> Callable[[hosts.Membership], operation.Report]:
    def report(membership: hosts.Membership) -> operation.Report:
        current = membership.waves_by_id[wave]
        return operation.Report(current, (wave_line(current),))

    return report


def wave_line(wave: hosts.Wave) -> str:
    """Format a wave as one line of text."""
    state = f'halted: {wave.reason}' if wave.halted else 'running'
    total_hosts = len(wave.done) + len(wave.remaining)
    return f'{wave.id} pool={wave.pool} {len(wave.done)}/{total_hosts} {state}'
