"""Compares what was actually run with the answers that callers got."""

import dataclasses
import itertools
import pathlib
from collections.abc import Iterable, Iterator

from jackdawlatch.standins import callers, executions, json_lines

MAX_KNOWN_LEAVING_S = 2.0
MAX_LEAVING_S = 7.0
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))


@dataclasses.dataclass(frozen=True)
class Violation:
    """A violated rule, with the request, job, pool or process concerned."""

    rule: str
    subject: str
    detail: str = ''

    def line(self) -> str:
        """Return it as one line of text."""
        return f'{self.rule}: {self.subject} {self.detail}'.rstrip()


def read_request_executions(
    directory: pathlib.Path,
) -> tuple[executions.Execution, ...]:
    """Return every run of a request, on all runners."""
    return _read(directory, '*.runs')


def late_requests(directory: pathlib.Path) -> Iterator[Violation]:
    """Yield requests sent to a target long after it began to leave.

    Entries learn that a target leaves from the host list or from a refusal,
    so they have ``MAX_KNOWN_LEAVING_S`` from the first refusal, and at most
    ``MAX_LEAVING_S`` from the start of the drain.
    """
    for path in sorted(directory.glob('*.runs.refused')):
        first_s_by_drain: dict[float, float] = {}
        for refusal in json_lines.read(path, executions.Refusal):
            since_s = refusal.leaving_since_s
            first_s = first_s_by_drain.setdefault(since_s, refusal.at_s)
            known_s = refusal.at_s - first_s
            leaving_s = refusal.at_s - since_s
            if known_s > MAX_KNOWN_LEAVING_S or leaving_s > MAX_LEAVING_S:
                detail = (
                    f'{refusal.host} {leaving_s:.1f} s, known {known_s:.1f} s'
                )
                yield Violation(
                    'request sent to a leaving target', refusal.id, detail
                )


def read_task_executions(
    directory: pathlib.Path,
) -> tuple[executions.Execution, ...]:
    """Return every start of a task, on all workers."""
    return _read(directory, '*.starts')


class ResponseChecker:
    """Checks the answers that callers got against the runs of the runners."""

    def __init__(
        self,
        calls: Iterable[callers.Call],
        runs: Iterable[executions.Execution],
    ) -> None:
        self._calls = tuple(calls)
        self._runs_by_id = _group_by(runs, 'id')
        self._runs_by_key = _group_by(runs, 'key')

    def violations(self) -> tuple[Violation, ...]:
        """Return all violations."""
        return (
            *itertools.chain.from_iterable(map(self._check_call, self._calls)),
            *self._keys_run_again(),
            *self._keys_not_run(),
        )

    def _check_call(self, call: callers.Call) -> Iterator[Violation]:
        subject = call.request.id
        runs = len(self._runs_by_id.get(subject, ()))
        answered = call.outcome is callers.Outcome.ANSWERED
        if answered and not call.matches_request:
            yield Violation(
                'answer incomplete or for another request', subject, repr(call)
            )
        if call.outcome is callers.Outcome.NOT_RUN and runs:
            yield Violation('request reported as not run has run', subject)
        if call.request.method not in IDEMPOTENT_METHODS and runs > 1:
            yield Violation(
                'non-idempotent request ran more than once',
                subject,
                f'{runs} times',
            )

    def _keys_run_again(self) -> Iterator[Violation]:
        for key, runs in self._runs_by_key.items():
            if key and len(runs) > 1:
                places = ', '.join(f'{run.host} as {run.id}' for run in runs)
                yield Violation(
                    'idempotency key ran more than once', key, places
                )

    def _keys_not_run(self) -> Iterator[Violation]:
        outcomes_by_key: dict[str, set[callers.Outcome]] = {}
        for one in self._calls:
            outcomes = outcomes_by_key.setdefault(one.request.key, set())
            outcomes.add(one.outcome)
        for key, outcomes in outcomes_by_key.items():
            only_not_run = outcomes == {callers.Outcome.NOT_RUN}
            if key and only_not_run and key in self._runs_by_key:
                yield Violation(
                    'idempotency key reported as not run has run', key
                )


def _group_by(
    runs: Iterable[executions.Execution], field: str
) -> dict[str, list[executions.Execution]]:
    grouped: dict[str, list[executions.Execution]] = {}
    for run in runs:
        grouped.setdefault(getattr(run, field), []).append(run)
    return grouped


def _read(
    directory: pathlib.Path, pattern: str
) -> tuple[executions.Execution, ...]:
    return tuple(
        execution
        for path in sorted(directory.glob(pattern))
        for execution in executions.read(path)
    )
