"""Transitions of maintenance waves: started, halted, resumed, forgotten."""

import dataclasses
from collections.abc import Iterator

from returns import result

from jackdawlatch.membership import drafts, refusals, transitions
from jackdawlatch.model import hosts, records

KEPT_WAVES = 8


@dataclasses.dataclass(frozen=True)
class Start(transitions.Transition):
    """Start a wave over the hosts of a pool; an empty pool means all."""

    id: str
    pool: str = ''

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Write the hosts that are there now into the wave."""
        if self.id in draft.waves_by_id:
            return transitions.not_needed('', f'wave {self.id} exists')
        known = transitions.expect_pool(draft, self.pool)
        if self.pool and isinstance(known, result.Failure):
            return known
        remaining = tuple(sorted(self._hosts(draft)))
        wave = hosts.Wave(id=self.id, pool=self.pool, remaining=remaining)
        _add(draft, wave)
        return drafts.DONE

    def _hosts(self, draft: drafts.Draft) -> Iterator[str]:
        for host, assignment in draft.assignments_by_host().items():
            if self.pool in {'', assignment.pool}:
                yield host


@dataclasses.dataclass(frozen=True)
class StartForHost(transitions.Transition):
    """Start a wave over one host, which is drained in the same write."""

    id: str
    host: str

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Write the wave; the drain itself is a transition of its own."""
        found = draft.assignment(self.host)
        if isinstance(found, result.Failure):
            return found
        wave = hosts.Wave(
            id=self.id, pool=found.unwrap().pool, remaining=(self.host,)
        )
        _add(draft, wave)
        return drafts.DONE


@dataclasses.dataclass(frozen=True)
class Halt(transitions.Transition):
    """Let a wave start no more drains; those begun are completed."""

    id: str
    halted: bool = True

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Halt the wave, or resume it when ``halted`` is false."""
        wave = draft.waves_by_id.get(self.id)
        if wave is None:
            return _unknown(self.id)
        if wave.halted == self.halted:
            return transitions.not_needed('', f'wave {self.id} is so already')
        reason = 'halted by an operator' if self.halted else ''
        draft.waves_by_id[self.id] = records.replace(
            wave, halted=self.halted, reason=reason
        )
        return drafts.DONE


@dataclasses.dataclass(frozen=True)
class Note(transitions.Transition):
    """Write down why a running wave starts no drains, empty when it does."""

    id: str
    reason: str

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Keep the reason, unless an operator has halted the wave."""
        wave = draft.waves_by_id.get(self.id)
        if wave is None:
            return _unknown(self.id)
        if wave.halted or wave.reason == self.reason:
            return transitions.not_needed('', 'the reason stands')
        draft.waves_by_id[self.id] = records.replace(wave, reason=self.reason)
        return drafts.DONE


def _unknown(wave: str) -> drafts.Refused:
    return result.Failure(refusals.Unknown(message=f'no wave {wave}'))


def _add(draft: drafts.Draft, wave: hosts.Wave) -> None:
    draft.waves_by_id[wave.id] = wave
    finished = [
        other.id for other in draft.waves_by_id.values() if not other.remaining
    ]
    for old in finished[:-KEPT_WAVES]:
        draft.waves_by_id.pop(old)
