import contextlib
import pathlib
import tempfile
import types
from collections.abc import Iterator

import msgspec

from jackdawlatch.settings import daemons, loading
from jackdawlatch.testing import functions

DEEP = b'[' * 100_000
VALID = types.MappingProxyType(
    {
        'id': 'e1',
        'zone': 'z1',
        'peer_address': '127.0.0.1:7001',
        'operations_address': '127.0.0.1:7002',
        'store_addresses': ['http://127.0.0.1:7000'],
    }
)


@contextlib.contextmanager
def settings_file() -> Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory() as folder:
        yield pathlib.Path(folder) / 'entry.json'


def _load_failure(
    path: pathlib.Path, **changes: object
) -> loading.SettingsInvalid:
    path.write_bytes(msgspec.json.encode({**VALID, **changes}))
    return loading.load(str(path), daemons.Daemon).failure()


def test_valid_settings_are_loaded(settings_file: pathlib.Path) -> None:
    settings_file.write_bytes(msgspec.json.encode(dict(VALID)))
    assert loading.load(str(settings_file), daemons.Daemon).unwrap().id == 'e1'


def test_failures_name_the_field(settings_file: pathlib.Path) -> None:
    assert 'unknown' in _load_failure(settings_file, zones=['z1']).expected
    assert _load_failure(settings_file, zone=3).path == 'zone'
    assert _load_failure(settings_file, lease_ttl_s=0).path == 'lease_ttl_s'
    wrong_seed = _load_failure(settings_file, seed_addresses=['x'])
    assert wrong_seed.path.startswith('seed_addresses[')
    assert str(settings_file) in _load_failure(settings_file, zone=3).message


def test_missing_and_truncated_files_are_refused(
    settings_file: pathlib.Path,
) -> None:
    missing = loading.load(str(settings_file), daemons.Daemon).failure()
    assert missing.code == 'settings-invalid'
    settings_file.write_text('{"id": ')
    assert 'truncated' in (
        loading.load(str(settings_file), daemons.Daemon).failure().expected
    )


def test_deeply_nested_file_is_refused(settings_file: pathlib.Path) -> None:
    for start in (b'{"zone": ', b'{"unknown": ', b''):
        settings_file.write_bytes(start + DEEP)
        failure = loading.load(str(settings_file), daemons.Daemon).failure()
        assert failure.code == 'settings-invalid'


def test_duplicate_address_is_refused() -> None:
    settings = daemons.Daemon(
        **{**VALID, 'operations_address': VALID['peer_address']}
    )
    failure = daemons.check(settings, 'entry.json').failure()
    assert failure.path == 'operations_address'


load_tests = functions.loader(__name__, {'settings_file': settings_file})
