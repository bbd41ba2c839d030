"""Observers that apply changes of the store to the cluster state."""

import abc
import asyncio
import functools
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec
from absl import logging
from returns import result

from jackdawlatch.jobs import model, start_rests, stored
from jackdawlatch.model import clocks, failures, records
from jackdawlatch.scheduler import (
    calls,
    job_loader,
    late_starts,
    reports,
    worker_registry,
    workers,
)
from jackdawlatch.store import following, keyvalue

Record = TypeVar('Record', bound=records.Record)

# Jobs that are loaded in one turn of the event loop, in which the lease of the
# leadership is not renewed and no worker is polled.
JOBS_PER_TURN = 100


class JobObserver(following.Observer):
    """Observes accepted jobs and cancellations."""

    def __init__(
        self,
        loader: job_loader.JobLoader,
        progress_by_id: dict[str, keyvalue.Entry],
        clock: clocks.Clock,
    ) -> None:
        self._loader = loader
        self._progress_by_id = progress_by_id
        self._clock = clock

    def reset(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Apply jobs before cancellations; jobs without an entry are kept."""
        for entry in sorted(entries, key=_loading_order):
            self._load(entry)

    async def load(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Apply all entries as ``reset`` does, in several turns."""
        ordered = sorted(entries, key=_loading_order)
        for number, entry in enumerate(ordered, start=1):
            self._load(entry)
            if not number % JOBS_PER_TURN:
                await asyncio.sleep(0)

    def change(self, entry: keyvalue.Entry) -> None:
        """Apply an accepted job or a cancellation; deletions are ignored.

        A job that arrives through the watch was accepted just now, whatever
        the clock of the host that accepted it says.
        """
        if not entry.deleted:
            self._apply(entry, None)

    def _load(self, entry: keyvalue.Entry) -> None:
        apply = functools.partial(self._apply, wall_s=self._clock.wall_s())
        self.observe(entry, apply)

    def _apply(self, entry: keyvalue.Entry, wall_s: float | None) -> None:
        if entry.key.startswith(stored.CANCELS_PREFIX):
            self._loader.cancel(entry.key.removeprefix(stored.CANCELS_PREFIX))
            return
        job = decode(entry, model.Job)
        if job is None:
            return
        age_s = 0 if wall_s is None else max(0, wall_s - job.accepted_s)
        known = self._progress_by_id.pop(job.id, None)
        if known is None:
            self._loader.add(job, None, keyvalue.ABSENT, age_s)
        else:
            progress = decode(known, stored.Progress)
            self._loader.add(job, progress, known.revision, age_s)


class Directory(abc.ABC):
    """The store prefix under which workers register."""

    prefix: str

    @abc.abstractmethod
    def decode(
        self, entry: keyvalue.Entry
    ) -> result.Result[reports.WorkerEntry, failures.Invalid]:
        """Return the registration in an entry."""

    @abc.abstractmethod
    def worker_id(self, key: str) -> str:
        """Return the id of the worker whose entry has this key."""


class WorkerObserver(following.Observer):
    """Observes the registrations of workers.

    Entries of services that nobody has named are withheld until they are.
    """

    def __init__(
        self,
        registry: worker_registry.WorkerRegistry,
        directory: Directory,
        on_registered: Callable[[workers.Worker], None],
    ) -> None:
        self._registry = registry
        self._directory = directory
        self._on_registered = on_registered
        self._withheld = registry.withheld

    def reset(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Apply all entries; workers without one are unregistered."""
        worker_ids = set()
        self._withheld.clear()
        for entry in entries:
            worker_ids.add(self._directory.worker_id(entry.key))
            self.observe(entry)
        self._registry.retain(worker_ids)

    def change(self, entry: keyvalue.Entry) -> None:
        """Apply the entry of one worker; an invalid one names no worker."""
        worker_id = self._directory.worker_id(entry.key)
        if entry.deleted:
            self._withheld.remove(worker_id)
            self._registry.unregister(worker_id)
            return
        decoded = self._directory.decode(entry)
        if isinstance(decoded, result.Success):
            self._register(decoded.unwrap())
            return
        self.skipped.log(entry.key, decoded.failure().line())
        self._withheld.remove(worker_id)
        self._registry.disregard(worker_id)

    def review_withheld(self) -> None:
        """Register the workers whose services have been named meanwhile."""
        for registration in self._withheld.admitted():
            self._register(registration)

    def _register(self, registration: reports.WorkerEntry) -> None:
        if self._withheld.admits(registration):
            self._withheld.remove(registration.id)
            self._on_registered(self._registry.register(registration))
        else:
            self._withheld.add(registration)
            self._registry.disregard(registration.id)


class LeaseSightings:
    """Notes when this process first saw each record of a lease.

    A process that leads next counts from there, on its own clock.
    ``start_ends_s`` holds the ends of the leases of unanswered starts, and
    ``late_starts`` until when those may be carried out that bind their tasks.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.records_by_boot: dict[workers.Boot, workers.LeaseRecord] = {}
        self.start_ends_s: dict[calls.RunId, float] = {}
        self.late_starts: dict[late_starts.Key, float] = {}
        self._clock = clock
        self._void_before = keyvalue.ABSENT

    def observe_leader(self, entry: keyvalue.Entry) -> None:
        """Apply a change of the leadership key."""
        known = None if entry.deleted else decode(entry, stored.Leader)
        if known is not None and not known.records_leases:
            self._void_before = entry.revision

    def observe(self, entry: keyvalue.Entry) -> None:
        """Apply the entry that holds the records."""
        void = entry.deleted or entry.revision < self._void_before
        leases = None if void else decode(entry, stored.Leases)
        rests = leases.rests if leases else ()
        self._observe_starts(leases or stored.Leases())
        self.records_by_boot = {
            (rest.worker, rest.born_ms): self._sighting(rest) for rest in rests
        }

    def _observe_starts(self, leases: stored.Leases) -> None:
        now_s = self._clock.monotonic_s()
        ends_s = {
            _run_id(start): now_s + start.left_s for start in leases.starts
        }
        # A start is sent once: its lease does not get longer.
        self.start_ends_s = {
            run_id: min(end_s, self.start_ends_s.get(run_id, end_s))
            for run_id, end_s in ends_s.items()
        }

        until_s = {
            _late_key(start): now_s + start.left_s
            for start in leases.late_starts
        }
        self.late_starts = {
            key: min(end_s, self.late_starts.get(key, end_s))
            for key, end_s in until_s.items()
        }

    def _sighting(self, rest: stored.LeaseRest) -> workers.LeaseRecord:
        end_s = self._clock.monotonic_s() + rest.left_s
        known = self.records_by_boot.get((rest.worker, rest.born_ms))
        if known is not None and known.episode == rest.episode:
            end_s = min(end_s, known.end_s)
        return workers.LeaseRecord(rest.episode, end_s)


def decode(entry: keyvalue.Entry, record_type: type[Record]) -> Record | None:
    """Return the record of an entry; log a malformed one and return None."""
    try:
        return records.decode(entry.value, record_type)
    except msgspec.DecodeError as error:
        logging.error('record %s is malformed: %s', entry.key, error)
        return None


def _run_id(start: start_rests.StartRest) -> calls.RunId:
    task = model.TaskId(start.job, start.occurrence, start.step, start.index)
    return calls.RunId(task, start.attempt)


def _late_key(rest: start_rests.LateStartRest) -> late_starts.Key:
    task = model.TaskId(rest.job, rest.occurrence, rest.step, rest.index)
    return task, rest.worker


def _loading_order(entry: keyvalue.Entry) -> tuple[bool, int]:
    """Order jobs by acceptance, in which teams claim their shares."""
    return (entry.key.startswith(stored.CANCELS_PREFIX), entry.revision)
