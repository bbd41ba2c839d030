import collections
import random
import types

import hypothesis

from jackdawlatch.model import hosts, presets, work
from jackdawlatch.placement import (
    decisions,
    policies,
    sizes,
    snapshots,
    worker_health,
)
from jackdawlatch.testing import functions

HOST = hosts.Capacity(processors=32, memory_mb=1024)
HOSTS = tuple(f'h{number}' for number in range(4))
QUICK = hypothesis.settings(
    max_examples=150, derandomize=True, deadline=None, database=None
)
QUOTAS_BY_TEAM = types.MappingProxyType(
    {'couriers': presets.Quota(processors=40)}
)
strategies = hypothesis.strategies


def _job(
    name: str,
    team: str = 'desk',
    urgency: work.Urgency = work.Urgency.BATCH,
    processors: float = 8,
    memory_mb: float = 0,
    **changes: object,
) -> work.Job:
    return work.Job(
        id=name,
        kind=work.Kind(service='match', team=team, urgency=urgency),
        declared=hosts.Capacity(processors=processors, memory_mb=memory_mb),
        run_time_s=60,
        **changes,  # type: ignore[arg-type]
    )


def _task(job: work.Job, **changes: object) -> snapshots.Task:
    return snapshots.Task(job, job.declared, **changes)  # type: ignore[arg-type]


def _full_pool(job_count: int = 4, **changes: object) -> snapshots.Pool:
    """Return a pool whose hosts are full of batch tasks."""
    return snapshots.Pool(
        'desk',
        tuple(snapshots.Machine(host, HOST) for host in HOSTS),
        {
            host: tuple(
                _task(_job(f'{host}-{number}', **changes))  # type: ignore[arg-type]
                for number in range(job_count)
            )
            for host in HOSTS
        },
    )


def _plan(
    pool: snapshots.Pool, *queued: work.Job, now_s: float = 0
) -> list[decisions.Decision]:
    snapshot = snapshots.Snapshot(
        now_s,
        (
            snapshots.Pool(
                pool.name,
                pool.machines,
                pool.tasks_by_host,
                queued,
                pool.claims_by_job,
            ),
        ),
        random.Random(1),
    )
    return list(policies.create('preempt').plan(snapshot))


def _of_type(
    planned: list[decisions.Decision], kind: type[decisions.Decision]
) -> list[decisions.Decision]:
    return [one for one in planned if isinstance(one, kind)]


def test_urgent_job_preempts_in_a_full_pool() -> None:
    urgent = _job('u', urgency=work.Urgency.URGENT)
    planned = _plan(_full_pool(), urgent)
    assert _of_type(planned, decisions.Claim)
    assert _of_type(planned, decisions.Throttle)
    assert not _of_type(planned, decisions.Checkpoint)


def test_non_idempotent_job_is_never_checkpointed() -> None:
    pool = _full_pool(idempotent=False)
    urgent = _job('u', urgency=work.Urgency.URGENT, processors=30)
    assert not _of_type(_plan(pool, urgent), decisions.Checkpoint)


def test_many_urgent_jobs_leave_others_their_share() -> None:
    flood = [
        _job(f'u{number}', 'rush', work.Urgency.URGENT, memory_mb=256)
        for number in range(200)
    ]
    planned = _plan(_full_pool(memory_mb=256), *flood, now_s=100)
    # Weights of 4 and 1 leave the batch jobs a fifth of 16 tasks.
    assert len(_of_type(planned, decisions.Checkpoint)) == 12
    assert len(_of_type(planned, decisions.Claim)) == 12


def test_many_batch_jobs_do_not_starve_later_jobs() -> None:
    pool = _full_pool(team='flood')
    late = _job('n', 'desk', work.Urgency.NORMAL, submitted_s=0)
    waiting = _plan(pool, late, now_s=1)
    assert _of_type(waiting, decisions.Wait)
    assert _of_type(_plan(pool, late, now_s=11), decisions.Claim)


def test_claimed_capacity_goes_to_the_claiming_job() -> None:
    pool = _full_pool(job_count=3)
    claimed = _job('c', urgency=work.Urgency.URGENT, submitted_s=5)
    others = [_job(f'n{number}', 'other') for number in range(8)]
    held = snapshots.Pool(
        pool.name, pool.machines, pool.tasks_by_host, (), {'c': 'h2'}
    )
    planned = _plan(held, *others, claimed)
    starts = _of_type(planned, decisions.Start)
    assert starts[0] == decisions.Start('c', 'h2')


