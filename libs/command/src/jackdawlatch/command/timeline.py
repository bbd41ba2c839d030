"""Commands on the events of all processes: time line and explanations."""

import asyncio
import dataclasses
import datetime
import itertools

from returns import result
from tornado import escape

from jackdawlatch.command import operation, session
from jackdawlatch.node import context, roster
from jackdawlatch.telemetry import events

MICROSECONDS = 1_000_000
PROCESS_COLUMNS = 16
NAME_COLUMNS = 22
SUBJECTS = ('host', 'request', 'job', 'pool', 'preset')


@dataclasses.dataclass(frozen=True)
class ShowTimeline(operation.Operation):
    """Merges the events of all daemons by their hybrid logical time."""

    subject: str = ''
    id: str = ''
    limit: int = 100

    async def run(self, opened: session.Session) -> operation.Reported:
        """Ask each daemon for its events."""
        peers = await opened.daemons()
        rings = await asyncio.gather(
            *(self._events(opened, peer) for peer in peers)
        )
        chosen = sorted(
            (one for one in itertools.chain(*rings) if self._concerns(one)),
            key=lambda one: one.stamp,
        )
        latest = chosen[-self.limit :]
        lines = tuple(event_line(one) for one in latest)
        return result.Success(operation.Report(latest, lines))

    async def _events(
        self, opened: session.Session, peer: roster.Peer
    ) -> tuple[events.Event, ...]:
        answered = await opened.ask(
            peer.operations_address, '/events', tuple[events.Event, ...]
        )
        return answered.value_or(())

    def _concerns(self, event: events.Event) -> bool:
        if not self.subject:
            return True
        return bool(getattr(event, self.subject) == self.id)


@dataclasses.dataclass(frozen=True)
class Explain(operation.Operation):
    """Says why a job waits, a host moved, a request was refused."""

    subject: str
    id: str

    async def run(self, opened: session.Session) -> operation.Reported:
        """Ask each daemon for its explanation."""
        subject = escape.url_escape(self.id)
        path = f'/explain?kind={self.subject}&id={subject}'
        found = await self._answers(opened, path)
        timeline = ShowTimeline(subject=self.subject, id=self.id)
        told = (await timeline.run(opened)).unwrap()
        lines = tuple(one.answer for one in found) + told.lines
        content = {'explanations': found, 'events': told.content}
        nothing = f'nothing is known of {self.subject} {self.id}'
        return result.Success(operation.Report(content, lines or (nothing,)))

    async def _answers(
        self, opened: session.Session, path: str
    ) -> list[context.Explanation]:
        answers = await asyncio.gather(
            *(
                opened.ask(
                    peer.operations_address,
                    path,
                    tuple[context.Explanation, ...],
                )
                for peer in await opened.daemons()
            )
        )
        return list(
            itertools.chain(*(answer.value_or(()) for answer in answers))
        )


def event_line(event: events.Event) -> str:
    """Return an event as one line of text."""
    micros, _, process = event.stamp
    moment = datetime.datetime.fromtimestamp(
        micros / MICROSECONDS, tz=datetime.UTC
    )
    named = ((subject, getattr(event, subject)) for subject in SUBJECTS)
    subjects = (f'{subject}={name}' for subject, name in named if name)
    columns = (
        moment.strftime('%H:%M:%S.%f'),
        process.ljust(PROCESS_COLUMNS),
        event.name.ljust(NAME_COLUMNS),
        *subjects,
        event.detail,
    )
    return ' '.join(columns).rstrip()
