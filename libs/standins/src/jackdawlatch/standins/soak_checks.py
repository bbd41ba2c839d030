"""Checks a deployment after a soak, when no fault is in force."""

import asyncio
import collections
import time
from collections.abc import AsyncIterator, Iterator

from jackdawlatch.standins import (
    callers,
    fleet_state,
    job_checks,
    oracle,
    soak_workload,
    testbed,
    waiting,
)

ROLL_OUT_TIMEOUT_S = 7.0
SETTLE_TIMEOUT_S = 120.0


class SoakChecks:
    """Collects the violations of one soak."""

    def __init__(
        self, bed: testbed.Testbed, workload: soak_workload.Workload
    ) -> None:
        self._bed = bed
        self._workload = workload
        self._traffic_log = workload.traffic.log
        self._jobs = job_checks.JobChecks(
            bed, self._traffic_log.submissions_by_job, workload.outage_log
        )

    async def violations(self) -> tuple[oracle.Violation, ...]:
        """Wait until the deployment has settled, and return all violations."""
        found = [one async for one in self._wait_until_settled()]
        for editor in self._workload.editors:
            found.extend(await editor.violations())
        runs = oracle.read_request_executions(self._bed.directory)
        found.extend(self._workload.observer.violations)
        found.extend(
            oracle.ResponseChecker(self._traffic_log.calls, runs).violations()
        )
        found.extend(oracle.late_requests(self._bed.directory))
        found.extend(self._cut_answers())
        found.extend(self._jobs.violations())
        found.extend(self._ended_processes())
        return tuple(found)

    def summary(self) -> Iterator[str]:
        """Yield lines that count requests, jobs and edits."""
        outcomes = collections.Counter(
            one.outcome.value for one in self._traffic_log.calls
        )
        yield f'requests: {_counts(outcomes)}'
        yield f'jobs: {_counts(self._jobs.counts())}'
        edits = sum(one.edits for one in self._workload.editors)
        accepted = sum(one.accepted for one in self._workload.editors)
        yield f'edits: {accepted} of {edits} accepted'

    async def _wait_until_settled(self) -> AsyncIterator[oracle.Violation]:
        if not await waiting.until(self._is_rolled_out, ROLL_OUT_TIMEOUT_S):
            yield oracle.Violation(
                'configuration not rolled out', f'in {ROLL_OUT_TIMEOUT_S} s'
            )
        if not await waiting.until(self._jobs.are_final, SETTLE_TIMEOUT_S):
            yield oracle.Violation('jobs not final', f'in {SETTLE_TIMEOUT_S} s')

    async def _is_rolled_out(self) -> bool:
        stored = await fleet_state.read_configuration(self._bed.store)
        statuses = await asyncio.gather(
            *(self._bed.driver.status(one) for one in self._bed.daemon_names)
        )
        return all(
            status is not None
            and status.configuration_version == stored.version
            for status in statuses
        )

    def _cut_answers(self) -> Iterator[oracle.Violation]:
        """Yield answers that were cut off though their entry was not down."""
        names_by_entry = {
            f'http://{entry.http_address}': name
            for name, entry in self._bed.deployment.entries_by_name.items()
        }
        for call in self._traffic_log.calls:
            name = names_by_entry[call.request.entry]
            cut = call.outcome is callers.Outcome.NO_ANSWER
            if cut and not self._workload.outage_log.overlaps(
                name, call.sent_s, call.ended_s
            ):
                detail = f'{name}: {_describe(call)}'
                yield oracle.Violation(
                    'answer cut off', call.request.id, detail
                )

    def _ended_processes(self) -> Iterator[oracle.Violation]:
        for process in self._bed.driver.processes.failed():
            detail = process.output_tail()
            yield oracle.Violation(
                'process ended unexpectedly', process.name, detail
            )


def _describe(call: callers.Call) -> str:
    """Describe a call that was not answered."""
    request = call.request
    waited_s = call.ended_s - call.sent_s
    ended_at = time.strftime('%H:%M:%S', time.gmtime(call.ended_s))
    return (
        f'{request.method} {request.path} until {ended_at} after {waited_s:.2f} s, '
        f'status {call.status}, {call.failure}'
    )


def _counts(counter: collections.Counter[str]) -> str:
    return ', '.join(
        f'{count} {name}' for name, count in sorted(counter.items())
    )
