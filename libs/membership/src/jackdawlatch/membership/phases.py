"""The transition that advances a host to its next phase."""

import dataclasses

from returns import result

from jackdawlatch.membership import drafts, shards, transitions
from jackdawlatch.model import hosts, records


@dataclasses.dataclass(frozen=True)
class Advance(transitions.Transition):
    """Advance a host from the phase that began at ``since_s`` to the next.

    A drained host is rebooted if a wave drains it.  Otherwise, or after the
    reboot, it joins its next pool, or its own pool again.  A joining host
    becomes active once it is known to be live.
    """

    host: str
    phase: hosts.Phase
    since_s: float

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Advance the host, unless it has left that phase already."""
        found = transitions.expect_phase(draft, self.host, self.phase)
        if isinstance(found, result.Failure):
            return found
        present = found.unwrap()
        if present.since_s != self.since_s:
            return transitions.not_needed(
                self.host, 'host has entered a later phase'
            )
        if self.phase is hosts.Phase.JOINING and not _known_live(
            draft, self.host
        ):
            return transitions.not_needed(
                self.host, 'host is not known to be live'
            )
        draft.put(self.host, _next_assignment(present, draft.now_s))
        if self.phase is hosts.Phase.REBOOTING:
            _record_host_done(draft, present.wave, self.host)
        return drafts.DONE


def _known_live(draft: drafts.Draft, host: str) -> bool:
    availability = draft.availability(host)
    return availability not in {
        shards.Availability.FAILED,
        shards.Availability.UNKNOWN,
    }


def _next_assignment(
    present: hosts.Assignment, now_s: float
) -> hosts.Assignment:
    if present.phase is hosts.Phase.JOINING:
        return hosts.Assignment(
            pool=present.pool, phase=hosts.Phase.ACTIVE, since_s=now_s
        )
    if present.phase is hosts.Phase.DRAINING and present.wave:
        return records.replace(
            present, phase=hosts.Phase.REBOOTING, since_s=now_s
        )
    return hosts.Assignment(pool=shards.destination(present), since_s=now_s)


def _record_host_done(draft: drafts.Draft, wave_id: str, host: str) -> None:
    wave = draft.waves_by_id.get(wave_id)
    if wave is None or host in wave.done:
        return
    draft.waves_by_id[wave_id] = records.replace(
        wave,
        remaining=tuple(other for other in wave.remaining if other != host),
        done=(*wave.done, host),
    )
