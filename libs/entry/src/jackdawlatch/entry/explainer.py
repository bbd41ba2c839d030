"""Explains the outcome of a request from the events of this entry."""

from jackdawlatch.node import context
from jackdawlatch.telemetry import events

REQUEST = 'request'
HOST = 'host'


class Explainer:
    """Answers operators' questions about requests and hosts."""

    def __init__(self, ring: events.Ring) -> None:
        self._ring = ring

    def explain(
        self, kind: str, subject: str
    ) -> tuple[context.Explanation, ...]:
        """Return the events of a request or host, with the last as answer.

        Returns nothing for other kinds and unknown subjects.
        """
        if kind not in {REQUEST, HOST}:
            return ()
        found = tuple(
            event
            for event in self._ring.latest()
            if subject in {event.request, event.host}
        )
        if not found:
            return ()
        last = found[-1]
        return (
            context.Explanation(
                subject=f'{kind} {subject}',
                answer=f'{last.name} {last.detail}'.strip(),
                evidence=found,
            ),
        )