def test_failing_worker_is_barred_within_the_cap() -> None:
    health = worker_health.Health()
    for number in range(5):
        health.record_succeeded('h1', _job('good'))
        health.record_failed('h0', _job(f'j{number}'), 0)
    trusts = health.trusts(HOSTS, 0.34, 1)
    assert trusts['h0'] is worker_health.Trust.BARRED
    assert trusts['h1'] is worker_health.Trust.PROVEN
    assert health.trusts(HOSTS, 0.34, 11)['h0'] is worker_health.Trust.PROBING
    assert health.trusts(HOSTS, 0, 1)['h0'] is worker_health.Trust.PROBING


def test_job_that_fails_everywhere_is_at_fault() -> None:
    health = worker_health.Health()
    bad = _job('bad')
    for host in HOSTS[:2]:
        health.record_failed(host, bad, 0)
        assert not health.at_fault(bad)
    health.record_failed(HOSTS[2], bad, 0)
    assert health.at_fault(bad)


JOBS = strategies.builds(
    _job,
    name=strategies.uuids().map(str),
    team=strategies.sampled_from(['desk', 'couriers']),
    urgency=strategies.sampled_from(work.Urgency),
    processors=strategies.integers(1, 40),
    idempotent=strategies.booleans(),
    cancel=strategies.booleans(),
    submitted_s=strategies.integers(0, 100),
)
TASKS = strategies.builds(
    _task,
    JOBS,
    leaving=strategies.booleans(),
    ready=strategies.booleans(),
)
MACHINES = strategies.builds(
    snapshots.Machine,
    strategies.just(''),
    strategies.just(HOST),
    strategies.booleans(),
    strategies.booleans(),
    strategies.sampled_from(worker_health.Trust),
)


@QUICK
@hypothesis.given(
    machines=strategies.lists(MACHINES, min_size=4, max_size=4),
    tasks=strategies.lists(TASKS, max_size=12),
    queued=strategies.lists(JOBS, max_size=12),
    policy=strategies.sampled_from(policies.names()),
)
def test_plans_respect_capacity_trust_and_quota(
    machines: list[snapshots.Machine],
    tasks: list[snapshots.Task],
    queued: list[work.Job],
    policy: str,
) -> None:
    named = tuple(
        snapshots.Machine(
            host,
            machine.capacity,
            machine.accepting,
            machine.draining,
            machine.trust,
        )
        for host, machine in zip(HOSTS, machines, strict=True)
    )
    tasks_by_host = {
        host: tuple(tasks[number::4]) for number, host in enumerate(HOSTS)
    }
    fresh = tuple(job for job in queued if not job.cancel)
    pool = snapshots.Pool('desk', named, tasks_by_host, fresh)
    snapshot = snapshots.Snapshot(
        100, (pool,), random.Random(1), quotas_by_team=QUOTAS_BY_TEAM
    )
    planned = policies.create(policy).plan(snapshot)
    _check(pool, planned, policy)


def _check(
    pool: snapshots.Pool,
    planned: tuple[decisions.Decision, ...],
    policy: str,
) -> None:
    machines = {machine.id: machine for machine in pool.machines}
    jobs = {job.id: job for job in pool.queued}
    running = {
        task.job.id: task
        for tasks in pool.tasks_by_host.values()
        for task in tasks
    }
    added: dict[str, list[work.Job]] = collections.defaultdict(list)
    for one in planned:
        if isinstance(one, decisions.Start):
            assert machines[one.host].accepting
            # The baseline planner ignores the health of workers.
            trusted = machines[one.host].trust > worker_health.Trust.BARRED
            assert trusted or policy == 'queue'
            added[one.host].append(jobs.pop(one.job_id))
        if isinstance(one, decisions.Checkpoint | decisions.Throttle):
            assert running[one.job_id].actionable
        if isinstance(one, decisions.Checkpoint):
            assert running[one.job_id].job.idempotent
    started = [job for batch in added.values() for job in batch]
    _check_capacity(pool, added)
    _check_quota([*started, *(task.job for task in running.values())], started)


def _check_capacity(
    pool: snapshots.Pool, added: dict[str, list[work.Job]]
) -> None:
    for host, batch in added.items():
        held = pool.tasks_by_host[host]
        used = sum(task.size.processors for task in held)
        used += sum(job.declared.processors for job in batch)
        alone = len(held) + len(batch) == 1
        assert alone or used <= HOST.processors + sizes.TOLERANCE


def _check_quota(held: list[work.Job], started: list[work.Job]) -> None:
    limited = [job for job in held if job.kind.team == 'couriers']
    if any(job.kind.team == 'couriers' for job in started):
        assert sum(job.declared.processors for job in limited) <= 40


load_tests = functions.loader(__name__)
