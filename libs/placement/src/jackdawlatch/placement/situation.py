"""What a planner sees: hosts, tasks and queued jobs, as of one moment."""

import dataclasses
import random
from collections.abc import Callable, Mapping

from jackdawlatch.model import hosts, presets, shares, work
from jackdawlatch.placement import sizes, weights, workers


@dataclasses.dataclass(frozen=True)
class Task:
    """One attempt of a job that a worker has, or is about to get.

    ``size`` is what it is counted for, ``held`` what its worker was asked to
    hold for it.  ``ready`` says that the worker has
    confirmed it, ``leaving`` that it is being stopped or checkpointed.
    """

    job: work.Job
    size: hosts.Capacity
    ready: bool = True
    leaving: bool = False
    fraction: float = 1
    held: hosts.Capacity = sizes.NOTHING

    @property
    def settled(self) -> bool:
        """Whether it runs and nothing is being done to it."""
        return self.ready and not self.leaving

    @property
    def movable(self) -> bool:
        """Whether it may be checkpointed.

        A job that is not idempotent is started once, so it stays put.
        """
        return self.settled and self.job.idempotent


@dataclasses.dataclass(frozen=True)
class Machine:
    """A host of the pool; ``accepting`` says that it takes new work."""

    id: str
    capacity: hosts.Capacity
    accepting: bool = True
    draining: bool = False
    trust: workers.Trust = workers.Trust.UNPROVEN


@dataclasses.dataclass(frozen=True)
class Pool:
    """One pool; ``queued`` is ordered by time of submission.

    ``claims_by_job`` names the host on which room is made for a job.
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
class Situation:
    """Everything a round of planning depends on.

    ``now_s`` is seconds since the epoch.  ``expected`` sizes a job that was
    not seen running; ``failing_hosts`` lists where a job failed before.
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


class Ledger:
    """What each team holds over all pools, against its quota."""

    def __init__(self, situation: Situation) -> None:
        self._quotas_by_team = situation.quotas_by_team
        self._held_by_team: dict[str, hosts.Capacity] = {}
        for pool in situation.pools:
            for tasks in pool.tasks_by_host.values():
                for task in tasks:
                    self.charge(task.job.kind.team, task.size)

    def charge(self, team: str, size: hosts.Capacity) -> None:
        """Add what a team has started."""
        held = self._held_by_team.get(team, sizes.NOTHING)
        self._held_by_team[team] = sizes.add(held, size)

    def allows(self, team: str, size: hosts.Capacity) -> bool:
        """Whether a team stays within its quota with one more job."""
        quota = self._quotas_by_team.get(team)
        if quota is None:
            return True
        held = sizes.add(self._held_by_team.get(team, sizes.NOTHING), size)
        return (
            held.processors <= quota.processors
            and held.memory_mb <= quota.memory_mb
        )
