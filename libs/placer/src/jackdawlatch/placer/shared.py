"""State and services shared by the components of a placer."""

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
from jackdawlatch.placement import worker_health
from jackdawlatch.placer import host_status, trackers
from jackdawlatch.telemetry import events, invariants, meters


class Authority(abc.ABC):
    """What this process is permitted to do now."""

    @abc.abstractmethod
    def leads(self) -> bool:
        """Whether this process may assume that it leads the shard."""

    @abc.abstractmethod
    def term(self) -> int:
        """Return a number that grows when another may have led in between."""

    @abc.abstractmethod
    def superseded(self) -> bool:
        """Whether another process is known to lead."""

    @abc.abstractmethod
    def may_renew(self) -> bool:
        """Whether this process may renew the leases of tasks.

        It may for a limited time after it lost the store, unless it knows of
        another leader.
        """


@dataclasses.dataclass(frozen=True)
class Context:
    """The shared components, set up when the placer is built."""

    authority: Authority
    job_registry: books.Book
    clock: clocks.Clock
    health: worker_health.Health
    meters: meters.Meters
    invariants: invariants.Invariants
    ring: events.Ring
    rng: random.Random
    host_status: host_status.HostStatus
    spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]
    tracker: trackers.Tracker
    view: views.View
    workers: workers.Workers

    async def usage(self, host: str) -> tasks.Usage | None:
        """Read a worker's usage; None if it fails, and the host is avoided."""
        response = await self.workers.usage(self.host_status.address(host))
        if isinstance(response, result.Failure):
            self.meters.count('placer_usage_failed')
            self.host_status.back_off(host)
            return None
        usage = response.unwrap()
        self.host_status.note_boot(host, usage.boot)
        return usage

    def note(self, name: str, job: work.Job, detail: str = '') -> None:
        """Count an event of a job and add it to the recent events."""
        self.meters.count('placer_job_events', event=name)
        self.ring.add(
            events.Event(name=name, job=job.id, host=job.host, detail=detail)
        )
