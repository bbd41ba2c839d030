"""Ring buffer of the latest events of a process, for the timeline."""

import collections
from collections.abc import Callable

from jackdawlatch.model import records

RING_EVENTS = 4096

Stamp = tuple[int, int, str]


class Event(records.Record, frozen=True, kw_only=True):
    """An event with the subjects it concerns.

    ``stamp`` is a hybrid logical time: microseconds since the epoch, a
    counter, the id of the process.  Subjects that do not apply are empty.
    """

    stamp: Stamp = (0, 0, '')
    name: str
    host: str = ''
    request: str = ''
    job: str = ''
    pool: str = ''
    preset: str = ''
    detail: str = ''


class Ring:
    """The latest events of one process, oldest first."""

    def __init__(
        self, now: Callable[[], Stamp], limit: int = RING_EVENTS
    ) -> None:
        self._now = now
        self._events: collections.deque[Event] = collections.deque(maxlen=limit)

    def add(self, event: Event) -> None:
        """Stamp an event with the current time and keep it."""
        self._events.append(records.replace(event, stamp=self._now()))

    def latest(self, limit: int = RING_EVENTS) -> tuple[Event, ...]:
        """Return up to ``limit`` of the latest events, oldest first."""
        return tuple(self._events)[-limit:]
