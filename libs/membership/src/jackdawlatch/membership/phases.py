"""The transition from one phase of a host to the next."""

import dataclasses

from returns import result

from jackdawlatch.membership import drafts, shards, transitions
from jackdawlatch.model import hosts, records


@dataclasses.dataclass(frozen=True)
class Advance(transitions.Transition):
    """Go on to the next phase after the one that began at ``since_s``.

    Draining leads to a reboot if a wave asks for one, else to the next pool;
    a reboot leads to joining; joining ends when the host is known live.
    """

    host: str
    phase: hosts.Phase
    since_s: float

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Advance, unless the host is already past that phase."""
        found = transitions.expect_phase(draft, self.host, self.phase)
        if isinstance(found, result.Failure):
            return found
        present = found.unwrap()
        if present.since_s != self.since_s:
            return transitions.not_needed(self.host, 'a later phase began')
        if self.phase is hosts.Phase.JOINING and not _known_live(
            draft, self.host
        ):
            return transitions.not_needed(self.host, 'host is not known live')
        draft.put(self.host, _next(present, draft.now_s))
        if self.phase is hosts.Phase.REBOOTING:
            _finish_wave(draft, present.wave, self.host)
        return drafts.DONE


def _known_live(draft: drafts.Draft, host: str) -> bool:
    service = draft.service(host)
    return service not in {shards.Service.FAILED, shards.Service.UNKNOWN}


def _next(present: hosts.Assignment, now_s: float) -> hosts.Assignment:
    if present.phase is hosts.Phase.JOINING:
        return hosts.Assignment(
            pool=present.pool, phase=hosts.Phase.ACTIVE, since_s=now_s
        )
    if present.phase is hosts.Phase.DRAINING and present.wave:
        return records.replace(
            present, phase=hosts.Phase.REBOOTING, since_s=now_s
        )
    return hosts.Assignment(pool=shards.destination(present), since_s=now_s)


def _finish_wave(draft: drafts.Draft, wave_id: str, host: str) -> None:
    wave = draft.waves_by_id.get(wave_id)
    if wave is None or host in wave.done:
        return
    draft.waves_by_id[wave_id] = records.replace(
        wave,
        remaining=tuple(other for other in wave.remaining if other != host),
        done=(*wave.done, host),
    )
