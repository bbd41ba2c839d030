"""Which hosts the spare pool lends and takes back, and when."""

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

Since = Mapping[str, float]


@dataclasses.dataclass(frozen=True)
class Timers:
    """Since when pools have been short or in surplus, without a break.

    They are kept in memory only: a steward that takes over starts anew,
    which delays a move and never causes one.
    """

    short_since_s_by_pool: Since = dataclasses.field(default_factory=dict)
    surplus_since_s_by_pool: Since = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Planned:
    """Loans and returns to make now, and the timers for the next time."""

    made: tuple[transitions.Transition, ...]
    timers: Timers


class Planner:
    """Plans on one value; short-lived."""

    def __init__(
        self,
        value: shards.Shard,
        limits: budget.Limits,
        surveyed: budget.Survey,
        now_s: float,
    ) -> None:
        self._value = value
        self._limits = limits
        self._now_s = now_s
        self._counts = surveyed.counts
        self._services_by_host = surveyed.services_by_host
        self._ids_by_pool: dict[str, list[str]] = {}
        self._bound_by_pool: dict[str, list[str]] = {}
        for host, assignment in sorted(value.assignments_by_host.items()):
            self._ids_by_pool.setdefault(assignment.pool, []).append(host)
            bound = shards.destination(assignment)
            self._bound_by_pool.setdefault(bound, []).append(host)

    def plan(self, policy: spares.SparePolicy, timers: Timers) -> Planned:
        """Return what the policy moves now."""
        pools = self._limits.pools | self._ids_by_pool.keys()
        ordinary = sorted(pools - {self._limits.spare})
        needs = [self._need(pool) for pool in ordinary]
        renewed = Timers(
            _renewed(
                timers.short_since_s_by_pool,
                [need.pool for need in needs if need.missing > 0],
                self._now_s,
            ),
            _renewed(
                timers.surplus_since_s_by_pool,
                [need.pool for need in needs if need.missing < 0],
                self._now_s,
            ),
        )
        made = (
            *self._loans(policy, needs, renewed.short_since_s_by_pool),
            *self._returns(policy, needs, renewed.surplus_since_s_by_pool),
        )
        return Planned(made, renewed)

    def _need(self, pool: str) -> spares.Need:
        return spares.Need(
            pool, self._counts.missing(pool), self._counts.headroom(pool)
        )

    def _loans(
        self, policy: spares.SparePolicy, needs: list[spares.Need], since: Since
    ) -> Iterator[transitions.Transition]:
        due = [
            need
            for need in needs
            if need.missing > 0
            and self._now_s - since[need.pool] >= policy.lend_after_s(need)
        ]
        if not due:
            return
        free = self._serving(self._limits.spare, shards.Service.READY)
        reserve = self._reserve(policy)
        for need in sorted(due, key=_urgency):
            yield from self._lend(need, free, reserve)

    def _lend(
        self, need: spares.Need, free: list[str], reserve: int
    ) -> Iterator[transitions.Transition]:
        failed = self._serving(need.pool, shards.Service.FAILED)
        spread = self._spread(need.pool)
        for _ in range(need.missing):
            # The reserve is there for failures, not for demand.
            kept = 0 if failed else reserve
            if len(free) <= kept:
                return
            yield lending.Lend(spread.take_least_crowded(free), need.pool)
            if failed:
                yield lending.Retire(failed.pop(0))

    def _returns(
        self, policy: spares.SparePolicy, needs: list[spares.Need], since: Since
    ) -> Iterator[transitions.Transition]:
        surplus = [need for need in needs if need.missing < 0]
        if not surplus or self._keeps_surplus(policy):
            return
        for need in surplus:
            if self._now_s - since[need.pool] >= policy.return_after_s():
                yield from self._give_back(need)

    def _give_back(self, need: spares.Need) -> Iterator[transitions.Transition]:
        spread = self._spread(need.pool)
        ready = self._serving(need.pool, shards.Service.READY)
        for _ in range(min(-need.missing, len(ready))):
            yield lending.GiveBack(spread.drop_most_crowded(ready))

    def _reserve(self, policy: spares.SparePolicy) -> int:
        return policy.reserve(sizing.failure_domain(self._value, self._limits))

    def _keeps_surplus(self, policy: spares.SparePolicy) -> bool:
        free = self._serving(self._limits.spare, shards.Service.READY)
        return policy.keeps_surplus(len(free), self._reserve(policy))

    def _serving(self, pool: str, service: shards.Service) -> list[str]:
        return [
            host
            for host in self._ids_by_pool.get(pool, ())
            if self._services_by_host[host] is service
        ]

    def _spread(self, pool: str) -> spreads.Spread:
        return spreads.Spread(
            self._value.hosts_by_id,
            (
                host
                for host in self._bound_by_pool.get(pool, ())
                if self._services_by_host[host] is not shards.Service.FAILED
            ),
        )


def _renewed(before: Since, pools: list[str], now_s: float) -> Since:
    return {pool: before.get(pool, now_s) for pool in pools}


def _urgency(need: spares.Need) -> tuple[int, int, str]:
    return (need.headroom, -need.missing, need.pool)
