import json
import unittest

import msgspec

from jackdawlatch.model import decoding, hosts, records
from jackdawlatch.testing import functions

DEPTH = 100_000
# A msgpack map with one unknown field, an array of arrays.
DEEP_RECORD = b'\x81\xa1x%b' % (b'\x91' * DEPTH)
DEEP_OBJECT = b'{"x":%b' % (b'[' * DEPTH)


def test_deep_nesting_is_a_decode_error() -> None:
    cases = unittest.TestCase()
    with cases.assertRaises(msgspec.DecodeError):
        decoding.from_json(DEEP_OBJECT, hosts.Membership)
    with cases.assertRaises(msgspec.DecodeError):
        records.decode(DEEP_RECORD, hosts.Membership)


def test_shallow_nesting_in_unknown_field_is_ignored() -> None:
    content = json.dumps({'x': [[[]]], 'version': 3})
    assert decoding.from_json(content, hosts.Membership).version == 3


load_tests = functions.loader(__name__)
