"""Planner input: hosts, tasks and queued jobs at one moment."""

import dataclasses
import random
from collections.abc import Callable, Mapping

from jackdawlatch.model import hosts, presets, shares, work
from jackdawlatch.placement import sizes, weights, worker_health


@dataclasses.dataclass(frozen=True)
class Task:
    """An attempt of a job that a worker runs or is about to get.

    ``size`` is the usage that planning assumes, ``reserved`` what the worker
    was asked to reserve.  ``ready`` means that the worker has confirmed the
    task and no call about it is in progress, ``leaving`` that it is being
    stopped or checkpointed.
    """

    job: work.Job
    size: hosts.Capacity
    ready: bool = True
    leaving: bool = False
    fraction: float = 1
    reserved: hosts.Capacity = sizes.ZERO

    @property
    def actionable(self) -> bool:
        """Whether the task may be stopped, checkpointed or throttled now."""
        return self.ready and not self.leaving

    @property
    def movable(self) -> bool:
        """Whether the task may be checkpointed and moved.

        A job that is not idempotent is started only once, so it can't move.
        """
        return self.actionable and self.job.idempotent


@dataclasses.dataclass(frozen=True)
class Machine:
    """A host of the pool; ``accepting`` means that it takes new tasks."""

    id: str
    capacity: hosts.Capacity
    accepting: bool = True
    draining: bool = False
    trust: worker_health.Trust = worker_health.Trust.UNPROVEN


@dataclasses.dataclass(frozen=True)
class Pool:
    """One pool; ``queued`` is ordered by time of submission.

    ``claims_by_job`` names the host on which capacity is being freed for a
    job.
    """

    name: str
    machines: tuple[Machine, ...] = ()
    tasks_by_host: Mapping[str, tuple[Task, ...]] = dataclasses.field(
        default_factory=dict
    )
    queued: tuple[work.Job, ...] = ()
    claims_by_job: Mapping[str, str] = dataclasses.field(default_factory=dict)


def _declared(job: work.Job) -> hosts.Capacity:
    return job.declared


def _no_hosts(_job_id: str) -> frozenset[str]:
    return frozenset()


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """All input of a planning round.

    ``now_s`` is wall-clock time.  ``expected`` returns the size assumed for a
    job before its first usage reading, ``failing_hosts`` the hosts on which a
    job failed before.
    """

    now_s: float
    pools: tuple[Pool, ...]
    rng: random.Random
    kind_weights: shares.Weights = dataclasses.field(
        default_factory=weights.of_shares
    )
    quotas_by_team: Mapping[str, presets.Quota] = dataclasses.field(
        default_factory=dict
    )
    expected: Callable[[work.Job], hosts.Capacity] = _declared
    failing_hosts: Callable[[str], frozenset[str]] = _no_hosts


class QuotaUsage:
    """What each team uses in all pools, compared with its quota."""

    def __init__(self, snapshot: Snapshot) -> None:
        self._quotas_by_team = snapshot.quotas_by_team
        self._used_by_team: dict[str, hosts.Capacity] = {}
        for pool in snapshot.pools:
            for tasks in pool.tasks_by_host.values():
                for task in tasks:
                    self.charge(task.job.kind.team, task.size)

    def charge(self, team: str, size: hosts.Capacity) -> None:
        """Add the size of a task to its team."""
        used = self._used_by_team.get(team, sizes.ZERO)
        self._used_by_team[team] = sizes.add(used, size)

    def allows(self, team: str, size: hosts.Capacity) -> bool:
        """Whether a team stays within its quota with one more task."""
        quota = self._quotas_by_team.get(team)
        if quota is None:
            return True
        used = sizes.add(self._used_by_team.get(team, sizes.ZERO), size)
        return (
            used.processors <= quota.processors
            and used.memory_mb <= quota.memory_mb
        )
