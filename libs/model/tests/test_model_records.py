import unittest

import msgspec

from jackdawlatch.model import hosts, records
from jackdawlatch.testing import functions


def test_encoded_record_is_decoded() -> None:
    membership = hosts.Membership(
        version=3, assignments_by_host={'h1': hosts.Assignment(pool='desk')}
    )
    stored = records.encode(membership)
    assert records.decode(stored, hosts.Membership) == membership


def test_large_record_is_compressed_and_decoded() -> None:
    active = hosts.Assignment(pool='desk')
    membership = hosts.Membership(
        assignments_by_host={f'host-{number}': active for number in range(500)}
    )
    packed = records.pack(membership)
    assert len(packed) * 4 < len(records.encode(membership))
    assert records.decode(packed, hosts.Membership) == membership


def test_damaged_record_is_a_decode_error() -> None:
    packed = records.pack(hosts.Membership(edit_id='e' * 4096))
    damaged = bytes((packed[0], *reversed(packed[1:])))
    with unittest.TestCase().assertRaises(msgspec.DecodeError):
        records.decode(damaged, hosts.Membership)


load_tests = functions.loader(__name__)
