import pathlib
import tempfile

from returns import result

from jackdawlatch.config import (
    editor,
    edits,
    files,
    outcomes,
    validation,
)
from jackdawlatch.model import presets, records
from jackdawlatch.standins import fakes
from jackdawlatch.testing import functions


def _preset(name: str, hosts: int = 6) -> presets.Preset:
    target = presets.PoolTarget(hosts=hosts)
    return presets.Preset(name=name, pools_by_name={'desk': target})


CONFIGURATION = presets.Configuration(
    pools_by_name={
        'desk': presets.Pool(name='desk'),
        'spare': presets.Pool(name='spare', spare=True),
    },
    services_by_name={'lookup': presets.Service(name='lookup', pool='desk')},
    presets_by_name={
        'ordinary': _preset('ordinary'),
        'peak': _preset('peak', 8),
    },
)


async def _edited(
    store: fakes.FakeStore,
    edit: edits.Edit,
    based_on: editor.Base = None,
) -> outcomes.Outcome:
    return await editor.Editor(store).edit(edit, based_on)


async def test_edit_results() -> None:
    store = fakes.FakeStore()
    replace_all = edits.Replace(CONFIGURATION)
    use_peak = edits.PutInForce('peak')
    for edit, success in (
        (replace_all, outcomes.Applied(version=1)),
        (replace_all, outcomes.Unchanged(version=1)),
        (use_peak, outcomes.Applied(version=2)),
    ):
        store.lose_replies = 1 if edit is use_peak else 0
        assert (await _edited(store, edit)).unwrap() == success
    refused = (await _edited(store, edits.PutInForce('pique'))).failure()
    assert isinstance(refused, outcomes.Refused)
    assert refused.path == 'in_force'
    store.down = True
    not_applied = (await _edited(store, edits.PutInForce('ordinary'))).failure()
    assert isinstance(not_applied, outcomes.NotApplied)
    store.down = False
    current = (await editor.Editor(store).read()).unwrap()
    assert (current.version, current.in_force) == (2, 'peak')


async def test_lost_reply_while_the_store_is_down_is_unknown() -> None:
    store = fakes.FakeStore()
    store.lose_replies = 1

    async def go_down() -> None:
        store.down = True

    store.before_put = go_down
    unknown = (await _edited(store, edits.Replace(CONFIGURATION))).failure()
    assert isinstance(unknown, outcomes.OutcomeUnknown)


async def test_conflict_lists_the_concurrent_changes() -> None:
    store = fakes.FakeStore()
    await _edited(store, edits.Replace(CONFIGURATION))
    seen = (await editor.Editor(store).read()).unwrap()
    await _edited(store, edits.Put(_preset('peak', 9)))
    for base in (seen, seen.version):
        lost = (
            await _edited(store, edits.Put(_preset('peak', 7)), base)
        ).failure()
        assert isinstance(lost, outcomes.ConflictingEdit)
        assert lost.present_version == 2
        lines = [change.line() for change in lost.difference]
        if base is seen:
            assert lines == [
                '~ presets_by_name.peak.pools_by_name.desk.hosts: 8 -> 9'
            ]
            assert lines[0] in lost.line()
    other = await _edited(store, edits.Put(_preset('ordinary', 5)), seen)
    assert isinstance(other, result.Success)


def test_failures_name_the_field() -> None:
    peak = CONFIGURATION.presets_by_name['peak']
    pools = CONFIGURATION.pools_by_name
    changes_by_preset_path = {
        'pools_by_name.desk.max_unavailable': {
            'pools_by_name': {
                'desk': presets.PoolTarget(hosts=1, max_unavailable=2)
            }
        },
        'pools_by_name.dusk': {
            'pools_by_name': {'dusk': presets.PoolTarget(hosts=1)}
        },
        'pools_by_name': {
            'pools_by_name': {'desk': presets.PoolTarget(hosts=31)}
        },
        'shares[0].service': {'shares': (presets.Share(service='nil'),)},
        'shares[0].weight': {'shares': (presets.Share(weight=-1),)},
        'shares[1]': {'shares': (presets.Share(), presets.Share())},
        'balancing': {'balancing': 'unheard-of'},
        'name': {'name': 'peek'},
    }
    changes_by_path = {
        f'presets_by_name.peak.{path}': {
            'presets_by_name': {
                **CONFIGURATION.presets_by_name,
                'peak': records.replace(peak, **changes),
            }
        }
        for path, changes in changes_by_preset_path.items()
    }
    changes_by_path['in_force'] = {'in_force': 'none'}
    changes_by_path['services_by_name.lookup.pool'] = {
        'services_by_name': {
            'lookup': presets.Service(name='lookup', pool='nil')
        }
    }
    changes_by_path['pools_by_name.two.spare'] = {
        'pools_by_name': {**pools, 'two': presets.Pool(name='two', spare=True)}
    }
    constraints = validation.Constraints(
        balancing=frozenset(('broker',)), fleet_hosts=30
    )
    assert isinstance(
        validation.check(CONFIGURATION, constraints), result.Success
    )
    for path, changes in changes_by_path.items():
        checked = validation.check(
            records.replace(CONFIGURATION, **changes), constraints
        )
        assert checked.failure().path == path


def test_files_round_trip_and_failures_name_the_field() -> None:
    with tempfile.TemporaryDirectory() as directory:
        file = pathlib.Path(directory) / 'configuration.json'
        files.write(file, CONFIGURATION)
        read = files.read(file, presets.Configuration)
        assert read.unwrap() == CONFIGURATION
        text = file.read_text()
        contents_by_path = {
            'presets_by_name.peak.pools_by_name.desk.hosts': text.replace(
                '"hosts": 8', '"hosts": -8'
            ),
            'presets_by_name.ordinary': text.replace(
                '"queue_limit"', '"queue_limt"', 1
            ),
            '': text[:-9],
        }
        for path, content in contents_by_path.items():
            file.write_text(content)
            failure = files.read(file, presets.Configuration).failure()
            assert failure.path == path
            assert failure.file == str(file)


def test_deeply_nested_file_is_invalid() -> None:
    with tempfile.TemporaryDirectory() as directory:
        file = pathlib.Path(directory) / 'configuration.json'
        # The second one is decoded, but has more levels than deep copies allow.
        for depth in (100_000, 700):
            opening, closing = '[' * depth, ']' * depth
            file.write_text(f'{{"x": {opening}{closing}}}')
            failure = files.read(file, presets.Configuration).failure()
            assert failure.file == str(file)


load_tests = functions.loader(__name__)
