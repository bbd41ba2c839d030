"""What the jobs of a team may hold and claim, with flooding teams."""

import contextlib
from collections.abc import Iterator

import scheduler_bench as benches
import scheduler_fleets as fleets

from jackdawlatch.jobs import model, queues
from jackdawlatch.model import presets, records, teams
from jackdawlatch.scheduler import (
    job_loader,
    lateness,
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
    **step: object,
) -> tasks.JobState:
    """Add a job that arrives now."""
    job = records.replace(
        benches.job(job_id, **step), team=team, accepted_s=accepted_s
    )
    fleet.loader.add(job, None, 0)
    return fleet.cluster.jobs_by_id[job_id]


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


load_tests = functions.loader(__name__, {'fleet': fleet})
