"""Transitions that add, update and remove hosts, and that start drains."""

import dataclasses

from returns import result

from jackdawlatch.membership import drafts, refusals, shards, transitions
from jackdawlatch.model import hosts, records


@dataclasses.dataclass(frozen=True)
class AddHost(transitions.Transition):
    """Add a new host to the pool with the largest shortage."""

    host: hosts.Host

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Add the host, unless it is already known."""
        if self.host.id in draft.hosts_by_id():
            return transitions.not_needed(self.host.id, 'host is already known')
        pool = _choose_pool(draft, self.host)
        if not pool:
            return transitions.not_needed(
                self.host.id, 'the configuration has no pool'
            )
        joining = hosts.Assignment(pool=pool, since_s=draft.now_s)
        draft.add_host(self.host, joining)
        return drafts.DONE


@dataclasses.dataclass(frozen=True)
class UpdateHost(transitions.Transition):
    """Store the platform's latest description of a host.

    ``unknown`` is set when that description is too old to rely on.  Budgets
    are not checked, since the host's state has changed already.
    """

    host: hosts.Host
    unknown: bool = False

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Store the description, and whether the host's state is unknown."""
        found = draft.assignment(self.host.id)
        if isinstance(found, result.Failure):
            return found
        draft.update_host(self.host, self.unknown)
        return drafts.DONE


@dataclasses.dataclass(frozen=True)
class RemoveHost(transitions.Transition):
    """Remove a host that the platform no longer lists."""

    host: str

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Remove the host from its pool and from every wave."""
        found = draft.assignment(self.host)
        if isinstance(found, result.Failure):
            return found
        if draft.availability(self.host) is shards.Availability.READY:
            return transitions.not_needed(self.host, 'host is serving')
        draft.remove_host(self.host)
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
    """Drain a host in order to move it to another pool.

    ``wave`` names the wave that reboots the host before it joins the new
    pool; without one the host is not rebooted.
    """

    host: str
    pool: str
    wave: str = ''

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Start the drain, within the budget of the pool the host leaves."""
        known = transitions.expect_pool(draft, self.pool)
        if isinstance(known, result.Failure):
            return known
        found = transitions.expect_phase(draft, self.host, hosts.Phase.ACTIVE)
        if isinstance(found, result.Failure):
            return found
        present = found.unwrap()
        if present.pool == self.pool:
            return transitions.not_needed(
                self.host, 'host is already in that pool'
            )
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
    """Drain a host in order to reboot it."""

    host: str
    wave: str

    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Start the drain within the pool's budget, in one zone at a time."""
        found = transitions.expect_phase(draft, self.host, hosts.Phase.ACTIVE)
        if isinstance(found, result.Failure):
            return found
        present = found.unwrap()
        zone = draft.hosts_by_id()[self.host].zone
        elsewhere = draft.counts.zones_under_maintenance(present.pool) - {zone}
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
            hint='wait until the hosts in that zone serve again',
            host=host,
            pool=pool,
            zone=zone,
        )
    )


def _choose_pool(draft: drafts.Draft, host: hosts.Host) -> str:
    """Return the pool with the largest shortage, or the spare pool.

    Of pools with equal shortages, the one with the fewest hosts in the rack
    and zone of ``host`` is chosen.  Empty if there is no pool at all.
    """
    counts = draft.counts
    shortages = [
        (-counts.shortage(pool), counts.nearby_hosts(pool, host), pool)
        for pool in draft.limits.pools
        if counts.shortage(pool) > 0
    ]
    if shortages:
        return min(shortages)[-1]
    return draft.limits.spare_pool or min(draft.limits.pools, default='')
