"""Builds the planner's input and runs the planner."""

import collections
from collections.abc import Callable

from jackdawlatch.model import hosts, presets, work
from jackdawlatch.placement import (
    attempts,
    decisions,
    policies,
    snapshots,
    usage,
    weights,
    worker_health,
)
from jackdawlatch.placer import shared

UNKNOWN_POOL = ''

TasksByHost = dict[str, tuple[snapshots.Task, ...]]


class RoundPlanner:
    """Runs the planner that the preset in force names."""

    def __init__(
        self,
        context: shared.Context,
        configuration: Callable[[], presets.Configuration],
    ) -> None:
        self._context = context
        self._configuration = configuration

    def plan(self) -> tuple[decisions.Decision, ...]:
        """Return the decisions of a round."""
        preset = self._configuration().preset
        return policies.create(preset.placement).plan(self.snapshot())

    def snapshot(self) -> snapshots.Snapshot:
        """Return the planner's input as of now."""
        preset = self._configuration().preset
        return snapshots.Snapshot(
            now_s=self._context.clock.wall_s(),
            pools=self._pools(preset.ejection_cap),
            rng=self._context.rng,
            kind_weights=weights.of_shares(preset.shares),
            quotas_by_team=preset.quotas_by_team,
            expected=self._context.tracker.estimator.expected,
            failing_hosts=self._context.health.failing_hosts,
        )

    def pool_of(self, service: str) -> str:
        """Return the pool of a service, empty when it is unknown."""
        known = self._configuration().services_by_name.get(service)
        return known.pool if known else UNKNOWN_POOL

    def _pools(self, max_barred_fraction: float) -> tuple[snapshots.Pool, ...]:
        machines = self._machines_by_pool(max_barred_fraction)
        tasks = self._tasks_by_pool()
        queued = self._queued_by_pool()
        claims = self._context.tracker.claims_by_job()
        return tuple(
            snapshots.Pool(
                name=name,
                machines=tuple(machines.get(name, ())),
                tasks_by_host=tasks.get(name, {}),
                queued=tuple(queued.get(name, ())),
                claims_by_job=claims,
            )
            for name in sorted({*machines, *tasks, *queued})
        )

    def _machines_by_pool(
        self, max_barred_fraction: float
    ) -> dict[str, list[snapshots.Machine]]:
        membership = self._context.host_status.membership
        ids_by_pool: dict[str, list[str]] = collections.defaultdict(list)
        for host, assignment in membership.assignments_by_host.items():
            ids_by_pool[assignment.pool].append(host)
        return {
            pool: self._machines(ids, max_barred_fraction)
            for pool, ids in ids_by_pool.items()
        }

    def _machines(
        self, ids: list[str], max_barred_fraction: float
    ) -> list[snapshots.Machine]:
        now_s = self._context.clock.monotonic_s()
        trusts_by_host = self._context.health.trusts(
            ids, max_barred_fraction, now_s
        )
        return [
            self._machine(host, trust) for host, trust in trusts_by_host.items()
        ]

    def _machine(
        self, host: str, trust: worker_health.Trust
    ) -> snapshots.Machine:
        return snapshots.Machine(
            id=host,
            capacity=self._context.host_status.capacity(host),
            accepting=self._context.host_status.accepts(host),
            draining=self._context.host_status.is_draining(host),
            trust=trust,
        )

    def _tasks_by_pool(self) -> dict[str, TasksByHost]:
        assignments = self._context.host_status.membership.assignments_by_host
        tasks: dict[str, TasksByHost] = collections.defaultdict(dict)
        for host, group in self._context.tracker.by_host().items():
            pool = _pool(assignments.get(host))
            tasks[pool][host] = tuple(map(self._task, group))
        return tasks

    def _task(self, attempt: attempts.Attempt) -> snapshots.Task:
        job = attempt.job
        full = self._context.tracker.estimator.expected(job)
        if attempt.peak:
            full = usage.observed_size(job, attempt.peak)
        return snapshots.Task(
            job=job,
            size=_throttled_size(full, attempt.fraction),
            ready=attempt.confirmed and not attempt.call_in_progress,
            leaving=attempt.leaving or attempt.end is not None,
            fraction=attempt.fraction,
            reserved=_throttled_size(
                attempt.reserved or full, attempt.fraction
            ),
        )

    def _queued_by_pool(self) -> dict[str, list[work.Job]]:
        queued: dict[str, list[work.Job]] = collections.defaultdict(list)
        for job in sorted(
            self._context.view.queued_by_id.values(), key=_submission_order
        ):
            queued[self.pool_of(job.kind.service)].append(job)
        return queued


def _submission_order(job: work.Job) -> tuple[float, str]:
    return (job.submitted_s, job.id)


def _throttled_size(size: hosts.Capacity, fraction: float) -> hosts.Capacity:
    return hosts.Capacity(
        processors=size.processors * fraction,
        memory_mb=size.memory_mb,
        accelerators=size.accelerators,
    )


def _pool(assignment: hosts.Assignment | None) -> str:
    return assignment.pool if assignment else UNKNOWN_POOL
