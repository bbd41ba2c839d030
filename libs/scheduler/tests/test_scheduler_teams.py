"""What the jobs of a team may hold and claim, with flooding teams."""

import contextlib
from collections.abc import Iterator

import scheduler_bench as benches
import scheduler_fleets as fleets

from jackdawlatch.jobs import model, queues
from jackdawlatch.model import presets, records, teams
from jackdawlatch.scheduler import (
    job_loader,
    job_order,
    lateness,
    planner,
    round_times,
    tasks,
)
from jackdawlatch.testing import functions

NOW = round_times.RoundTime(monotonic_s=100, wall_s=100)


@contextlib.contextmanager
def fleet() -> Iterator[fleets.Fleet]:
    """Yield a cluster with the teams ``a``, of one job a second, and ``b``."""
    created = fleets.Fleet()
    configure(created, a_cores=4)
    yield created


def configure(
    fleet: fleets.Fleet, a_cores: float = 4, version: int = 2
) -> None:
    """Put a configuration in force; without cores there is no team ``a``."""
    a = teams.Team(
        name='a', weight=1, quota=presets.Quota(processors=a_cores)
    )
    b = teams.Team(name='b', weight=100)
    fleet.cluster.replace_catalog(
        queues.Catalog(
            version,
            (benches.QUEUE,),
            (queues.Service('photo'),),
            (a, b) if a_cores else (b,),
        )
    )


def submit(
    fleet: fleets.Fleet,
    job_id: str,
    accepted_s: float = 0,
    team: str = 'a',
    version: int = 0,
    **step: object,
) -> tasks.JobState:
    """Add a job that arrives now."""
    job = records.replace(
        benches.job(job_id, **step),
        team=team,
        accepted_s=accepted_s,
        version=version,
    )
    fleet.loader.add(job, None, 0)
    return fleet.cluster.jobs_by_id[job_id]


def planned(fleet: fleets.Fleet) -> list[str]:
    """Return the jobs of the tasks that a round would place now."""
    judged = lateness.Lateness()
    plan = planner.Planner(
        job_order.ObjectiveOrder(judged), judged, None
    ).plan(
        fleet.cluster.jobs_by_id.values(),
        {'photo': list(fleet.cluster.workers_by_id.values())},
        NOW,
    )
    return [placed.task.id.job for placed in plan.placements]


def test_lasting_job_beyond_the_share_gives_no_way(fleet):
    """Guards against lasting tasks that wait beside withheld machines."""
    judged = lateness.Lateness()
    submit(fleet, 'first')
    for lasting in (False, True):
        job = submit(fleet, f'flood-{lasting}', lasting=lasting)
        assert not job.claim.within_share
        assert judged.gives_way(job, NOW) is not lasting


def test_next_leader_finds_the_same_claims(fleet):
    """Guards against jobs that arrive at once when a watch was interrupted.

    The next leader reads them all at once, those that have ended included.
    """
    ends = (None, None, 'cancelled', None, None, 'done', None, None)
    for number, end in enumerate(ends):
        job = submit(fleet, str(number), accepted_s=number / 2)
        if end == 'cancelled':
            fleet.loader.cancel(job.job.id)
        elif end:
            job.phase = job.phase.DONE
    known = fleet.cluster.jobs_by_id.copy()
    fleet.cluster.jobs_by_id.clear()
    fleet.clock.advance(60)
    fleet.loader = job_loader.JobLoader(fleet.cluster)
    for job in known.values():
        fleet.loader.add(job.job, job.progress(), 1, age_s=7.3)
    restored = fleet.cluster.jobs_by_id
    for jobs in (known, restored):
        within = [job.claim.within_share for job in jobs.values()]
        assert within == [True, False] * (len(ends) // 2)


def test_clock_of_an_entry_takes_no_claims(fleet):
    """Guards against entries whose clocks differ by more than a second."""
    for number in range(8):
        skew_s = 30 * (number % 2)
        job = submit(fleet, str(number), accepted_s=100 + number + skew_s)
        assert job.claim.within_share


def test_quota_that_the_leader_does_not_know_yet(fleet):
    """Guards against a flood of a team that was just added, or a new leader.

    An entry may have a version of the configuration before the leader has it.
    """
    configure(fleet, a_cores=0, version=4)
    submit(fleet, 'added', version=5, count=9)
    worker = fleet.boot('w')
    assert not planned(fleet)
    configure(fleet, a_cores=2, version=5)
    assert planned(fleet) == ['added'] * 2
    fleet.cluster.replace_catalog(queues.Catalog())
    submit(fleet, 'early', team='c', version=5)
    assert worker.usable
    assert 'early' not in planned(fleet)


def test_removed_team_keeps_its_last_quota(fleet):
    """Its jobs go on; a leader that never knew the team has no limit."""
    configure(fleet, a_cores=2, version=5)
    submit(fleet, 'known', version=5, count=9)
    fleet.boot('w')
    configure(fleet, a_cores=0, version=6)
    assert planned(fleet) == ['known'] * 2
    submit(fleet, 'renamed', team='former', version=5)
    assert 'renamed' in planned(fleet)
    configure(fleet, a_cores=1, version=7)
    assert planned(fleet).count('known') == 1


load_tests = functions.loader(__name__, {'fleet': fleet})
