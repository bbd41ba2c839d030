"""A leader with a fake store and fake workers, for the scheduler's tests."""

import asyncio
import contextlib
import io
import os
import tempfile
from collections.abc import AsyncIterator, Callable

from returns import result

from jackdawlatch.jobs import model, queues, stored
from jackdawlatch.model import clocks, failures, records
from jackdawlatch.scheduler import (
    clients,
    cluster_state,
    leader,
    observers,
    persistence,
    pools,
    reports,
    waves,
)
from jackdawlatch.standins import fakes, task_workers
from jackdawlatch.store import keyvalue, transactions
from jackdawlatch.telemetry import decisions, meters

QUEUE = queues.Queue(
    'photos', 'host', '/photos/', 'photo', max_attempts=2, slack_factor=2
)
ADVISED = queues.Queue('advised', 'host', '/advised/', 'photo', advised=True)
CATALOG = queues.Catalog(1, (QUEUE, ADVISED), (queues.Service('photo'),))


class Directory(observers.Directory):
    """Finds the worker entry whose id is the value of the store entry."""

    prefix = 'workers/'

    def __init__(self, entries_by_id: dict[str, reports.WorkerEntry]) -> None:
        self._entries_by_id = entries_by_id

    def decode(
        self, entry: keyvalue.Entry
    ) -> result.Result[reports.WorkerEntry, failures.Invalid]:
        """Return the worker entry."""
        worker_entry = self._entries_by_id.get(entry.value.decode())
        if worker_entry is None:
            return result.Failure(failures.Invalid(message='no such worker'))
        return result.Success(worker_entry)

    def worker_id(self, key: str) -> str:
        """Return the id of a worker, which is the end of its key."""
        return key.removeprefix(self.prefix)


class FakeMachines(clients.MachineClient):
    """Accepts every request, once ``opened`` is set, but for ``refused``.

    ``reboot`` starts a maintained machine again and returns how many runs that
    ended, which ``ended_runs`` adds up.  ``requested`` holds the machines of
    all maintenance requests, ``maintained`` those of the accepted ones.
    """

    def __init__(self, reboot: Callable[[str], int]) -> None:
        self.opened = asyncio.Event()
        self.opened.set()
        self.refused: set[str] = set()
        self.requested: list[str] = []
        self.maintained: list[str] = []
        self.ended_runs = 0
        self._reboot_worker = reboot

    async def list_all(
        self,
    ) -> result.Result[tuple[reports.Machine, ...], reports.MachineFailure]:
        """Return no machine."""
        return result.Success(())

    async def move(
        self, machine: str, service: str, token: int
    ) -> result.Result[None, reports.MachineFailure]:
        """Accept the request."""
        return result.Success(None)

    async def maintain(
        self, machine: str, wave: int, token: int
    ) -> result.Result[None, reports.MachineFailure]:
        """Accept the request."""
        self.requested.append(machine)
        await self.opened.wait()
        if machine in self.refused:
            return result.Failure(
                reports.MachineFailure(message='busy', refused=True)
            )
        self.maintained.append(machine)
        self.ended_runs += self._reboot_worker(machine.removeprefix('m-'))
        return result.Success(None)


class FakeAdvice(clients.AdviceClient):
    """Approves the workers in ``approved``, which holds their tickets."""

    def __init__(self) -> None:
        self.approved: dict[str, str] = {}

    async def advise(
        self, job: str, occurrence: int, step: int, workers: tuple[str, ...]
    ) -> result.Result[reports.Advice, reports.AdviceFailure]:
        """Return the tickets."""
        return result.Success(reports.Advice(dict(self.approved), valid_s=9))


