"""Turns keys of the store into news for the leader's book."""

import abc
from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec
from absl import logging
from returns import result

from jackdawlatch.jobs import model, stored
from jackdawlatch.model import failures, records
from jackdawlatch.scheduler import acceptance, reports, roll, workers
from jackdawlatch.store import following, keyvalue

Record = TypeVar('Record', bound=records.Record)


class WorkObserver(following.Observer):
    """Sees accepted jobs and the wishes to cancel them."""

    def __init__(
        self,
        own: acceptance.Acceptance,
        progress_by_id: dict[str, keyvalue.Entry],
    ) -> None:
        self._acceptance = own
        self._progress_by_id = progress_by_id

    def reset(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Take every entry; jobs are never taken away here."""
        for entry in sorted(entries, key=_jobs_first):
            self.change(entry)

    def change(self, entry: keyvalue.Entry) -> None:
        """Take a new job or cancel."""
        if entry.deleted:
            return
        if entry.key.startswith(stored.CANCELS_PREFIX):
            self._acceptance.cancel(
                entry.key.removeprefix(stored.CANCELS_PREFIX)
            )
            return
        job = decode(entry, model.Job)
        if job is None:
            return
        known = self._progress_by_id.pop(job.id, None)
        if known is None:
            self._acceptance.add(job, None, keyvalue.ABSENT)
        else:
            progress = decode(known, stored.Progress)
            self._acceptance.add(job, progress, known.revision)


class Directory(abc.ABC):
    """Where workers list themselves."""

    prefix: str

    @abc.abstractmethod
    def decode(
        self, entry: keyvalue.Entry
    ) -> result.Result[reports.WorkerEntry, failures.Invalid]:
        """Return the worker that an entry names."""

    @abc.abstractmethod
    def worker_id(self, key: str) -> str:
        """Return the id of the worker whose entry has this key."""


class WorkerObserver(following.Observer):
    """Sees workers come, change and go."""

    def __init__(
        self,
        own: roll.Roll,
        directory: Directory,
        joined: Callable[[workers.Worker], None],
    ) -> None:
        self._roll = own
        self._directory = directory
        self._joined = joined

    def reset(self, entries: Iterable[keyvalue.Entry]) -> None:
        """Take all entries; workers that have none are no longer listed."""
        listed = set()
        for entry in entries:
            listed.add(self._directory.worker_id(entry.key))
            self.change(entry)
        self._roll.keep(listed)

    def change(self, entry: keyvalue.Entry) -> None:
        """Take one worker's entry."""
        if entry.deleted:
            self._roll.unlist(self._directory.worker_id(entry.key))
            return
        decoded = self._directory.decode(entry)
        if isinstance(decoded, result.Failure):
            logging.info('entry %s: %s', entry.key, decoded.failure().line())
            return
        self._joined(self._roll.take(decoded.unwrap()))


def decode(entry: keyvalue.Entry, record_type: type[Record]) -> Record | None:
    """Return the record of an entry; a malformed one is logged."""
    try:
        return records.decode(entry.value, record_type)
    except msgspec.DecodeError as error:
        logging.error('record %s is malformed: %s', entry.key, error)
        return None


def _jobs_first(entry: keyvalue.Entry) -> bool:
    return entry.key.startswith(stored.CANCELS_PREFIX)
