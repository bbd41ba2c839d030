"""Commands that show events and explanations from all daemons."""

import asyncio
import dataclasses
import datetime
import itertools

from returns import result
from tornado import escape

from jackdawlatch.command import fleet_client, operation
from jackdawlatch.node import context, roster
from jackdawlatch.telemetry import events

MICROSECONDS_PER_SECOND = 1_000_000
PROCESS_WIDTH_CHARS = 16
NAME_WIDTH_CHARS = 22
SUBJECT_KINDS = ('host', 'request', 'job', 'pool', 'preset')


@dataclasses.dataclass(frozen=True)
class ShowTimeline(operation.Operation):
    """Shows the latest events of all daemons by hybrid logical time.

    ``subject`` is the kind of subject, such as host, and ``id`` names it; the
    events of all subjects are shown if ``subject`` is empty.
    """

    subject: str = ''
    id: str = ''
    limit: int = 100

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Request the events of each daemon and merge them."""
        peers = await client.daemons()
        event_lists = await asyncio.gather(
            *(self._request_events(client, peer) for peer in peers)
        )
        matching = sorted(
            (
                event
                for event in itertools.chain(*event_lists)
                if self._matches(event)
            ),
            key=lambda event: event.stamp,
        )
        latest = matching[max(0, len(matching) - self.limit) :]
        lines = tuple(event_line(event) for event in latest)
        return result.Success(operation.Report(latest, lines))

    async def _request_events(
        self, client: fleet_client.FleetClient, peer: roster.Peer
    ) -> tuple[events.Event, ...]:
        response = await client.get(
            peer.operations_address, '/events', tuple[events.Event, ...]
        )
        return response.value_or(())

    def _matches(self, event: events.Event) -> bool:
        if not self.subject:
            return True
        return bool(getattr(event, self.subject) == self.id)


@dataclasses.dataclass(frozen=True)
class Explain(operation.Operation):
    """Explains why a job waits, a host moved or a request was refused.

    ``subject`` is the kind of subject, such as host, and ``id`` names it.
    """

    subject: str
    id: str

    async def run(self, client: fleet_client.FleetClient) -> operation.Outcome:
        """Request the explanations and the events of each daemon."""
        escaped_id = escape.url_escape(self.id)
        path = f'/explain?kind={self.subject}&id={escaped_id}'
        explanations = await self._request_explanations(client, path)
        events_command = ShowTimeline(subject=self.subject, id=self.id)
        timeline = (await events_command.run(client)).unwrap()
        lines = (
            tuple(explanation.answer for explanation in explanations)
            + timeline.lines
        )
        content = {'explanations': explanations, 'events': timeline.content}
        not_found = (
            f'no explanation or event found for {self.subject} {self.id}'
        )
        return result.Success(operation.Report(content, lines or (not_found,)))

    async def _request_explanations(
        self, client: fleet_client.FleetClient, path: str
    ) -> list[context.Explanation]:
        responses = await asyncio.gather(
            *(
                client.get(
                    peer.operations_address,
                    path,
                    tuple[context.Explanation, ...],
                )
                for peer in await client.daemons()
            )
        )
        return list(
            itertools.chain(*(response.value_or(()) for response in responses))
        )


def event_line(event: events.Event) -> str:
    """Format an event as one line of text."""
    micros, _, process = event.stamp
    time = datetime.datetime.fromtimestamp(
        micros / MICROSECONDS_PER_SECOND, tz=datetime.UTC
    )
    named = ((kind, getattr(event, kind)) for kind in SUBJECT_KINDS)
    subjects = (f'{kind}={name}' for kind, name in named if name)
    columns = (
        time.strftime('%H:%M:%S.%f'),
        process.ljust(PROCESS_WIDTH_CHARS),
        event.name.ljust(NAME_WIDTH_CHARS),
        *subjects,
        event.detail,
    )
    return ' '.join(columns).rstrip()
