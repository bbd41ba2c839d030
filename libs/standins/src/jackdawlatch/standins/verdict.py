"""What a soak has shown, once all faults are mended."""

import asyncio
import collections
from collections.abc import AsyncIterator, Iterator

from jackdawlatch.standins import (
    bench,
    callers,
    crowd,
    job_verdict,
    oracle,
    pools,
    waiting,
)

ROLL_OUT_S = 7.0
SETTLE_S = 120.0


class Verdict:
    """Gathers every violation of one soak."""

    def __init__(self, on: bench.Bench, whole: crowd.Crowd) -> None:
        self._on = on
        self._crowd = whole
        self._heard = whole.traffic.heard
        self._jobs = job_verdict.JobVerdict(on, self._heard.submissions_by_job)

    async def violations(self) -> tuple[oracle.Violation, ...]:
        """Let the deployment settle, and return what went wrong."""
        found = [one async for one in self._settled()]
        for rival in self._crowd.rivals:
            found.extend(await rival.violations())
        runs = oracle.requests_run(self._on.directory)
        found.extend(self._crowd.observer.violations)
        found.extend(oracle.Judge(self._heard.told, runs).violations())
        found.extend(oracle.late_work(self._on.directory))
        found.extend(self._cut_answers())
        found.extend(self._jobs.violations())
        found.extend(self._ended_processes())
        return tuple(found)

    def summary(self) -> Iterator[str]:
        """Yield lines that say how much was done."""
        outcomes = collections.Counter(
            one.outcome.value for one in self._heard.told
        )
        yield f'requests: {_counts(outcomes)}'
        yield f'jobs: {_counts(self._jobs.counts())}'
        edits = sum(one.edits for one in self._crowd.rivals)
        accepted = sum(one.accepted for one in self._crowd.rivals)
        yield f'edits: {accepted} of {edits} accepted'

    async def _settled(self) -> AsyncIterator[oracle.Violation]:
        if not await waiting.until(self._is_rolled_out, ROLL_OUT_S):
            yield oracle.Violation('not rolled out', f'in {ROLL_OUT_S} s')
        if not await waiting.until(self._jobs.are_final, SETTLE_S):
            yield oracle.Violation('jobs not final', f'in {SETTLE_S} s')

    async def _is_rolled_out(self) -> bool:
        stored = await pools.configuration(self._on.store)
        statuses = await asyncio.gather(
            *(self._on.driver.status(one) for one in self._on.daemon_names)
        )
        return all(
            status is not None
            and status.configuration_version == stored.version
            for status in statuses
        )

    def _cut_answers(self) -> Iterator[oracle.Violation]:
        """Yield answers that were cut though their entry was not away."""
        names_by_entry = {
            f'http://{entry.http_address}': name
            for name, entry in self._on.deployment.entries_by_name.items()
        }
        for told in self._heard.told:
            name = names_by_entry[told.asked.entry]
            cut = told.outcome is callers.Outcome.NO_ANSWER
            if cut and not self._crowd.outages.touched(
                name, told.sent_s, told.told_s
            ):
                yield oracle.Violation('an answer was cut', told.asked.id, name)

    def _ended_processes(self) -> Iterator[oracle.Violation]:
        for process in self._on.driver.processes.failed():
            detail = process.errors()
            yield oracle.Violation('a process ended', process.name, detail)


def _counts(counter: collections.Counter[str]) -> str:
    return ', '.join(
        f'{count} {name}' for name, count in sorted(counter.items())
    )
