"""Transitions between the spare pool and the others."""

import dataclasses

from returns import result

from jackdawlatch.membership import drafts, lifecycle, shards, transitions
from jackdawlatch.model import hosts


@dataclasses.dataclass(frozen=True)
class Lend(transitions.Transition):
    """Move a host from the spare pool to a pool that lacks hosts."""

    host: str
    pool: str

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Start the move if the host is spare and the pool still short."""
        found = draft.assignment(self.host)
        if isinstance(found, result.Failure):
            return found
        if found.unwrap().pool != draft.limits.spare:
            return transitions.not_needed(self.host, 'host is not spare')
        if draft.counts.missing(self.pool) <= 0:
            return transitions.not_needed(self.host, 'pool is not short')
        return lifecycle.Move(self.host, self.pool).make(draft)


@dataclasses.dataclass(frozen=True)
class GiveBack(transitions.Transition):
    """Move a host from a pool that has too many to the spare pool."""

    host: str

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Start the move if its pool still has a host too many."""
        found = draft.assignment(self.host)
        if isinstance(found, result.Failure):
            return found
        if draft.counts.missing(found.unwrap().pool) >= 0:
            return transitions.not_needed(self.host, 'pool needs the host')
        return lifecycle.Move(self.host, draft.limits.spare).make(draft)


@dataclasses.dataclass(frozen=True)
class Retire(transitions.Transition):
    """Put a failed host, for which another is lent, into the spare pool."""

    host: str

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Move the host at once: it has nothing to drain."""
        found = draft.assignment(self.host)
        if isinstance(found, result.Failure):
            return found
        spare = draft.limits.spare
        failed = draft.service(self.host) is shards.Service.FAILED
        if not failed or found.unwrap().pool == spare or not spare:
            return transitions.not_needed(self.host, 'host stays')
        if draft.hosts_by_id()[self.host].liveness is hosts.Liveness.LEAVING:
            return transitions.not_needed(self.host, 'host leaves anyway')
        joining = hosts.Assignment(pool=spare, since_s=draft.now_s)
        draft.put(self.host, joining)
        return drafts.DONE
