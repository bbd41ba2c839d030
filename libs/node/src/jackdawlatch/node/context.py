"""What the operations interface of a daemon reads."""

import dataclasses
from collections.abc import Callable

from jackdawlatch.model import records
from jackdawlatch.node import documents
from jackdawlatch.telemetry import events, meters


class Explanation(records.Record, frozen=True, kw_only=True):
    """Why something is as it is, in one line, with the events behind it."""

    subject: str
    answer: str
    evidence: tuple[events.Event, ...] = ()


Explain = Callable[[str, str], tuple[Explanation, ...]]


@dataclasses.dataclass(frozen=True)
class Context:
    """What the handlers read.

    ``explain`` is asked with a kind of subject (host, job, request, pool)
    and its id.
    """

    ready: Callable[[], bool]
    status: Callable[[], records.Record]
    explain: Explain
    meters: meters.Meters
    ring: events.Ring
    documents: documents.Documents
