"""Transitions that move hosts between the spare pool and the others."""

import dataclasses

from returns import result

from jackdawlatch.membership import drafts, lifecycle, shards, transitions
from jackdawlatch.model import hosts


@dataclasses.dataclass(frozen=True)
class Lend(transitions.Transition):
    """Move a host from the spare pool to a pool that is short of hosts."""

    host: str
    pool: str

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Start the move if the host is spare and the pool is still short."""
        found = draft.assignment(self.host)
        if isinstance(found, result.Failure):
            return found
        if found.unwrap().pool != draft.limits.spare_pool:
            return transitions.not_needed(
                self.host, 'host is not in the spare pool'
            )
        if draft.counts.shortage(self.pool) <= 0:
            return transitions.not_needed(
                self.host, 'pool is not short of hosts'
            )
        return lifecycle.Move(self.host, self.pool).apply(draft)


@dataclasses.dataclass(frozen=True)
class Reclaim(transitions.Transition):
    """Move a host from a pool that has a surplus back to the spare pool."""

    host: str

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Start the move if the host's pool still has a surplus."""
        found = draft.assignment(self.host)
        if isinstance(found, result.Failure):
            return found
        if draft.counts.shortage(found.unwrap().pool) >= 0:
            return transitions.not_needed(self.host, 'pool has no surplus')
        return lifecycle.Move(self.host, draft.limits.spare_pool).apply(draft)


@dataclasses.dataclass(frozen=True)
class Retire(transitions.Transition):
    """Move a failed host, which a lent host replaces, to the spare pool."""

    host: str

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Move the host without a drain, because it serves no requests."""
        found = draft.assignment(self.host)
        if isinstance(found, result.Failure):
            return found
        spare = draft.limits.spare_pool
        failed = draft.availability(self.host) is shards.Availability.FAILED
        if not failed or found.unwrap().pool == spare or not spare:
            return transitions.not_needed(
                self.host,
                'host has not failed, or cannot move to a spare pool',
            )
        if draft.hosts_by_id()[self.host].liveness is hosts.Liveness.LEAVING:
            return transitions.not_needed(
                self.host, 'host is leaving the platform'
            )
        joining = hosts.Assignment(pool=spare, since_s=draft.now_s)
        draft.put(self.host, joining)
        return drafts.DONE
