import contextlib
import dataclasses
import socket
from collections.abc import AsyncIterator

from returns import result

from jackdawlatch.standins import keyvalue_faults, keyvalue_server
from jackdawlatch.store import keyvalue, limits, remote
from jackdawlatch.testing import functions

Faults = keyvalue_faults.Faults
Outage = keyvalue_faults.Outage

TIMEOUT_S = 0.3


@dataclasses.dataclass(frozen=True)
class Pair:
    server: keyvalue_server.Server
    store: remote.RemoteStore

    def fail(self, faults: Faults) -> None:
        self.server.service.injector.set(faults)

    def value(self, key: str) -> bytes | None:
        entry = self.server.service.content.get(key)
        return entry.value if entry else None

    def calls(self, name: str) -> int:
        return self.server.service.calls_by_name[name]


@contextlib.asynccontextmanager
async def pair() -> AsyncIterator[Pair]:
    server = keyvalue_server.Server()
    store = remote.RemoteStore([server.url], timeout_s=TIMEOUT_S)
    yield Pair(server, store)
    store.close()
    await server.close()


async def test_values_and_leases_round_trip(pair: Pair) -> None:
    lease = (await pair.store.grant(5)).unwrap()
    written = (await pair.store.put('a/x', b'1', 0, lease.id)).unwrap()
    assert (await pair.store.get('a/x')).unwrap() == written
    assert (await pair.store.scan('a/')).unwrap().entries == (written,)


async def test_revoked_lease_is_lost(pair: Pair) -> None:
    lease = (await pair.store.grant(5)).unwrap()
    assert isinstance(await pair.store.renew(lease.id), result.Success)
    await pair.store.revoke(lease.id)
    renewed = await pair.store.renew(lease.id)
    assert isinstance(renewed.failure(), keyvalue.LeaseLost)
    kept = await pair.store.put('a/x', b'2', 0, lease.id)
    assert isinstance(kept.failure(), keyvalue.LeaseLost)


async def test_conflict_carries_the_present_entry(pair: Pair) -> None:
    first = (await pair.store.put('k', b'1', 0)).unwrap()
    lost = await pair.store.put('k', b'2', 0)
    assert lost.failure() == keyvalue.Conflict(message='k', current=first)
    assert isinstance(await pair.store.delete('k', 1), result.Success)


async def test_write_without_a_reply_is_sent_once(pair: Pair) -> None:
    # The connection is in use by then, so libcurl alone would send again.
    await pair.store.get('k')
    pair.fail(Faults(lose_next=1))
    written = await pair.store.put('k', b'1', 0)
    assert isinstance(written.failure(), keyvalue.Uncertain)
    assert pair.calls('put') == 1
    assert pair.value('k') == b'1'


async def test_outages_are_told_apart(pair: Pair) -> None:
    for outage, kind in (
        (Outage.REFUSE, keyvalue.Unavailable),
        (Outage.CLOSE, keyvalue.Uncertain),
        (Outage.HANG, keyvalue.Uncertain),
    ):
        pair.fail(Faults(outage=outage))
        written = await pair.store.put('k', b'1', 0)
        assert isinstance(written.failure(), kind), outage
        read = await pair.store.get('k')
        assert isinstance(read.failure(), keyvalue.Unavailable), outage
    pair.fail(Faults())
    assert (await pair.store.get('k')).unwrap() is None


async def test_slow_reply_of_a_write_is_uncertain(pair: Pair) -> None:
    pair.fail(Faults(slow_reply_ms=2000 * TIMEOUT_S))
    written = await pair.store.put('k', b'1', 0)
    assert isinstance(written.failure(), keyvalue.Uncertain)
    assert pair.value('k') == b'1'


async def test_refused_and_dropped_connections_wrote_nothing() -> None:
    with socket.socket() as closed, socket.socket() as full:
        closed.bind(('127.0.0.1', 0))
        full.bind(('127.0.0.1', 0))
        full.listen(0)
        with socket.create_connection(full.getsockname()):
            for bound in (closed, full):
                address = 'http://127.0.0.1:{1}'.format(*bound.getsockname())
                store = remote.RemoteStore([address], timeout_s=TIMEOUT_S)
                written = await store.put('k', b'1', 0)
                assert isinstance(written.failure(), keyvalue.Unavailable)


async def test_unreachable_address_gives_way_to_the_next(pair: Pair) -> None:
    with socket.socket() as closed:
        closed.bind(('127.0.0.1', 0))
        address = 'http://127.0.0.1:{1}'.format(*closed.getsockname())
        store = remote.RemoteStore([address, pair.server.url])
        assert isinstance(await store.put('k', b'1', 0), result.Success)
        assert (await store.get('k')).unwrap() is not None


async def test_uncertain_write_is_not_tried_elsewhere(pair: Pair) -> None:
    store = remote.RemoteStore([pair.server.url, pair.server.url])
    pair.fail(Faults(lose_next=1))
    written = await store.put('k', b'1', 0)
    assert isinstance(written.failure(), keyvalue.Uncertain)
    assert pair.calls('put') == 1


async def test_watch_waits_for_a_change_below_its_prefix(pair: Pair) -> None:
    await pair.store.put('a/x', b'1', 0)
    empty = (await pair.store.watch('a/', 1, 0.05)).unwrap()
    assert empty == keyvalue.Changes(revision=1)
    lease = (await pair.store.grant(0.1)).unwrap()
    await pair.store.put('a/y', b'2', 0, lease.id)
    lapsed = (await pair.store.watch('a/', 2, 5)).unwrap()
    assert [entry.deleted for entry in lapsed.entries] == [True]
    assert pair.calls('watch') == 2


async def test_watch_ends_when_the_store_goes_down(pair: Pair) -> None:
    pair.fail(Faults(outage=Outage.REFUSE))
    seen = await pair.store.watch('a/', 0, 5)
    assert isinstance(seen.failure(), keyvalue.Unavailable)
    assert pair.calls('watch') == 1


async def test_value_over_the_limit_is_refused(pair: Pair) -> None:
    content = bytes(limits.MAX_VALUE_BYTES)
    assert isinstance(await pair.store.put('k', content, 0), result.Success)
    written = await pair.store.put('big', bytes(limits.MAX_VALUE_BYTES + 1), 0)
    assert isinstance(written.failure(), limits.TooLarge)
    assert pair.value('big') is None


load_tests = functions.loader(__name__, {'pair': pair})
