"""What the parts of a placer work with."""

import abc
import asyncio
import dataclasses
import random
from collections.abc import Callable, Coroutine
from typing import Any

from returns import result

from jackdawlatch.backends import tasks, workers
from jackdawlatch.model import clocks, work
from jackdawlatch.placement import book as books
from jackdawlatch.placement import view as views
from jackdawlatch.placement import workers as judgements
from jackdawlatch.placer import sites, trackers
from jackdawlatch.telemetry import events, invariants, meters


class Authority(abc.ABC):
    """What this process may do at this moment."""

    @abc.abstractmethod
    def leads(self) -> bool:
        """Whether it may believe that it leads the shard."""

    @abc.abstractmethod
    def term(self) -> int:
        """Return a number that grows when another may have led meanwhile."""

    @abc.abstractmethod
    def superseded(self) -> bool:
        """Whether another process is known to lead."""

    @abc.abstractmethod
    def may_renew(self) -> bool:
        """Whether it may renew the leases of tasks.

        It may for a while after it lost the store, unless it knows of
        another leader.
        """


@dataclasses.dataclass(frozen=True)
class Tools:
    """The parts that are shared, wired by the composition root."""

    authority: Authority
    book: books.Book
    clock: clocks.Clock
    health: judgements.Health
    meters: meters.Meters
    invariants: invariants.Invariants
    ring: events.Ring
    rng: random.Random
    sites: sites.Sites
    spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]
    tracker: trackers.Tracker
    view: views.View
    workers: workers.Workers

    async def usage(self, host: str) -> tasks.Usage | None:
        """Read a worker's usage; one that does not answer gets no work."""
        answered = await self.workers.usage(self.sites.address(host))
        if isinstance(answered, result.Failure):
            self.meters.count('placer_usage_failed')
            self.sites.cool(host)
            return None
        read = answered.unwrap()
        self.sites.note_boot(host, read.boot)
        return read

    def note(self, name: str, job: work.Job, detail: str = '') -> None:
        """Count something that happened to a job, and keep it as an event."""
        self.meters.count('placer_job_events', event=name)
        self.ring.add(
            events.Event(name=name, job=job.id, host=job.host, detail=detail)
        )
