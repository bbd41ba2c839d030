"""Sample jobs, with which the quotas of a configuration are compared."""

import pathlib
from collections.abc import Iterable, Iterator

from returns import result

from jackdawlatch.command import unified_files
from jackdawlatch.config import files, findings, quota_checks
from jackdawlatch.jobs import model, queues
from jackdawlatch.model import failures, records
from jackdawlatch.platform import ingress

SECTIONS = unified_files.SECTIONS


class Sample(records.StrictRecord, frozen=True, kw_only=True):
    """A job as it is submitted; without a team, one that all teams submit."""

    queue: str
    team: str = ''
    job: ingress.JobBody

    def to_job(self) -> model.Job:
        """Convert to the product's job."""
        queue = queues.Queue(self.queue, hostname='', prefix='', service='')
        return self.job.to_job('', queue, self.team)


class Samples(records.StrictRecord, frozen=True, kw_only=True):
    """The content of a file of sample jobs."""

    jobs: tuple[Sample, ...]


def check(
    file: pathlib.Path | None, catalog: queues.Catalog
) -> result.Result[Iterable[findings.Finding], failures.Problem]:
    """Check the quotas against the sample jobs in a file, if there is one."""
    if file is None:
        return result.Success(())
    return files.read(file, Samples).map(
        lambda samples: (
            *_unknown_names(samples, catalog),
            *quota_checks.check(
                SECTIONS.teams,
                catalog.declared.teams,
                map(Sample.to_job, samples.jobs),
            ),
        )
    )


def _unknown_names(
    samples: Samples, catalog: queues.Catalog
) -> Iterator[findings.Finding]:
    for sample in samples.jobs:
        if sample.queue not in catalog.queues_by_name:
            yield findings.warning(
                SECTIONS.queues, f'no queue {sample.queue!r} for a sample job'
            )
        if sample.team and sample.team not in catalog.teams_by_name:
            yield findings.warning(
                SECTIONS.teams, f'no team {sample.team!r} for a sample job'
            )
