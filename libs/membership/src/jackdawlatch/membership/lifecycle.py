"""Transitions that begin something: a host admitted, moved, drained."""

import dataclasses

from returns import result

from jackdawlatch.membership import drafts, refusals, shards, transitions
from jackdawlatch.model import hosts, records


@dataclasses.dataclass(frozen=True)
class Admit(transitions.Transition):
    """Take in a new host, into the pool that lacks most hosts."""

    host: hosts.Host

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Admit the host, unless it is known already."""
        if self.host.id in draft.hosts_by_id():
            return transitions.not_needed(self.host.id, 'host is known')
        pool = _shortest(draft, self.host)
        if not pool:
            return transitions.not_needed(self.host.id, 'there is no pool')
        joining = hosts.Assignment(pool=pool, since_s=draft.now_s)
        draft.admit(self.host, joining)
        return drafts.DONE


@dataclasses.dataclass(frozen=True)
class Observe(transitions.Transition):
    """Take over what the platform says of a host; may exceed a budget."""

    host: hosts.Host
    unknown: bool = False

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Keep the description and whether it is too old."""
        found = draft.assignment(self.host.id)
        if isinstance(found, result.Failure):
            return found
        draft.observe(self.host, self.unknown)
        return drafts.DONE


@dataclasses.dataclass(frozen=True)
class Forget(transitions.Transition):
    """Remove a host that the platform no longer has."""

    host: str

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Remove the host from its pool and from every wave."""
        found = draft.assignment(self.host)
        if isinstance(found, result.Failure):
            return found
        if draft.service(self.host) is shards.Service.READY:
            return transitions.not_needed(self.host, 'host serves')
        draft.forget(self.host)
        for wave in tuple(draft.waves_by_id.values()):
            remaining = tuple(
                host for host in wave.remaining if host != self.host
            )
            draft.waves_by_id[wave.id] = records.replace(
                wave, remaining=remaining
            )
        return drafts.DONE


@dataclasses.dataclass(frozen=True)
class Move(transitions.Transition):
    """Take a host out of its pool's routing set, bound for another pool.

    ``wave`` names the wave that asks for a reboot on the way, if any.
    """

    host: str
    pool: str
    wave: str = ''

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Start the drain, within the budget of the pool that it leaves."""
        known = transitions.expect_pool(draft, self.pool)
        if isinstance(known, result.Failure):
            return known
        found = transitions.expect_phase(draft, self.host, hosts.Phase.ACTIVE)
        if isinstance(found, result.Failure):
            return found
        present = found.unwrap()
        if present.pool == self.pool:
            return transitions.not_needed(self.host, 'host is in that pool')
        draining = records.replace(
            present,
            phase=hosts.Phase.DRAINING,
            since_s=draft.now_s,
            next_pool=self.pool,
            wave=self.wave,
        )
        return draft.put_within_budget(self.host, draining)


@dataclasses.dataclass(frozen=True)
class Drain(transitions.Transition):
    """Take a host out of its pool's routing set, to be rebooted."""

    host: str
    wave: str

    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Start the drain, within the budget of the pool."""
        found = transitions.expect_phase(draft, self.host, hosts.Phase.ACTIVE)
        if isinstance(found, result.Failure):
            return found
        present = found.unwrap()
        zone = draft.hosts_by_id()[self.host].zone
        elsewhere = draft.counts.zones_in_work(present.pool) - {zone}
        if elsewhere:
            return _zone_busy(self.host, present.pool, min(elsewhere))
        draining = records.replace(
            present,
            phase=hosts.Phase.DRAINING,
            since_s=draft.now_s,
            wave=self.wave,
        )
        return draft.put_within_budget(self.host, draining)


def _zone_busy(host: str, pool: str, zone: str) -> drafts.Refused:
    return result.Failure(
        refusals.ZoneBusy(
            message=f'pool {pool} is under maintenance in zone {zone}',
            hint='wait until the hosts there serve again',
            host=host,
            pool=pool,
            zone=zone,
        )
    )


def _shortest(draft: drafts.Draft, host: hosts.Host) -> str:
    """Return the pool that lacks most, least crowded where the host is."""
    counts = draft.counts
    needs = [
        (-counts.missing(pool), counts.crowd(pool, host), pool)
        for pool in draft.limits.pools
        if counts.missing(pool) > 0
    ]
    if needs:
        return min(needs)[-1]
    return draft.limits.spare or min(draft.limits.pools, default='')