class Bench:
    """One deployment; ``lead`` runs a leader for as long as a test needs it.

    Leaders begin with ``catalog`` as their configuration, and find the workers in
    ``directory``, by default in one of ``entries_by_id``.
    """

    catalog = CATALOG
    directory: observers.Directory | None = None

    def __init__(
        self,
        clock: clocks.Clock | None = None,
        workers: task_workers.FakeWorkers | None = None,
    ) -> None:
        self.clock = clock or clocks.SystemClock()
        self.store = fakes.FakeStore(self.clock)
        self.workers = workers or task_workers.FakeWorkers()
        self.machines = FakeMachines(self._reboot)
        self.advice = FakeAdvice()
        self.entries_by_id: dict[str, reports.WorkerEntry] = {}
        self.bounds = cluster_state.Bounds(lease_s=2, stop_s=0.05)
        self.maintenance_s: float = 0.1
        self.leading = True
        self.held = True
        self._log = decision_log()

    def add_worker(
        self, name: str, born_ms: int = 1, registered: bool = True
    ) -> task_workers.FakeWorker:
        """Boot a worker with capacity for four tasks of ``job``."""
        entry = reports.WorkerEntry(
            id=name,
            born_ms=born_ms,
            address=name,
            service='photo',
            zone='z',
            machine=f'm-{name}',
            room=model.Room(processors_m=4000, memory_mb=4000),
        )
        worker = self.workers.create(entry)
        self.workers.by_id[name] = worker
        if registered:
            self.add_entry(entry)
        return worker

    def add_entry(
        self, entry: reports.WorkerEntry, former: bool = False
    ) -> None:
        """Register a worker, or register it or a former boot again."""
        name = f'{entry.id}/{entry.born_ms}' if former else entry.id
        self.entries_by_id[name] = entry
        self.put(f'workers/{entry.id}', name.encode())

    def remove_worker(self, name: str) -> None:
        """Remove the registration of a worker that goes on answering."""
        self.store.content.commit(
            transactions.Transaction(deletes=(f'workers/{name}',))
        )

    def put(self, key: str, content: bytes) -> None:
        """Write a key."""
        self.store.content.commit(
            transactions.Transaction(
                puts=(transactions.Put(key=key, content=content),)
            )
        )

    def submit(self, job: model.Job) -> None:
        """Write an accepted job."""
        self.put(f'{stored.JOBS_PREFIX}{job.id}', records.pack(job))

    def cancel(self, job_id: str) -> None:
        """Write a cancellation request."""
        self.put(
            f'{stored.CANCELS_PREFIX}{job_id}',
            records.encode(stored.Cancel(asked_s=0)),
        )

    def progress(self, job_id: str) -> stored.Progress | None:
        """Return the stored progress of a job."""
        entry = self.store.content.get(f'{stored.PROGRESS_PREFIX}{job_id}')
        if entry is None:
            return None
        return records.decode(entry.value, stored.Progress)

    def phase(self, job_id: str) -> stored.JobPhase | None:
        """Return the stored phase of a job."""
        progress = self.progress(job_id)
        return progress.phase if progress else None

    @contextlib.asynccontextmanager
    async def lead(self) -> AsyncIterator[leader.Leader]:
        """Run a leader with a new fencing token."""
        self.leading = True
        led = self.leader(lambda: self.leading, lambda: self.held)
        running = asyncio.create_task(led.run())
        try:
            yield led
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    def leader(
        self,
        leading: Callable[[], bool],
        held: Callable[[], bool],
        sightings: observers.LeaseSightings | None = None,
    ) -> leader.Leader:
        """Return a leader that has just won the leadership key.

        By default its process has just started.
        """
        self.put(stored.LEADER_KEY, b'')
        entry = self.store.content.get(stored.LEADER_KEY)
        assert entry is not None
        return leader.Leader(
            leader.Dependencies(
                self.store,
                self.clock,
                self._log,
                self.workers,
                self.machines,
                self.advice,
                self.directory or Directory(self.entries_by_id),
                sightings or observers.LeaseSightings(self.clock),
                leading,
                held,
                leader.Settings(
                    self.bounds,
                    retention_s=60,
                    pools=pools.Limits(migration_s=0.1, moves_per_s=100),
                    waves=waves.Settings(self.maintenance_s, _status),
                ),
            ),
            persistence.Term('leader', entry.revision),
            self.catalog,
        )

    def _reboot(self, name: str) -> int:
        before = self.workers.by_id.get(name)
        self.add_worker(name, born_ms=2)
        return len(before.running) if before else 0


def job(job_id: str = 'a', **step: object) -> model.Job:
    """Return a job with one step; by default of one task."""
    fields = {'count': 1, 'room': model.Room(processors_m=1000), **step}
    return model.Job(
        id=job_id,
        queue='photos',
        service='photo',
        steps=(model.Step(**fields),),  # type: ignore[arg-type]
    )


def task(job_id: str = 'a', index: int = 0, step: int = 0) -> model.TaskId:
    """Return the id of a task."""
    return model.TaskId(job_id, 0, step, index)


@contextlib.contextmanager
def bench():
    """Yield a new deployment."""
    yield Bench()


def decision_log() -> decisions.DecisionLog:
    """Return a decision log that is written to a deleted file."""
    return decisions.DecisionLog(
        'test', clocks.SystemClock(), meters.Meters('test', 'test'), _sink()
    )


def _status(status: waves.WaveStatus) -> transactions.Put:
    return transactions.Put(
        key=f'status/{status.number}', content=records.encode(status)
    )


def _sink() -> io.TextIOWrapper:
    descriptor, path = tempfile.mkstemp()
    os.unlink(path)
    return os.fdopen(descriptor, 'w')
