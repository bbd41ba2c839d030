"""The stored form of starts without an answer."""

import msgspec


class StartRest(msgspec.Struct, frozen=True, array_like=True):
    """How long a run whose start got no answer may last.

    A boot that the leader does not know may have it.  ``left_s`` counts from
    when it is read; it is negative if the lease of that boot has ended.
    """

    job: str
    occurrence: int
    step: int
    index: int
    attempt: int
    left_s: float


class LateStartRest(msgspec.Struct, frozen=True, array_like=True):
    """How long a start without an answer may still be carried out.

    ``worker`` is the id that it was sent to.  ``left_s`` counts from when it is
    read; it is negative if that time is over.
    """

    job: str
    occurrence: int
    step: int
    index: int
    worker: str
    left_s: float
