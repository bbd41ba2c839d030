"""Command line and settings of the unified daemon."""

import io
import json
import pathlib
import tempfile

from jackdawlatch.node import launching
from jackdawlatch.testing import functions
from jackdawlatch.unified import core

VALID_SETTINGS = (
    ('name', 'u1'),
    ('zone', 'z'),
    ('front_address', '127.0.0.1:1'),
    ('ready_address', '127.0.0.1:2'),
    ('metrics_port', 3),
    ('store_address', '127.0.0.1:4'),
    (
        'host',
        {
            'processors': 2,
            'processor_share': 0.5,
            'link_mbps': 1000,
            'memory_mb': 200,
            'descriptors': 4100,
        },
    ),
    (
        'bounds',
        {
            'lease_ms': 10_000,
            'stop_ms': 200,
            'report_ms': 1500,
            'drain_s': 6,
            'retention_s': 120,
            'maintenance_s': 2,
            'migration_s': 1.5,
            'moves_per_s': 64,
        },
    ),
)


def test_missing_settings_are_usage_error():
    status, _, output = _run({})
    assert status is launching.ExitStatus.USAGE
    assert 'JACKDAWLATCH_SETTINGS' in output


def test_valid_settings_pass_check():
    status, output, _ = _check(dict(VALID_SETTINGS))
    assert status is launching.ExitStatus.OK
    assert output.endswith(': ok\n')


def test_error_names_invalid_field():
    for field, value in (
        ('front_address', 'nowhere'),
        ('metrics_port', 'x'),
        ('unknown_field', 1),
        ('limits', {'max_body_bytes': 0}),
        ('limits', {'idle_timeout_s': -1}),
    ):
        status, _, output = _check({**dict(VALID_SETTINGS), field: value})
        assert status is launching.ExitStatus.USAGE
        assert 'settings-invalid' in output
        assert field in output


def test_deeply_nested_settings_are_usage_error():
    status, _, output = _check_text('[' * 100_000)
    assert status is launching.ExitStatus.USAGE
    assert 'settings-invalid' in output


def test_template_names_every_setting():
    root = pathlib.Path(__file__).resolve().parents[3]
    template = (root / 'deploy/settings.template.json').read_text()
    for field, _ in VALID_SETTINGS:
        assert f'"{field}"' in template
    for group in ('host', 'bounds'):
        for field in dict(VALID_SETTINGS)[group]:
            assert f'"{field}"' in template


def _check(content: dict[str, object]) -> tuple[launching.ExitStatus, str, str]:
    return _check_text(json.dumps(content))


def _check_text(text: str) -> tuple[launching.ExitStatus, str, str]:
    with tempfile.NamedTemporaryFile('w', suffix='.json') as file:
        file.write(text)
        file.flush()
        return _run({core.SETTINGS_VARIABLE: file.name}, core.CHECK_FLAG)


def _run(
    variables: dict[str, str], *arguments: str
) -> tuple[launching.ExitStatus, str, str]:
    stdout, stderr = io.StringIO(), io.StringIO()
    status = core.main(core.Environment(arguments, variables, stdout, stderr))
    return status, stdout.getvalue(), stderr.getvalue()


load_tests = functions.loader(__name__)
