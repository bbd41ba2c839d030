from jackdawlatch.model import clocks
from jackdawlatch.node import roster
from jackdawlatch.testing import functions


def _peer(name: str, started_s: float = 1) -> roster.Peer:
    return roster.Peer(
        id=name,
        role='entry',
        zone='z1',
        shard='main',
        peer_address='127.0.0.1:1',
        operations_address='127.0.0.1:2',
        started_s=started_s,
    )


def _ids(live: roster.Roster) -> list[str]:
    return [peer.id for peer in live.by_role('entry')]


def test_stale_report_does_not_restore_a_stopped_peer() -> None:
    live = roster.Roster(_peer('e1'), clocks.ManualClock(100))
    live.register(_peer('e2'))
    live.unregister(_peer('e2').key)
    live.record_heard(roster.Heard(peer=_peer('e2'), age_s=1))
    assert _ids(live) == ['e1']
    live.record_heard(roster.Heard(peer=_peer('e2', started_s=2), age_s=1))
    assert _ids(live) == ['e1', 'e2']


def test_expired_registration_has_a_grace_period() -> None:
    clock = clocks.ManualClock(100)
    live = roster.Roster(_peer('e1'), clock)
    live.register(_peer('e2'))
    live.reset({})
    assert _ids(live) == ['e1', 'e2']
    clock.advance(roster.REGISTRATION_GRACE_S + 1)
    assert _ids(live) == ['e1']


def test_suspect_is_excluded_until_the_timeout() -> None:
    clock = clocks.ManualClock(100)
    live = roster.Roster(_peer('e1'), clock)
    live.register(_peer('e2'))
    live.suspect(_peer('e2'))
    assert _ids(live) == ['e1']
    clock.advance(roster.SUSPECT_TIMEOUT_S + 1)
    assert _ids(live) == ['e1', 'e2']


load_tests = functions.loader(__name__)
