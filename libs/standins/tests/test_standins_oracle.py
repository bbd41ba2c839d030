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


def _call(
    request_id: str,
    outcome: callers.Outcome,
    method: str = 'POST',
    key: str = '',
    answered_id: str = '',
) -> callers.Call:
    request = callers.Request(
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
    return callers.Call(request, outcome, reply=reply)


def _run(
    request_id: str, key: str = '', number: int = 0
) -> executions.Execution:
    return executions.Execution(
        host='h1', number=number, id=request_id, key=key, start_s=1
    )


def _rules(
    calls: list[callers.Call], runs: list[executions.Execution]
) -> list[str]:
    return [
        one.rule for one in oracle.ResponseChecker(calls, runs).violations()
    ]


def test_correct_answers_pass() -> None:
    calls = [
        _call('a', callers.Outcome.ANSWERED),
        _call('b', callers.Outcome.NOT_RUN),
        _call('c', callers.Outcome.UNKNOWN),
        _call('d', callers.Outcome.ANSWERED, key='k', answered_id='e'),
        _call('e', callers.Outcome.NOT_RUN, key='k'),
    ]
    runs = [_run('a'), _run('c'), _run('f', key='k')]
    assert not _rules(calls, runs)


def test_each_violation_is_found() -> None:
    calls_and_runs_by_rule = {
        'answer incomplete or for another request': (
            [_call('a', callers.Outcome.ANSWERED, answered_id='b')],
            [],
        ),
        'request reported as not run has run': (
            [_call('a', callers.Outcome.NOT_RUN)],
            [_run('a')],
        ),
        'non-idempotent request ran more than once': (
            [_call('a', callers.Outcome.UNKNOWN)],
            [_run('a'), _run('a', number=1)],
        ),
        'idempotency key ran more than once': (
            [],
            [_run('a', 'k'), _run('b', 'k', 1)],
        ),
        'idempotency key reported as not run has run': (
            [_call('a', callers.Outcome.NOT_RUN, key='k')],
            [_run('b', 'k')],
        ),
    }
    found = [
        _rules(calls, runs) for calls, runs in calls_and_runs_by_rule.values()
    ]
    assert list(itertools.chain(*found)) == list(calls_and_runs_by_rule)


def test_idempotent_request_may_run_again() -> None:
    calls = [_call('a', callers.Outcome.ANSWERED, method='GET')]
    assert not _rules(calls, [_run('a'), _run('a', number=1)])


def test_late_requests_count_from_the_first_refusal() -> None:
    with tempfile.TemporaryDirectory() as directory:
        base = pathlib.Path(directory)
        writer = json_lines.JsonLinesWriter(str(base / 'h1.runs.refused'))
        for since_s, at_s in (
            (0, 3),  # The first sign that the host is leaving.
            (0, 4.5),
            (0, 5.5),  # Leaving is known for 2.5 s.
            (10, 18),  # Leaving for 8 s, though not known before.
        ):
            refusal = executions.Refusal(
                host='h1', id=str(at_s), leaving_since_s=since_s, at_s=at_s
            )
            writer.append(refusal)
        late = [one.subject for one in oracle.late_requests(base)]
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


def test_only_new_drains_exceed_a_budget() -> None:
    active, draining = hosts.Phase.ACTIVE, hosts.Phase.DRAINING
    checker = budgets.BudgetChecker()
    checker.add_configuration(profiles.configuration(profiles.BROLLY_ADFER))
    all_active = _membership(*(active,) * 6)
    one_out = _membership(draining, *(active,) * 5)
    two_out = _membership(draining, draining, *(active,) * 4)
    rebooting = _membership(hosts.Phase.REBOOTING, *(active,) * 4, draining)
    assert not list(checker.check(all_active))
    assert not list(checker.check(one_out))
    exceeded = [one.subject for one in checker.check(two_out)]
    assert exceeded == ['lookup']
    # Hosts drained by an earlier write are not counted against this one.
    assert not list(checker.check(two_out))
    assert list(checker.check(rebooting))


async def test_outage_covers_its_own_name_and_period() -> None:
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
