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
class Deployment:
    server: keyvalue_server.Server
    store: remote.RemoteStore

    def inject(self, faults: Faults) -> None:
        self.server.service.injector.set(faults)

    def value(self, key: str) -> bytes | None:
        entry = self.server.service.content.get(key)
        return entry.value if entry else None

    def calls(self, name: str) -> int:
        return self.server.service.calls_by_name[name]


@contextlib.asynccontextmanager
async def deployment() -> AsyncIterator[Deployment]:
    server = keyvalue_server.Server()
    store = remote.RemoteStore([server.url], timeout_s=TIMEOUT_S)
    yield Deployment(server, store)
    store.close()
    await server.close()


async def test_values_and_leases_round_trip(deployment: Deployment) -> None:
    lease = (await deployment.store.grant(5)).unwrap()
    written = (await deployment.store.put('a/x', b'1', 0, lease.id)).unwrap()
    assert (await deployment.store.get('a/x')).unwrap() == written
    assert (await deployment.store.scan('a/')).unwrap().entries == (written,)


async def test_revoked_lease_is_lost(deployment: Deployment) -> None:
    lease = (await deployment.store.grant(5)).unwrap()
    assert isinstance(await deployment.store.renew(lease.id), result.Success)
    await deployment.store.revoke(lease.id)
    renewed = await deployment.store.renew(lease.id)
    assert isinstance(renewed.failure(), keyvalue.LeaseLost)
    rejected = await deployment.store.put('a/x', b'2', 0, lease.id)
    assert isinstance(rejected.failure(), keyvalue.LeaseLost)


async def test_conflict_returns_the_current_entry(
    deployment: Deployment,
) -> None:
    first = (await deployment.store.put('k', b'1', 0)).unwrap()
    conflict = await deployment.store.put('k', b'2', 0)
    assert conflict.failure() == keyvalue.Conflict(message='k', current=first)
    assert isinstance(await deployment.store.delete('k', 1), result.Success)


async def test_write_without_a_reply_is_sent_once(
    deployment: Deployment,
) -> None:
    # On a reused connection libcurl would resend the request by default.
    await deployment.store.get('k')
    deployment.inject(Faults(lose_next=1))
    written = await deployment.store.put('k', b'1', 0)
    assert isinstance(written.failure(), keyvalue.Uncertain)
    assert deployment.calls('put') == 1
    assert deployment.value('k') == b'1'


async def test_failures_of_outages(deployment: Deployment) -> None:
    for outage, failure_type in (
        (Outage.REFUSE, keyvalue.Unavailable),
        (Outage.CLOSE, keyvalue.Uncertain),
        (Outage.HANG, keyvalue.Uncertain),
    ):
        deployment.inject(Faults(outage=outage))
        written = await deployment.store.put('k', b'1', 0)
        assert isinstance(written.failure(), failure_type), outage
        read = await deployment.store.get('k')
        assert isinstance(read.failure(), keyvalue.Unavailable), outage
    deployment.inject(Faults())
    assert (await deployment.store.get('k')).unwrap() is None


async def test_slow_reply_of_a_write_is_uncertain(
    deployment: Deployment,
) -> None:
    deployment.inject(Faults(slow_reply_ms=2000 * TIMEOUT_S))
    written = await deployment.store.put('k', b'1', 0)
    assert isinstance(written.failure(), keyvalue.Uncertain)
    assert deployment.value('k') == b'1'


async def test_unconnected_write_is_unavailable() -> None:
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


async def test_unreachable_address_fails_over_to_the_next(
    deployment: Deployment,
) -> None:
    with socket.socket() as closed:
        closed.bind(('127.0.0.1', 0))
        address = 'http://127.0.0.1:{1}'.format(*closed.getsockname())
        store = remote.RemoteStore([address, deployment.server.url])
        assert isinstance(await store.put('k', b'1', 0), result.Success)
        assert (await store.get('k')).unwrap() is not None


async def test_uncertain_write_is_not_retried_elsewhere(
    deployment: Deployment,
) -> None:
    store = remote.RemoteStore([deployment.server.url, deployment.server.url])
    deployment.inject(Faults(lose_next=1))
    written = await store.put('k', b'1', 0)
    assert isinstance(written.failure(), keyvalue.Uncertain)
    assert deployment.calls('put') == 1


async def test_watch_waits_for_a_change_below_its_prefix(
    deployment: Deployment,
) -> None:
    await deployment.store.put('a/x', b'1', 0)
    empty = (await deployment.store.watch('a/', 1, 0.05)).unwrap()
    assert empty == keyvalue.Changes(revision=1)
    lease = (await deployment.store.grant(0.1)).unwrap()
    await deployment.store.put('a/y', b'2', 0, lease.id)
    expired = (await deployment.store.watch('a/', 2, 5)).unwrap()
    assert [entry.deleted for entry in expired.entries] == [True]
    assert deployment.calls('watch') == 2


async def test_watch_ends_when_the_store_goes_down(
    deployment: Deployment,
) -> None:
    deployment.inject(Faults(outage=Outage.REFUSE))
    seen = await deployment.store.watch('a/', 0, 5)
    assert isinstance(seen.failure(), keyvalue.Unavailable)
    assert deployment.calls('watch') == 1


async def test_value_over_the_limit_is_refused(deployment: Deployment) -> None:
    content = bytes(limits.MAX_VALUE_BYTES)
    assert isinstance(
        await deployment.store.put('k', content, 0), result.Success
    )
    written = await deployment.store.put(
        'big', bytes(limits.MAX_VALUE_BYTES + 1), 0
    )
    assert isinstance(written.failure(), limits.TooLarge)
    assert deployment.value('big') is None


load_tests = functions.loader(__name__, {'deployment': deployment})
