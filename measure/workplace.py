"""One placer over fake workers and a fake store, in virtual time.

Calls to workers take ``CALL_S``, a checkpoint ``CHECKPOINT_S``; the store
answers at once.  It drives the product's own placer and planner.
"""

import asyncio
import heapq
import itertools
import random
from collections.abc import Coroutine, Sequence
from typing import Any

from returns import result

from jackdawlatch.model import clocks, hosts, presets, records, work
from jackdawlatch.placement import book, buckets, drafts
from jackdawlatch.placer import assembly, shared
from jackdawlatch.backends import tasks, workers
from jackdawlatch.standins import fake_platform, fakes, worker_model
from jackdawlatch.telemetry import events, invariants, meters

START_S = 1_000_000
TICK_S = 0.1
USAGE_TICKS = 5
RENEW_TICKS = 50
LAG_S = 1.0
CALL_S = 0.01
CHECKPOINT_S = 1.0
TURNS = 30
CAPACITY = hosts.Capacity(processors=64, memory_mb=128_000)
OPTIONS = book.Options(shard='a', window_s=0, retention_s=1e6)


class VirtualClock(clocks.ManualClock):
    """A clock on which work can sleep."""

    def __init__(self) -> None:
        super().__init__(START_S)
        self._numbers = itertools.count()
        self._sleeping: list[tuple[float, int, asyncio.Event]] = []

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock was moved on so far."""
        woken = asyncio.Event()
        due_s = self.monotonic_s() + seconds
        heapq.heappush(self._sleeping, (due_s, next(self._numbers), woken))
        await woken.wait()

    def advance(self, seconds: float) -> None:
        """Move on and wake who is due."""
        super().advance(seconds)
        while self._sleeping and self._sleeping[0][0] <= self.monotonic_s():
            heapq.heappop(self._sleeping)[2].set()


class Sole(shared.Authority):
    """The one and only placer."""

    def leads(self) -> bool:
        """Whether it leads: always."""
        return True

    def term(self) -> int:
        """Return the number of the only term."""
        return 1

    def superseded(self) -> bool:
        """Whether another leads: never."""
        return False

    def may_renew(self) -> bool:
        """Whether it may renew: always."""
        return True


class SlowWorkers(workers.Workers):
    """Workers whose answers take time."""

    def __init__(
        self, inner: fake_platform.FakeWorkers, clock: VirtualClock
    ) -> None:
        self._inner = inner
        self._clock = clock

    async def start(self, address: str, task: tasks.Task) -> Any:
        """Start a task."""
        await self._clock.sleep(CALL_S)
        return await self._inner.start(address, task)

    async def renew(
        self, address: str, ids: Sequence[str], lease_s: float
    ) -> Any:
        """Renew leases."""
        return await self._inner.renew(address, ids, lease_s)

    async def usage(self, address: str) -> Any:
        """Read usage."""
        return await self._inner.usage(address)

    async def checkpoint(self, address: str, task_id: str) -> Any:
        """Checkpoint a task."""
        await self._clock.sleep(CHECKPOINT_S)
        return await self._inner.checkpoint(address, task_id)

    async def throttle(
        self, address: str, task_id: str, fraction: float
    ) -> Any:
        """Throttle a task."""
        await self._clock.sleep(CALL_S)
        return await self._inner.throttle(address, task_id, fraction)

    async def stop(self, address: str, task_id: str) -> Any:
        """Stop a task."""
        return await self._inner.stop(address, task_id)


class Workplace:
    """One pool of hosts, one placer, and the callers' side of the book."""

    def __init__(self, policy: str, hosts_count: int, seed: int) -> None:
        self.clock = VirtualClock()
        self.store = fakes.FakeStore(self.clock)
        names = [f'h{number}' for number in range(hosts_count)]
        self.workers = fake_platform.FakeWorkers(
            {
                name: worker_model.Machine(name, CAPACITY, LAG_S)
                for name in names
            },
            self.clock,
        )
        self.book = book.Book(self.store, OPTIONS, self.clock)
        self.overuse: float = 0
        self._membership = _membership(names)
        self._configuration = _configuration(policy)
        self._placer = self._build(seed).placer
        self._spawned: set[asyncio.Task[None]] = set()
        self._ticks = itertools.count(1)

    async def submit(self, draft: drafts.Draft, team: str) -> str:
        """Keep a job and return its id."""
        kept = await self.book.submit(draft, team, '')
        return kept.unwrap().id

    async def go_on(self, seconds: float) -> None:
        """Let virtual time pass."""
        for _ in range(max(1, round(seconds / TICK_S))):
            await self._tick()

    def jobs_by_id(self) -> dict[str, work.Job]:
        """Return every job of the book."""
        found: dict[str, work.Job] = {}
        for entry in self.store.content.scan('jobs/').entries:
            bucket = records.decode(entry.value, buckets.Bucket)
            found.update(bucket.jobs_by_id)
        return found

    def starts_by_job(self) -> dict[str, float]:
        """Return when each job was first started, by id."""
        starts: dict[str, float] = {}
        for execution in self.workers.starts():
            job_id = execution.id.partition(':')[0]
            known_s = starts.get(job_id, execution.start_s)
            starts[job_id] = min(known_s, execution.start_s)
        return starts

    async def progress_by_job(self) -> dict[str, float]:
        """Return the part of each job that was worked so far."""
        progress: dict[str, float] = {}
        for model in self.workers.models_by_address.values():
            model.machine = worker_model.Machine(
                model.machine.host, model.machine.capacity
            )
            for report in model.usage().tasks:
                job_id = report.id.partition(':')[0]
                known = progress.get(job_id, 0)
                progress[job_id] = max(known, report.progress)
        return progress

    async def _tick(self) -> None:
        self.clock.advance(TICK_S)
        ticks = next(self._ticks)
        await self._placer.sync(0)
        await self._placer.run_round()
        if ticks % USAGE_TICKS == 0:
            await self._placer.lease_manager.read_usage()
            self._observe()
        if ticks % RENEW_TICKS == 0:
            await self._placer.lease_manager.renew()
        for _ in range(TURNS):
            await asyncio.sleep(0)

    def _observe(self) -> None:
        for model in self.workers.models_by_address.values():
            wanted = sum(
                report.processors
                for report in model.usage().tasks
                if report.state is tasks.TaskState.RUNNING
            )
            over = wanted / model.machine.capacity.processors
            self.overuse = max(self.overuse, over)

    def _build(self, seed: int) -> assembly.Parts:
        instruments = meters.Meters('placer', 'measure')
        process = assembly.Process(
            store=self.store,
            workers=SlowWorkers(self.workers, self.clock),
            clock=self.clock,
            rng=random.Random(seed),
            meters=instruments,
            invariants=invariants.Invariants(instruments, strict=True),
            ring=events.Ring(lambda: (0, 0, '')),
            spawn=self._spawn,
            membership=lambda: self._membership,
            configuration=lambda: self._configuration,
        )
        return assembly.build(process, Sole(), OPTIONS)

    def _spawn(
        self, work_to_do: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        spawned = asyncio.ensure_future(work_to_do)
        self._spawned.add(spawned)
        spawned.add_done_callback(self._ended)
        return spawned

    def _ended(self, spawned: asyncio.Task[None]) -> None:
        self._spawned.discard(spawned)
        spawned.result()


def failed(outcome: book.Outcome) -> bool:
    """Whether an outcome is a failure."""
    return isinstance(outcome, result.Failure)


def _membership(names: list[str]) -> hosts.Membership:
    active = hosts.Assignment(pool='desk', phase=hosts.Phase.ACTIVE)
    return hosts.Membership(
        assignments_by_host=dict.fromkeys(names, active),
        hosts_by_id={
            name: hosts.Host(
                id=name, zone='a', rack='r', worker=name, capacity=CAPACITY
            )
            for name in names
        },
    )


def _configuration(policy: str) -> presets.Configuration:
    preset = presets.Preset(name='ordinary', placement=policy)
    return presets.Configuration(
        presets_by_name={'ordinary': preset},
        services_by_name={'match': presets.Service(name='match', pool='desk')},
    )
