"""Which jobs of a soak may be lost."""

import pathlib
import tempfile
import types
from unittest import mock

from jackdawlatch.model import work
from jackdawlatch.standins import executions, job_checks, job_steps, outages
from jackdawlatch.testing import functions

JOB = 'j1'
RACK = 'r1'
HOST = types.SimpleNamespace(id='h1', rack=RACK)
RACK_DOWN_S = 100.0
RACK_UP_S = 105.0


def _lost_job_is_allowed(
    started_s: float,
    ended_s: float,
    rack: str = RACK,
    idempotent: bool = False,
) -> bool:
    """Check a job that is lost, and that ran until ``ended_s``; 0: no end."""
    outage_log = outages.OutageLog()
    outage = outages.Outage(RACK_DOWN_S, RACK_UP_S)
    outage_log._outages_by_name[rack] = [outage]
    deployment = mock.Mock()
    deployment.hosts.hosts = (HOST,)
    submission = job_steps.Submission('s', 't', '', idempotent=idempotent)
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory)
        log = executions.ExecutionLog(str(path / 'h1.starts'))
        begun = log.begin(
            executions.Execution(
                host=HOST.id, number=0, id=f'{JOB}:1', start_s=started_s
            )
        )
        if ended_s:
            log.end(begun, ended_s, 'done')
        bed = mock.Mock(directory=path, deployment=deployment)
        checks = job_checks.JobChecks(bed, {JOB: submission}, outage_log)
        checks._states_by_job[JOB] = work.JobState.LOST
        return not list(checks.violations())


def test_job_may_be_lost_with_its_rack() -> None:
    assert _lost_job_is_allowed(started_s=99, ended_s=0)


def test_end_may_be_lost_before_its_report() -> None:
    assert _lost_job_is_allowed(started_s=98, ended_s=98.7)


def test_reported_end_is_not_lost() -> None:
    assert not _lost_job_is_allowed(started_s=97, ended_s=98.4)


def test_job_on_another_rack_is_not_lost() -> None:
    assert not _lost_job_is_allowed(started_s=99, ended_s=0, rack='r2')


def test_repeatable_job_is_not_lost() -> None:
    assert not _lost_job_is_allowed(started_s=99, ended_s=0, idempotent=True)


load_tests = functions.loader(__name__)
