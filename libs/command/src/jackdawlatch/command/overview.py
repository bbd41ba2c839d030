"""Commands that only look: status, time line, explanations."""

import asyncio
import dataclasses
import itertools
from datetime import UTC, datetime, timezone

import msgspec
from returns import result
from tornado import escape

from jackdawlatch.command import operation, session
from jackdawlatch.node import context, daemon, roster
from jackdawlatch.telemetry import events

MICROSECONDS = 1_000_000
SUBJECTS = ('host', 'request', 'job', 'pool', 'preset')


@dataclasses.dataclass(frozen=True)
class ShowStatus(operation.Operation):
    """Shows every live daemon with what it has applied."""

    async def run(self, opened: session.Session) -> operation.Reported:
        """Ask each daemon for its status."""
        peers = await opened.daemons()
        statuses = await asyncio.gather(
            *(
                opened.ask(peer.operations_address, '/status', daemon.Status)
                for peer in peers
            )
        )
        content = [
            one.unwrap() for one in statuses if isinstance(one, result.Success)
        ]
        silent = [
            f'{peer.role}/{peer.id}: no answer'
            for peer, one in zip(peers, statuses, strict=True)
            if isinstance(one, result.Failure)
        ]
        if not content:
            return result.Failure(
                session.Unreachable(
                    message='no daemon answered',
                    hint='check operations_addresses in the settings',
                )
            )
        lines = (*(_status_line(one) for one in content), *silent)
        return result.Success(operation.Report(content, lines))


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
        found = list(
            itertools.chain(*(answer.value_or(()) for answer in answers))
        )
        timeline = ShowTimeline(subject=self.subject, id=self.id)
        told = (await timeline.run(opened)).unwrap()
        lines = tuple(one.answer for one in found) + told.lines
        content = {'explanations': found, 'events': told.content}
        nothing = f'nothing is known of {self.subject} {self.id}'
        return result.Success(operation.Report(content, lines or (nothing,)))


def event_line(event: events.Event) -> str:
    """Return an event as one line of text."""
    micros, _, process = event.stamp
    moment = datetime.fromtimestamp(micros / MICROSECONDS, tz=UTC)
    subjects = (
        f'{subject}={getattr(event, subject)}'
        for subject in SUBJECTS
        if getattr(event, subject)
    )
    described = ' '.join((*subjects, event.detail))
    time = moment.strftime('%H:%M:%S.%f')
    return f'{time} {process:<16} {event.name:<22} {described}'.rstrip()


def _status_line(status: daemon.Status) -> str:
    ready = 'ready' if status.ready else 'not-ready'
    store = 'store-ok' if status.store_reachable else 'store-lost'
    details = msgspec.json.encode(status.details).decode()
    leading = ','.join(status.leading) or '-'
    who = f'{status.peer.role}/{status.peer.id}'
    return (
        f'{who:<20} {status.peer.zone:<12} {ready:<9} {store:<10} '
        f'v{status.configuration_version} {status.in_force} '
        f'leads={leading} {details}'
    )
