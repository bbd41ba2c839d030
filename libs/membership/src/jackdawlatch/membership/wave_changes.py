"""Transitions that start, halt and resume maintenance waves."""

import dataclasses
from collections.abc import Iterator

from returns import result

from jackdawlatch.membership import drafts, refusals, transitions
from jackdawlatch.model import hosts, records

# Starting a wave removes all but this many of the finished ones.
KEPT_WAVES = 8


@dataclasses.dataclass(frozen=True)
class StartWave(transitions.Transition):
    """Start a wave over the hosts of a pool, or all if ``pool`` is empty."""

    id: str
    pool: str = ''

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Add a wave over the hosts that the pool has now."""
        if self.id in draft.waves_by_id:
            return transitions.not_needed('', f'wave {self.id} already exists')
        known = transitions.expect_pool(draft, self.pool)
        if self.pool and isinstance(known, result.Failure):
            return known
        remaining = tuple(sorted(self._hosts(draft)))
        wave = hosts.Wave(id=self.id, pool=self.pool, remaining=remaining)
        _add_wave(draft, wave)
        return drafts.DONE

    def _hosts(self, draft: drafts.Draft) -> Iterator[str]:
        for host, assignment in draft.assignments_by_host().items():
            if self.pool in {'', assignment.pool}:
                yield host


@dataclasses.dataclass(frozen=True)
class StartHostWave(transitions.Transition):
    """Start a wave over a host whose drain or move is in the same write."""

    id: str
    host: str

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Add the wave only; another transition starts the drain."""
        found = draft.assignment(self.host)
        if isinstance(found, result.Failure):
            return found
        wave = hosts.Wave(
            id=self.id, pool=found.unwrap().pool, remaining=(self.host,)
        )
        _add_wave(draft, wave)
        return drafts.DONE


@dataclasses.dataclass(frozen=True)
class SetHalted(transitions.Transition):
    """Stop a wave from starting drains, or let it start them again.

    Drains that have begun are completed in either case.
    """

    id: str
    halted: bool = True

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Halt the wave, or resume it when ``halted`` is false."""
        wave = draft.waves_by_id.get(self.id)
        if wave is None:
            return _unknown_wave(self.id)
        if wave.halted == self.halted:
            return transitions.not_needed(
                '', f'wave {self.id} is in that state already'
            )
        reason = 'halted by an operator' if self.halted else ''
        draft.waves_by_id[self.id] = records.replace(
            wave, halted=self.halted, reason=reason
        )
        return drafts.DONE


@dataclasses.dataclass(frozen=True)
class SetReason(transitions.Transition):
    """Record why a running wave starts no drains; empty if it may."""

    id: str
    reason: str

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Set the reason, unless an operator has halted the wave."""
        wave = draft.waves_by_id.get(self.id)
        if wave is None:
            return _unknown_wave(self.id)
        if wave.halted or wave.reason == self.reason:
            return transitions.not_needed(
                '', 'the wave is halted or has this reason already'
            )
        draft.waves_by_id[self.id] = records.replace(wave, reason=self.reason)
        return drafts.DONE


def _unknown_wave(wave: str) -> drafts.Refused:
    return result.Failure(refusals.Unknown(message=f'no wave {wave}'))


def _add_wave(draft: drafts.Draft, wave: hosts.Wave) -> None:
    draft.waves_by_id[wave.id] = wave
    finished = [
        other.id for other in draft.waves_by_id.values() if not other.remaining
    ]
    for old in finished[:-KEPT_WAVES]:
        draft.waves_by_id.pop(old)
