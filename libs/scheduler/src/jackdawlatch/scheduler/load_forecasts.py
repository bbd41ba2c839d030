"""Forecasts how long new work waits, from the open work and the workers."""

import collections
import dataclasses
import itertools
import weakref
from collections.abc import Mapping

from jackdawlatch.jobs import load_sightings
from jackdawlatch.policy import backlog, shedding
from jackdawlatch.scheduler import cluster_state, tasks, workers


@dataclasses.dataclass(frozen=True)
class Machines:
    """How many machines each service could use, and how many will join."""

    wanted_by_service: Mapping[str, int]
    joining: int = 0


class Forecaster:
    """Adds up the open work and the capacity of each service."""

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        self._cluster = cluster
        # Chains are the same for as long as a job exists.
        self._chains_s_by_job: weakref.WeakKeyDictionary[
            tasks.JobState, float
        ] = weakref.WeakKeyDictionary()

    def levels(
        self, machines: Machines
    ) -> dict[str, tuple[backlog.Level, ...]]:
        """Return the levels of the overloaded services."""
        backlogs = self._backlogs()
        pool = _Pool(self._cluster, machines)
        open_core_s = sum(known.core_s for known in backlogs.values())
        levels = {
            service: known.levels(
                backlog.capacity(
                    pool.share(service), open_core_s - known.core_s
                )
            )
            for service, known in backlogs.items()
            # Without any worker the capacity is not known.
            if pool.total_cores
        }
        return {service: waits for service, waits in levels.items() if waits}

    def _backlogs(self) -> dict[str, backlog.Backlog]:
        backlogs: dict[str, backlog.Backlog] = collections.defaultdict(
            backlog.Backlog
        )
        clock = self._cluster.dependencies.clock
        now_s, wall_s = clock.monotonic_s(), clock.wall_s()
        for job in self._cluster.jobs_by_id.values():
            if job.ended or job.lasting:
                continue
            _add_running(job, backlogs[job.service])
            if _delays_others(job):
                open_job = self._open_job(job, now_s, wall_s)
                if open_job is not None:
                    backlogs[job.service].add(open_job)
        return backlogs

    def _open_job(
        self, job: tasks.JobState, now_s: float, wall_s: float
    ) -> backlog.OpenJob | None:
        """Return the waiting work of a job, None if there is none."""
        queue = job.queue
        if queue is None:
            return None
        waiting_core_s = sum(map(_waiting_core_s, job.steps))
        if not waiting_core_s:
            return None
        ready = tasks.waiting_steps(job, wall_s)
        ready_core_s = sum(map(_waiting_core_s, ready))
        chain_s = self._chains_s_by_job.get(job)
        if chain_s is None:
            chain_s = load_sightings.estimated_chain_s(job.job)
            self._chains_s_by_job[job] = chain_s
        objective_s = queue.slack_factor * chain_s + queue.target_s
        latest_s = job.accepted_s - chain_s - now_s
        return backlog.OpenJob(
            queue.priority,
            ready_core_s,
            sum(map(_waiting_cores, ready)),
            waiting_core_s - ready_core_s,
            chain_s,
            latest_s + objective_s,
            latest_s + shedding.USEFUL_OBJECTIVES * objective_s,
        )


class _Pool:
    """The cores of the workers, by service.

    Workers that are registered and not usable now, for maintenance or since a
    poll was not answered, count as arriving.
    """

    def __init__(
        self, cluster: cluster_state.ClusterState, machines: Machines
    ) -> None:
        self._wanted_by_service = machines.wanted_by_service
        self._present: dict[str, list[float]] = collections.defaultdict(list)
        self._returning: dict[str, list[float]] = collections.defaultdict(list)
        serving = cluster.catalog.serving_services()
        for worker in cluster.workers_by_id.values():
            service = worker.entry.service
            if service in serving and worker.usable:
                self._present[service].append(_open_cores(worker))
            elif service in serving and _may_return(worker):
                self._returning[service].append(_open_cores(worker))
        known = list(
            itertools.chain(*self._present.values(), *self._returning.values())
        )
        self._mean_cores = sum(known) / max(1, len(known))
        self.total_cores = sum(known) + machines.joining * self._mean_cores

    def share(self, service: str) -> backlog.Share:
        """Return the cores that a service has, and those it may get."""
        present = self._present.get(service, ())
        returning = self._returning.get(service, ())
        wanted = self._wanted_by_service.get(service, 0)
        missing = max(0, wanted - len(present) - len(returning))
        return backlog.Share(
            sum(present),
            sum(present) + sum(returning) + missing * self._mean_cores,
            self.total_cores,
        )


def _delays_others(job: tasks.JobState) -> bool:
    """Whether new jobs may wait for a job.

    Repeated jobs wait for their time, and what a team sends beyond its share
    goes behind the jobs of others.
    """
    return job.claim.within_share and not job.job.repeat_count


def _add_running(job: tasks.JobState, known: backlog.Backlog) -> None:
    for state in job.steps:
        running_count = state.step.count - state.done_count
        running_count -= state.waiting_count
        if running_count > 0:
            known.add_running(
                running_count * load_sightings.cores(state.step),
                state.step.estimate_s,
            )


def _waiting_cores(state: tasks.StepState) -> float:
    if not state.waiting_count:
        return 0
    return state.waiting_count * load_sightings.cores(state.step)


def _waiting_core_s(state: tasks.StepState) -> float:
    return _waiting_cores(state) * state.step.estimate_s


def _open_cores(worker: workers.Worker) -> float:
    """Return the cores of a worker without those of lasting tasks."""
    cores = worker.entry.room.processors_m / load_sightings.MILLICORES_PER_CORE
    held = sum(
        load_sightings.cores(run.task.step)
        for run in worker.runs_by_task.values()
        if run.task.step.lasting
    )
    return max(0, cores - held)


def _may_return(worker: workers.Worker) -> bool:
    return worker.registered and not worker.entry.draining
