import itertools
import pathlib
import tempfile
import time

import msgspec
from tornado import httputil

from jackdawlatch.backends import exchange
from jackdawlatch.model import hosts
from jackdawlatch.standins import (
    budgets,
    callers,
    executions,
    json_lines,
    oracle,
    outages,
    profiles,
    runner,
)
from jackdawlatch.testing import functions

PATH = '/services/lookup/x'


def _told(
    request_id: str,
    outcome: callers.Outcome,
    method: str = 'POST',
    key: str = '',
    answered_id: str = '',
) -> callers.Call:
    asked = callers.Request(
        entry='http://e', path=PATH, id=request_id, method=method, key=key
    )
    receipt = runner.Receipt(
        host='h1',
        number=0,
        id=answered_id or request_id,
        key=key,
        method=method,
        path='/x',
        body_bytes=0,
    )
    body = msgspec.json.encode(receipt)
    reply = exchange.Reply(200, body, httputil.HTTPHeaders())
    return callers.Call(asked, outcome, reply=reply)


def _run(
    request_id: str, key: str = '', number: int = 0
) -> executions.Execution:
    return executions.Execution(
        host='h1', number=number, id=request_id, key=key, start_s=1
    )


def _rules(
    told: list[callers.Call], runs: list[executions.Execution]
) -> list[str]:
    return [one.rule for one in oracle.ResponseChecker(told, runs).violations()]


def test_truthful_answers_pass() -> None:
    told = [
        _told('a', callers.Outcome.ANSWERED),
        _told('b', callers.Outcome.NOT_RUN),
        _told('c', callers.Outcome.UNKNOWN),
        _told('d', callers.Outcome.ANSWERED, key='k', answered_id='e'),
        _told('e', callers.Outcome.NOT_RUN, key='k'),
    ]
    runs = [_run('a'), _run('c'), _run('f', key='k')]
    assert not _rules(told, runs)


def test_each_lie_is_found() -> None:
    lies = {
        'not its own whole answer': (
            [_told('a', callers.Outcome.ANSWERED, answered_id='b')],
            [],
        ),
        'told as not run, and has run': (
            [_told('a', callers.Outcome.NOT_RUN)],
            [_run('a')],
        ),
        'ran more than once': (
            [_told('a', callers.Outcome.UNKNOWN)],
            [_run('a'), _run('a', number=1)],
        ),
        'a key ran twice': ([], [_run('a', 'k'), _run('b', 'k', 1)]),
        'a key told as not run has run': (
            [_told('a', callers.Outcome.NOT_RUN, key='k')],
            [_run('b', 'k')],
        ),
    }
    found = [_rules(told, runs) for told, runs in lies.values()]
    assert list(itertools.chain(*found)) == list(lies)


def test_idempotent_request_may_run_again() -> None:
    told = [_told('a', callers.Outcome.ANSWERED, method='GET')]
    assert not _rules(told, [_run('a'), _run('a', number=1)])


def test_late_work_counts_from_what_could_be_known() -> None:
    with tempfile.TemporaryDirectory() as directory:
        place = pathlib.Path(directory)
        written = json_lines.JsonLinesWriter(str(place / 'h1.runs.refused'))
        for since_s, at_s in (
            (0, 3),  # The first sign that the host leaves.
            (0, 4.5),
            (0, 5.5),  # Known for 2.5 s.
            (10, 18),  # Not known, but listed for long.
        ):
            refusal = executions.Refusal(
                host='h1', id=str(at_s), leaving_since_s=since_s, at_s=at_s
            )
            written.append(refusal)
        late = [one.subject for one in oracle.late_requests(place)]
        assert late == ['5.5', '18']


def _membership(*phases: hosts.Phase) -> hosts.Membership:
    names = [f'h{number}' for number, _ in enumerate(phases)]
    return hosts.Membership(
        assignments_by_host={
            name: hosts.Assignment(pool='lookup', phase=phase)
            for name, phase in zip(names, phases, strict=True)
        },
        hosts_by_id={
            name: hosts.Host(id=name, zone='z', rack='r') for name in names
        },
    )


def test_budget_is_overspent_by_planned_work_only() -> None:
    active, draining = hosts.Phase.ACTIVE, hosts.Phase.DRAINING
    followed = budgets.BudgetChecker()
    followed.add_configuration(profiles.configuration(profiles.BROLLY_ADFER))
    whole = _membership(*(active,) * 6)
    one_out = _membership(draining, *(active,) * 5)
    two_out = _membership(draining, draining, *(active,) * 4)
    rebooting = _membership(hosts.Phase.REBOOTING, *(active,) * 4, draining)
    assert not list(followed.check(whole))
    assert not list(followed.check(one_out))
    overspent = [one.subject for one in followed.check(two_out)]
    assert overspent == ['lookup']
    # What was taken out before is not held against a later write.
    assert not list(followed.check(two_out))
    assert list(followed.check(rebooting))


async def test_only_answers_of_present_entries_count_as_cut() -> None:
    outage_log = outages.OutageLog()
    before_s = time.time()
    async with outage_log.record('entry-1'):
        now_s = time.time()
        assert outage_log.overlaps('entry-1', now_s, now_s)
        assert not outage_log.overlaps('entry-2', now_s, now_s)
    assert not outage_log.overlaps('entry-1', before_s - 2, before_s - 1)
    later_s = time.time() + outages.RECOVERY_S + 1
    assert not outage_log.overlaps('entry-1', later_s, later_s)


load_tests = functions.loader(__name__)
