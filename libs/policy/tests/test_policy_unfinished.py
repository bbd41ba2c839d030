"""Which connections of clients are closed.

Load pattern: a crowd that holds large or slow requests open, beside small
requests that are complete at once.
"""

from jackdawlatch.policy import unfinished
from jackdawlatch.testing import functions

PACE = unfinished.Pace(
    header_timeout_s=5, idle_timeout_s=20, min_bytes_per_s=1000
)


def test_largest_request_is_closed_first():
    crowd = [_connection(one, held_bytes=one * 50_000) for one in range(1, 9)]
    closed = unfinished.largest(crowd, 300_000)
    assert [one.id for one in closed] == [8]
    assert [one.id for one in unfinished.largest(crowd, 400_001)] == [8, 7]


def test_small_request_stays_while_a_larger_is_open():
    small = _connection(1, held_bytes=16_000, age_s=19)
    large = _connection(2, held_bytes=16_500)
    assert unfinished.largest([small, large], 1) == [large]


def test_oldest_of_small_requests_is_closed_first():
    crowd = [_connection(one, held_bytes=900, age_s=one) for one in range(5)]
    assert [one.id for one in unfinished.largest(crowd, 1000)] == [4, 3]


def test_nothing_is_closed_that_frees_nothing():
    crowd = [_connection(1), _connection(2, held_bytes=5)]
    assert [one.id for one in unfinished.largest(crowd, 100)] == [2]


def test_place_is_made_by_the_slowest():
    fast = _connection(1, received_bytes=9000, age_s=9)
    slow = _connection(2, received_bytes=100, age_s=6)
    new = _connection(3, age_s=0.1)
    assert unfinished.slowest([new, fast, slow], 1, PACE) == [slow]


def test_client_within_the_documented_times_stays():
    for allowed in (
        _connection(1, age_s=15, silent_s=15),
        _connection(1, in_headers=True, received_bytes=9, age_s=3),
        _connection(1, received_bytes=262_144, age_s=250),
        _connection(1, received_bytes=9, age_s=19, silent_s=15),
    ):
        assert unfinished.overdue(allowed, PACE) is None


def test_slow_client_is_closed_with_its_limit():
    limits = [
        unfinished.overdue(_connection(1, **changes), PACE)
        for changes in (
            {'silent_s': 21},
            {'in_headers': True, 'received_bytes': 9, 'age_s': 6},
            {'received_bytes': 900, 'age_s': 21},
        )
    ]
    assert limits == [
        unfinished.Limit.IDLE_TIME,
        unfinished.Limit.HEADER_TIME,
        unfinished.Limit.RATE,
    ]


def _connection(number: int, **changes) -> unfinished.Connection:
    fresh = unfinished.Connection(
        id=number,
        in_headers=False,
        held_bytes=0,
        received_bytes=0,
        age_s=0,
        silent_s=0,
    )
    return fresh._replace(**changes)


load_tests = functions.loader(__name__)
