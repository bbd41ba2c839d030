"""Puts together what the planner sees."""

import collections
from collections.abc import Callable

from jackdawlatch.model import hosts, presets, work
from jackdawlatch.placement import (
    attempts,
    policies,
    situation,
    usage,
    weights,
)
from jackdawlatch.placement import decisions as kinds
from jackdawlatch.placement import workers as judgements
from jackdawlatch.placer import tools

NO_POOL = ''

TasksByHost = dict[str, tuple[situation.Task, ...]]


class Planning:
    """Runs the planner that the preset in force names."""

    def __init__(
        self,
        own: tools.Tools,
        configuration: Callable[[], presets.Configuration],
    ) -> None:
        self._own = own
        self._configuration = configuration

    def plan(self) -> tuple[kinds.Decision, ...]:
        """Return the decisions of a round."""
        preset = self._configuration().preset
        return policies.create(preset.placement).plan(self.seen())

    def seen(self) -> situation.Situation:
        """Return what is known at this moment."""
        preset = self._configuration().preset
        return situation.Situation(
            now_s=self._own.clock.wall_s(),
            pools=self._pools(preset.ejection_cap),
            rng=self._own.rng,
            kind_weights=weights.of_shares(preset.shares),
            quotas_by_team=preset.quotas_by_team,
            expected=self._own.tracker.estimator.expected,
            failing_hosts=self._own.health.failing_hosts,
        )

    def pool_of(self, service: str) -> str:
        """Return the pool of a service, empty when it is unknown."""
        known = self._configuration().services_by_name.get(service)
        return known.pool if known else NO_POOL

    def _pools(self, cap: float) -> tuple[situation.Pool, ...]:
        machines = self._machines_by_pool(cap)
        tasks = self._tasks_by_pool()
        queued = self._queued_by_pool()
        claims = self._own.tracker.claims_by_job()
        return tuple(
            situation.Pool(
                name=name,
                machines=tuple(machines.get(name, ())),
                tasks_by_host=tasks.get(name, {}),
                queued=tuple(queued.get(name, ())),
                claims_by_job=claims,
            )
            for name in sorted({*machines, *tasks, *queued})
        )

    def _machines_by_pool(
        self, cap: float
    ) -> dict[str, list[situation.Machine]]:
        membership = self._own.sites.membership
        ids_by_pool: dict[str, list[str]] = collections.defaultdict(list)
        for host, assignment in membership.assignments_by_host.items():
            ids_by_pool[assignment.pool].append(host)
        return {
            pool: self._machines(ids, cap) for pool, ids in ids_by_pool.items()
        }

    def _machines(self, ids: list[str], cap: float) -> list[situation.Machine]:
        now_s = self._own.clock.monotonic_s()
        trusts_by_host = self._own.health.trusts(ids, cap, now_s)
        return [
            self._machine(host, trust) for host, trust in trusts_by_host.items()
        ]

    def _machine(self, host: str, trust: judgements.Trust) -> situation.Machine:
        return situation.Machine(
            id=host,
            capacity=self._own.sites.capacity(host),
            accepting=self._own.sites.accepts(host),
            draining=self._own.sites.drains(host),
            trust=trust,
        )

    def _tasks_by_pool(self) -> dict[str, TasksByHost]:
        assignments = self._own.sites.membership.assignments_by_host
        tasks: dict[str, TasksByHost] = collections.defaultdict(dict)
        for host, group in self._own.tracker.by_host().items():
            pool = _pool(assignments.get(host))
            tasks[pool][host] = tuple(map(self._task, group))
        return tasks

    def _task(self, attempt: attempts.Attempt) -> situation.Task:
        job = attempt.job
        full = self._own.tracker.estimator.expected(job)
        if attempt.peak:
            full = usage.counted(job, attempt.peak)
        return situation.Task(
            job=job,
            size=_slowed(full, attempt.fraction),
            ready=attempt.confirmed and not attempt.busy,
            leaving=attempt.leaving or attempt.end is not None,
            fraction=attempt.fraction,
            held=_slowed(attempt.held or full, attempt.fraction),
        )

    def _queued_by_pool(self) -> dict[str, list[work.Job]]:
        queued: dict[str, list[work.Job]] = collections.defaultdict(list)
        for job in sorted(self._own.view.queued_by_id.values(), key=_age):
            queued[self.pool_of(job.kind.service)].append(job)
        return queued


def _age(job: work.Job) -> tuple[float, str]:
    return (job.submitted_s, job.id)


def _slowed(size: hosts.Capacity, fraction: float) -> hosts.Capacity:
    return hosts.Capacity(
        processors=size.processors * fraction,
        memory_mb=size.memory_mb,
        accelerators=size.accelerators,
    )


def _pool(assignment: hosts.Assignment | None) -> str:
    return assignment.pool if assignment else NO_POOL
