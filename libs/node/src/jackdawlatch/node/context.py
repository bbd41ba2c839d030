"""State of a daemon that its operations interface reads."""

import dataclasses
from collections.abc import Callable

from jackdawlatch.model import records
from jackdawlatch.node import documents
from jackdawlatch.telemetry import events, meters


class Explanation(records.Record, frozen=True, kw_only=True):
    """A one-line explanation of a subject's state, with related events."""

    subject: str
    answer: str
    evidence: tuple[events.Event, ...] = ()


Explain = Callable[[str, str], tuple[Explanation, ...]]


@dataclasses.dataclass(frozen=True)
class Context:
    """What the handlers read.

    ``explain`` takes the kind of a subject (host, job, request or pool) and
    its id.
    """

    ready: Callable[[], bool]
    status: Callable[[], records.Record]
    explain: Explain
    meters: meters.Meters
    ring: events.Ring
    documents: documents.Documents
