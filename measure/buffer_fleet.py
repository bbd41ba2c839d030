"""A fleet of today's size in virtual time, under a steward's decisions."""

import dataclasses
from collections.abc import Iterator

from jackdawlatch.membership import budget, shards, spares, transitions
from jackdawlatch.model import hosts, presets, records
from jackdawlatch.steward import calls, fleet_client, host_listing, reconcile

STEP_S = 5.0
LIST_LAG_S = 15.0
REBOOT_S = 180.0
POOLS = ('bills', 'desk', 'match', 'texts')
HOSTS_PER_POOL = 6
PER_RACK = 4
ZONES = 3
SPARE = 'spare'


@dataclasses.dataclass
class Totals:
    """What one run adds up to."""

    moves: int = 0
    failures: int = 0
    over_budget_s: float = 0
    short_s: float = 0


def configuration(in_force: str) -> presets.Configuration:
    """Return four pools with a budget of one host, and a spare pool."""
    return presets.Configuration(
        version=1,
        in_force=in_force,
        pools_by_name={
            name: presets.Pool(name=name, spare=name == SPARE)
            for name in (*POOLS, SPARE)
        },
        presets_by_name={
            'ordinary': _preset('ordinary', 0),
            'peak': _preset('peak', 1),
        },
    )


def _preset(name: str, extra: int) -> presets.Preset:
    targets = {pool: presets.PoolTarget(hosts=HOSTS_PER_POOL) for pool in POOLS}
    # One pool has the peak.
    targets[POOLS[0]] = presets.PoolTarget(hosts=HOSTS_PER_POOL + extra)
    return presets.Preset(name=name, pools_by_name=targets)


class Fleet:
    """Hosts in virtual time under the real decisions of a steward."""

    def __init__(self, spare_hosts: int, policy: spares.SparePolicy) -> None:
        self.now_s: float = 0
        self.totals = Totals()
        self._memory = reconcile.Memory()
        self._policy = policy
        self.in_force = 'ordinary'
        self.value = shards.Shard()
        count = len(POOLS) * HOSTS_PER_POOL + spare_hosts
        self.hosts_by_id = {host.id: host for host in _hosts(count)}
        self.up_from_s: dict[str, float] = dict.fromkeys(self.hosts_by_id, 0)
        self._leaving: set[str] = set()
        self._listing = host_listing.HostListing(since_s=0)

    def limits(self) -> budget.Limits:
        """Return what the preset in force asks."""
        return budget.Limits.of(configuration(self.in_force))

    def down(self, host: str, seconds: float) -> None:
        """Take a host down; it comes back with empty memory."""
        self.up_from_s[host] = max(self.up_from_s[host], self.now_s + seconds)
        self._leaving.discard(host)

    def step(self, limit_s: float) -> None:
        """Do one pass, and move on to when there may be more to do."""
        self._listing = self._listing.with_list(self._listed(), self.now_s)
        plan = reconcile.reconcile(self._view(), self._policy, self._memory)
        self._memory = plan.memory
        outcome = transitions.apply_each(
            self.value, plan.changes, self.limits(), self.now_s
        )
        self._count_moves(outcome.value)
        self.value = outcome.value
        for call in plan.calls:
            if call.is_due(self.value):
                self._call(call)
        until_s = self.now_s + STEP_S
        if not plan.changes and not plan.calls:
            until_s = max(until_s, min(limit_s, self._next_s()))
        self._count_time(until_s - self.now_s)
        self.now_s = until_s

    def _next_s(self) -> float:
        """Return when a host comes back or a timer runs out."""
        timers = self._memory.timers
        since = (
            *timers.short_since_s_by_pool.values(),
            *timers.surplus_since_s_by_pool.values(),
        )
        wait_s = self._policy.return_after_s()
        at_s = [since_s + wait_s for since_s in since]
        at_s.extend(self.up_from_s.values())
        at_s.extend(up_s + LIST_LAG_S for up_s in self.up_from_s.values())
        return min((one for one in at_s if one > self.now_s), default=1e12)

    def _listed(self) -> Iterator[hosts.Host]:
        for host, described in self.hosts_by_id.items():
            live = self.up_from_s[host] + LIST_LAG_S <= self.now_s
            liveness = hosts.Liveness.LIVE if live else hosts.Liveness.DEAD
            yield records.replace(described, liveness=liveness)

    def _view(self) -> reconcile.View:
        states = {
            host.id: fleet_client.HostState(leaving=host.id in self._leaving)
            for host in reconcile.hosts_in_transition(self.value)
            if self.up_from_s[host.id] <= self.now_s
        }
        return reconcile.View(
            self.value, self.limits(), self._listing, states, self.now_s
        )

    def _count_moves(self, after: shards.Shard) -> None:
        for host, now in after.assignments_by_host.items():
            before = self.value.assignments_by_host.get(host)
            if before is not None and before.pool != now.pool:
                self.totals.moves += 1

    def _count_time(self, seconds: float) -> None:
        counts = budget.count(self.value, self.limits(), self.now_s)
        for pool in POOLS:
            over = counts.headroom(pool) < 0
            self.totals.over_budget_s += seconds if over else 0
            self.totals.short_s += seconds * counts.unavailable(pool)

    def _call(self, call: calls.Call) -> None:
        if isinstance(call, calls.Drain):
            self._leaving.add(call.host)
        elif isinstance(call, calls.Resume):
            self._leaving.discard(call.host)
        else:
            self.down(call.host, REBOOT_S)


def _hosts(count: int) -> Iterator[hosts.Host]:
    racks = -(-count // PER_RACK)
    for number in range(count):
        rack = number % racks
        yield hosts.Host(
            id=f'h{number:03}', zone=f'z{rack % ZONES}', rack=f'r{rack}'
        )
