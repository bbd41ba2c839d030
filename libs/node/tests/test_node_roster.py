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


def test_stale_word_does_not_bring_a_stopped_peer_back() -> None:
    live = roster.Roster(_peer('e1'), clocks.ManualClock(100))
    live.register(_peer('e2'))
    live.unregister(_peer('e2').key)
    live.hear(roster.Heard(peer=_peer('e2'), age_s=1))
    assert _ids(live) == ['e1']
    live.hear(roster.Heard(peer=_peer('e2', started_s=2), age_s=1))
    assert _ids(live) == ['e1', 'e2']


def test_lapsed_peer_has_time_to_register_again() -> None:
    clock = clocks.ManualClock(100)
    live = roster.Roster(_peer('e1'), clock)
    live.register(_peer('e2'))
    live.reset({})
    assert _ids(live) == ['e1', 'e2']
    clock.advance(roster.GRACE_S + 1)
    assert _ids(live) == ['e1']


def test_suspect_is_left_out_for_a_moment() -> None:
    clock = clocks.ManualClock(100)
    live = roster.Roster(_peer('e1'), clock)
    live.register(_peer('e2'))
    live.suspect(_peer('e2'))
    assert _ids(live) == ['e1']
    clock.advance(roster.SUSPECT_S + 1)
    assert _ids(live) == ['e1', 'e2']


load_tests = functions.loader(__name__)
