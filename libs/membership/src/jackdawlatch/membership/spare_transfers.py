"""Plans which hosts the spare pool lends and takes back, and when."""

import dataclasses
from collections.abc import Iterator, Mapping

from jackdawlatch.membership import (
    budget,
    lending,
    shards,
    sizing,
    spares,
    spreads,
    transitions,
)

StartTimes = Mapping[str, float]


@dataclasses.dataclass(frozen=True)
class Timers:
    """Since when each pool has been short or in surplus without a break.

    The timers are kept in memory only.  A steward that takes over starts
    with empty ones, which can delay a move but never causes one.
    """

    short_since_s_by_pool: StartTimes = dataclasses.field(default_factory=dict)
    surplus_since_s_by_pool: StartTimes = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class LoanPlan:
    """Moves to make now, and the timers to pass to the next plan."""

    moves: tuple[transitions.Transition, ...]
    timers: Timers


class Planner:
    """Plans loans and returns for one value of a shard."""

    def __init__(
        self,
        value: shards.Shard,
        limits: budget.Limits,
        snapshot: budget.Snapshot,
        now_s: float,
    ) -> None:
        self._value = value
        self._limits = limits
        self._now_s = now_s
        self._counts = snapshot.counts
        self._availability_by_host = snapshot.availability_by_host
        self._present_by_pool: dict[str, list[str]] = {}
        self._assigned_by_pool: dict[str, list[str]] = {}
        for host, assignment in sorted(value.assignments_by_host.items()):
            self._present_by_pool.setdefault(assignment.pool, []).append(host)
            destination = shards.destination(assignment)
            self._assigned_by_pool.setdefault(destination, []).append(host)

    def plan(self, policy: spares.SparePolicy, timers: Timers) -> LoanPlan:
        """Return the moves that the policy makes now, and updated timers."""
        pools = self._limits.pools | self._present_by_pool.keys()
        other_pools = sorted(pools - {self._limits.spare_pool})
        needs = [self._need(pool) for pool in other_pools]
        updated = Timers(
            _update_start_times(
                timers.short_since_s_by_pool,
                [need.pool for need in needs if need.shortage > 0],
                self._now_s,
            ),
            _update_start_times(
                timers.surplus_since_s_by_pool,
                [need.pool for need in needs if need.shortage < 0],
                self._now_s,
            ),
        )
        moves = (
            *self._loans(policy, needs, updated.short_since_s_by_pool),
            *self._returns(policy, needs, updated.surplus_since_s_by_pool),
        )
        return LoanPlan(moves, updated)

    def _need(self, pool: str) -> spares.Need:
        return spares.Need(
            pool, self._counts.shortage(pool), self._counts.headroom(pool)
        )

    def _loans(
        self,
        policy: spares.SparePolicy,
        needs: list[spares.Need],
        since: StartTimes,
    ) -> Iterator[transitions.Transition]:
        due = [
            need
            for need in needs
            if need.shortage > 0
            and self._now_s - since[need.pool] >= policy.lend_after_s(need)
        ]
        if not due:
            return
        free = self._hosts_with(
            self._limits.spare_pool, shards.Availability.READY
        )
        reserve = self._reserve(policy)
        for need in sorted(due, key=_lending_order):
            yield from self._lend(need, free, reserve)

    def _lend(
        self, need: spares.Need, free: list[str], reserve: int
    ) -> Iterator[transitions.Transition]:
        failed = self._hosts_with(need.pool, shards.Availability.FAILED)
        spread = self._spread(need.pool)
        for _ in range(need.shortage):
            # The reserve replaces failed hosts only; it does not meet demand.
            reserved = 0 if failed else reserve
            if len(free) <= reserved:
                return
            yield lending.Lend(spread.take_least_crowded(free), need.pool)
            if failed:
                yield lending.Retire(failed.pop(0))

    def _returns(
        self,
        policy: spares.SparePolicy,
        needs: list[spares.Need],
        since: StartTimes,
    ) -> Iterator[transitions.Transition]:
        surplus = [need for need in needs if need.shortage < 0]
        if not surplus or self._keeps_surplus(policy):
            return
        for need in surplus:
            if self._now_s - since[need.pool] >= policy.return_after_s():
                yield from self._reclaim(need)

    def _reclaim(self, need: spares.Need) -> Iterator[transitions.Transition]:
        spread = self._spread(need.pool)
        ready = self._hosts_with(need.pool, shards.Availability.READY)
        for _ in range(min(-need.shortage, len(ready))):
            yield lending.Reclaim(spread.drop_most_crowded(ready))

    def _reserve(self, policy: spares.SparePolicy) -> int:
        return policy.reserve(sizing.failure_domain(self._value, self._limits))

    def _keeps_surplus(self, policy: spares.SparePolicy) -> bool:
        free = self._hosts_with(
            self._limits.spare_pool, shards.Availability.READY
        )
        return policy.keeps_surplus(len(free), self._reserve(policy))

    def _hosts_with(
        self, pool: str, availability: shards.Availability
    ) -> list[str]:
        return [
            host
            for host in self._present_by_pool.get(pool, ())
            if self._availability_by_host[host] is availability
        ]

    def _spread(self, pool: str) -> spreads.Spread:
        return spreads.Spread(
            self._value.hosts_by_id,
            (
                host
                for host in self._assigned_by_pool.get(pool, ())
                if self._availability_by_host[host]
                is not shards.Availability.FAILED
            ),
        )


def _update_start_times(
    before: StartTimes, pools: list[str], now_s: float
) -> StartTimes:
    return {pool: before.get(pool, now_s) for pool in pools}


def _lending_order(need: spares.Need) -> tuple[int, int, str]:
    return (need.headroom, -need.shortage, need.pool)
