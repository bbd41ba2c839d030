import random

from jackdawlatch.routing import choice, leaving, rendezvous
from jackdawlatch.testing import functions

ENTRIES = tuple(f'entry-{number}' for number in range(7))


def test_only_keys_of_a_lost_member_change_owner() -> None:
    for number in range(500):
        key = f'key-{number}'
        before = rendezvous.owner(key, ENTRIES)
        after = rendezvous.owner(key, ENTRIES[1:])
        assert after == before or before == ENTRIES[0]
    assert rendezvous.owner('key', ()) is None


def test_every_target_has_a_bounded_number_of_entries() -> None:
    entries = [f'entry-{number}' for number in range(40)]
    targets = [f'runner-{number}' for number in range(400)]
    subsets = [
        rendezvous.subset(entry, targets, entries, 5) for entry in entries
    ]
    for target in targets:
        assert sum(target in subset for subset in subsets) == 5
    assert max(map(len, subsets)) < 2 * 400 * 5 / 40


def test_runner_that_fails_is_chosen_last() -> None:
    failing = choice.Candidate(host='a', in_use=0, slots=8, success=0)
    full = choice.Candidate(host='b', in_use=7, slots=8)
    for name in choice.BALANCERS_BY_NAME:
        balancer = choice.create(name, random.Random(1))
        assert balancer.choose((failing, full), 'key') == full


def test_leaving_signs_expire_but_listed_hosts_stay() -> None:
    hosts = leaving.LeavingHosts()
    assert hosts.record_sign('a', leaving.Sign.REFUSED, 0)
    assert not hosts.record_sign('a', leaving.Sign.REFUSED, 1)
    hosts.record_peer_sign('b', 1e9, 0)
    hosts.set_listed_hosts(('c',))
    assert [host for host in 'abc' if hosts.is_leaving(host, 2)] == [
        'a',
        'b',
        'c',
    ]
    assert [host for host in 'abc' if hosts.is_leaving(host, 3)] == ['b', 'c']
    assert hosts.remaining_s_by_host(50) == {'b': 10}
    assert [host for host in 'abc' if hosts.is_leaving(host, 60)] == ['c']


def test_peer_sign_never_shortens_a_local_one() -> None:
    hosts = leaving.LeavingHosts()
    hosts.record_sign('a', leaving.Sign.ANSWERED, 0)
    hosts.record_peer_sign('a', 1, 0)
    assert hosts.is_leaving('a', 59)


load_tests = functions.loader(__name__)
