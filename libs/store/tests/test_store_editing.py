import asyncio

from returns import result

from jackdawlatch.model import hosts, records
from jackdawlatch.standins import fakes
from jackdawlatch.store import editing, keyvalue
from jackdawlatch.testing import functions


def _assign(host: str) -> editing.Change[hosts.Membership]:
    def change(
        value: hosts.Membership,
    ) -> result.Result[hosts.Membership, keyvalue.WriteFailure]:
        assignments = {
            **value.assignments_by_host,
            host: hosts.Assignment(pool='desk'),
        }
        return result.Success(
            records.replace(value, assignments_by_host=assignments)
        )

    return change


def _editor(store: keyvalue.Store) -> editing.Editor[hosts.Membership]:
    return editing.Editor(store, 'fleet/membership/a', hosts.Membership())


async def test_concurrent_edits_share_a_write() -> None:
    store = fakes.FakeStore()
    editor = _editor(store)
    await asyncio.gather(
        *(editor.edit(_assign(f'h{host}')) for host in range(20))
    )
    value = (await editor.read()).unwrap()
    assert len(value.assignments_by_host) == 20
    assert store.calls_by_name['put'] == 1


async def test_later_edit_of_a_batch_sees_written_version() -> None:
    editor = _editor(fakes.FakeStore())
    await editor.edit(_assign('h0'))
    seen: list[int] = []

    def look(value: hosts.Membership) -> editing.Edited[hosts.Membership]:
        seen.append(value.version)
        return _assign('h2')(value)

    first, second = await asyncio.gather(
        editor.edit(_assign('h1')), editor.edit(look)
    )
    assert seen[-1] == first.unwrap().version
    assert second.unwrap().version == first.unwrap().version


async def test_racing_editors_lose_no_edit() -> None:
    store = fakes.FakeStore()
    editors = [_editor(store) for _ in range(4)]
    for turn in range(5):
        await asyncio.gather(
            *(
                editor.edit(_assign(f'h{turn}-{host}'))
                for host, editor in enumerate(editors)
            )
        )
    value = (await editors[0].read()).unwrap()
    assert len(value.assignments_by_host) == 20
    assert value.version == store.content.revision


async def test_lost_reply_is_recognized_as_applied() -> None:
    store = fakes.FakeStore()
    store.lose_replies = 1
    written = await _editor(store).edit(_assign('h1'))
    assert written.unwrap().version == 1


async def test_rejected_change_is_rerun_on_the_current_value() -> None:
    store = fakes.FakeStore()
    stale, other = _editor(store), _editor(store)
    await stale.read()
    await other.edit(_assign('h1'))

    def require_h1(value: hosts.Membership) -> editing.Edited[hosts.Membership]:
        if 'h1' in value.assignments_by_host:
            return result.Success(value)
        return result.Failure(keyvalue.Unavailable(message='no h1'))

    assert isinstance(await stale.edit(require_h1), result.Success)


class LateStore(fakes.FakeStore):
    """Reports the first put as uncertain and keeps it to be applied later.

    Later puts fail as unavailable.
    """

    def __init__(self) -> None:
        super().__init__()
        self.late: tuple[str, bytes, int] | None = None
        self.puts = 0

    async def put(
        self, key: str, content: bytes, revision: int, lease: str = ''
    ) -> result.Result[keyvalue.Entry, keyvalue.WriteFailure]:
        self.puts += 1
        if self.puts == 1:
            self.late = (key, content, revision)
            return result.Failure(keyvalue.Uncertain(message='no reply'))
        return result.Failure(keyvalue.Unavailable(message='down'))


async def test_put_that_may_land_late_is_uncertain() -> None:
    store = LateStore()
    written = await _editor(store).edit(_assign('h1'))
    assert isinstance(written.failure(), keyvalue.Uncertain)
    assert store.late
    assert isinstance(store.content.put(*store.late, ''), result.Success)


async def test_outage_writes_nothing() -> None:
    store = fakes.FakeStore()
    store.down = True
    written = await _editor(store).edit(_assign('h1'))
    assert isinstance(written.failure(), keyvalue.Unavailable)
    assert store.content.get('fleet/membership/a') is None


load_tests = functions.loader(__name__)
