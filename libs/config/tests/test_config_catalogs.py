"""What is reported of a configuration of the unified daemon before it is sent.

Each case is an entry that the daemons would accept without a word.
"""

import dataclasses
import math

from jackdawlatch.config import (
    catalog_checks,
    catalog_difference,
    findings,
    quota_checks,
    team_checks,
)
from jackdawlatch.jobs import model, queues
from jackdawlatch.model import presets, records, teams
from jackdawlatch.testing import functions

SECTIONS = catalog_checks.Sections()
QUEUE = queues.Queue('photos', 'host.example', '/photos/', 'photo')
SERVICE = queues.Service('photo')
TEAM = teams.Team(name='alpha', keys=('alpha-secret',))
BETA = teams.Team(name='beta', keys=('beta-secret',))
IN_FORCE = queues.Catalog(4, (QUEUE,), (SERVICE,), (TEAM,))


def test_sound_configuration_has_no_findings():
    newer = queues.Catalog(5, (QUEUE,), (SERVICE,), (TEAM, BETA))
    assert not _paths(newer)


def test_version_must_be_above_the_one_in_force():
    assert _paths(IN_FORCE) == ['error version']
    never = queues.Catalog(0, (QUEUE,), (SERVICE,))
    assert [one.path for one in catalog_checks.check(never, SECTIONS)] == [
        'version'
    ]


def test_queue_that_never_matches_is_an_error():
    for change in (
        {'name': 'copy'},
        {'name': 'photos', 'prefix': '/other/'},
        {'name': 'empty', 'prefix': ''},
        {'name': 'relative', 'prefix': 'other/'},
        {'name': 'query', 'prefix': '/other?id='},
        {'name': 'port', 'hostname': 'host.example:80'},
    ):
        assert _queue_paths(**change) == ['error queues[1]'], change


def test_values_of_a_queue_out_of_range_are_errors():
    for change in (
        {'service': 'missing'},
        {'priority': -1},
        {'priority': 99},
        {'max_attempts': 0},
        {'slack_factor': -1},
        {'target_s': -1},
    ):
        changed = {'name': 'other', 'prefix': '/other/', **change}
        assert _queue_paths(**changed) == ['error queues[1]'], change


def test_services_without_use_are_warnings():
    services = (
        SERVICE,
        queues.Service('idle'),
        queues.Service('off', standby=True),
        queues.Service('rest', standby=True),
    )
    catalog = queues.Catalog(5, (QUEUE,), services, (TEAM,))
    assert _paths(catalog) == ['warning services[1]', 'warning services']


def test_team_that_can_not_call_is_reported():
    for severity, change in (
        ('warning', {'keys': ()}),
        ('error', {'keys': ('',)}),
        ('error', {'keys': ('spaced ',)}),
        ('error', {'keys': TEAM.keys}),
        ('error', {'weight': 0}),
        ('error', {'weight': -1}),
        ('error', {'name': 'alpha'}),
    ):
        listed = (TEAM, records.replace(BETA, **change))
        catalog = queues.Catalog(5, (QUEUE,), (SERVICE,), listed)
        assert _paths(catalog) == [f'{severity} teams[1]'], change


def test_calls_that_need_no_key_any_more_are_reported():
    catalog = queues.Catalog(5, (QUEUE,), (SERVICE,))
    assert _paths(catalog) == ['warning teams']


def test_quota_below_a_sample_task_is_reported():
    small = presets.Quota(processors=2, memory_mb=math.inf, accelerators=0)
    team = records.replace(TEAM, quota=small)
    for severities, step in (
        ([], model.Step(count=9, room=model.Room(processors_m=2000))),
        (['warning'], model.Step(count=1, room=model.Room(accelerators=1))),
        # A gang that exceeds the quota as a whole never starts.
        (
            ['error'],
            model.Step(count=3, gang=True, room=model.Room(processors_m=1000)),
        ),
    ):
        job = model.Job(id='', queue='photos', service='photo', steps=(step,))
        for named in (job, records.replace(job, team='alpha')):
            found = quota_checks.check('teams', (team, BETA), [named])
            assert [one.severity for one in found] == severities
        other = records.replace(job, team='beta')
        assert not list(quota_checks.check('teams', (team, BETA), [other]))


def test_difference_lists_entries_but_never_keys():
    changed = dataclasses.replace(QUEUE, priority=3)
    # Both keys have the same first characters.
    team = records.replace(TEAM, weight=2, keys=('alpha-renewed',))
    after = queues.Catalog(
        5, (changed,), (queues.Service('video'),), (team, BETA)
    )
    changes = catalog_difference.between(IN_FORCE, after, SECTIONS)
    assert [f'{one.type} {one.path}' for one in changes] == [
        'changed queues.photos.priority',
        'removed services.photo',
        'added services.video',
        'changed teams.alpha.weight',
        'added teams.beta',
        'removed teams.alpha.keys',
        'added teams.alpha.keys',
        'added teams.beta.keys',
    ]
    text = str(changes)
    assert 'alph...' in text
    assert 'secret' not in text
    assert 'renewed' not in text


def test_masked_key_hides_at_least_half():
    assert [team_checks.mask(key) for key in ('', 'a', 'abc', 'a' * 20)] == [
        '...',
        '...',
        'a...',
        'aaaa...',
    ]


def _queue_paths(**changes):
    queue = dataclasses.replace(QUEUE, **changes)
    return _paths(queues.Catalog(5, (QUEUE, queue), (SERVICE,), (TEAM,)))


def _paths(catalog):
    found = tuple(catalog_checks.check(catalog, SECTIONS, IN_FORCE))
    assert all(isinstance(one, findings.Finding) for one in found)
    assert not any('secret' in one.message for one in found)
    return [f'{one.severity} {one.path}' for one in found]


load_tests = functions.loader(__name__)
