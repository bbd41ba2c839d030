"""The records that entries and the slot broker of a service exchange."""

import enum
from typing import ClassVar

from jackdawlatch.model import failures, records, work


class Ticket(records.Record, frozen=True, kw_only=True):
    """An attempt at a request that needs a slot; the body stays at the entry.

    ``id`` is unique per attempt.  ``deadline_s`` is on the same clock as the
    ``now_s`` that policies are called with.  ``avoid`` names hosts on which
    earlier attempts failed; other hosts are preferred to them.
    """

    id: str
    kind: work.Kind
    deadline_s: float
    entry: str = ''
    idempotent: bool = True
    avoid: tuple[str, ...] = ()


class Grant(records.Record, frozen=True, kw_only=True):
    """One slot of a runner, which a ticket holds until it is released."""

    ticket: Ticket
    host: str
    granted_s: float


class Outcome(enum.StrEnum):
    """How the use of a slot ended.

    ``ANSWERED`` and ``FAILED`` affect the runner's health.  ``BUSY`` and
    ``LEAVING`` are its documented refusals, ``REFUSED`` is a connection that
    could not be opened.  ``UNUSED`` tells nothing about the runner.
    """

    ANSWERED = 'answered'
    FAILED = 'failed'
    BUSY = 'busy'
    LEAVING = 'leaving'
    REFUSED = 'refused'
    UNUSED = 'unused'


class QueueFull(failures.NotRun, frozen=True, kw_only=True):
    """The queue for the request's kind of work is at its limit."""

    code: ClassVar[str] = 'queue-full'


class DeadlineUnmet(failures.NotRun, frozen=True, kw_only=True):
    """The queue is too long for the request to be answered by its deadline."""

    code: ClassVar[str] = 'deadline-unmet'


class DeadlinePassed(failures.NotRun, frozen=True, kw_only=True):
    """The deadline passed while the request waited for a slot."""

    code: ClassVar[str] = 'deadline-passed'


class DuplicateTicket(failures.NotRun, frozen=True, kw_only=True):
    """A ticket with this id waits already, or holds a slot."""

    code: ClassVar[str] = 'duplicate-ticket'
