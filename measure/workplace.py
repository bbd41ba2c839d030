"""Simulation of one placer with fake workers and a fake store.

Time is virtual. Starts and throttles take ``CALL_S``, a checkpoint takes
``CHECKPOINT_S``; other calls and the store answer without delay. The placer
and its planner are the real ones.
"""

import asyncio
import heapq
import itertools
import random
from collections.abc import Coroutine, Sequence
from typing import Any

from returns import result

from jackdawlatch.model import clocks, hosts, presets, records, work
from jackdawlatch.placement import buckets, drafts, job_registry
from jackdawlatch.placer import assembly, shared
from jackdawlatch.backends import tasks, workers
from jackdawlatch.standins import fake_platform, fakes, worker_model
from jackdawlatch.telemetry import events, invariants, meters

START_S = 1_000_000
TICK_S = 0.1
USAGE_TICKS = 5
RENEW_TICKS = 50
USAGE_LAG_S = 1.0
CALL_S = 0.01
CHECKPOINT_S = 1.0
LOOP_YIELDS = 30
CAPACITY = hosts.Capacity(processors=64, memory_mb=128_000)
OPTIONS = job_registry.Options(shard='a', window_s=0, retention_s=1e6)


class VirtualClock(clocks.ManualClock):
    """A manual clock with a ``sleep`` that waits for virtual time."""

    def __init__(self) -> None:
        super().__init__(START_S)
        self._sleep_numbers = itertools.count()
        self._sleeping: list[tuple[float, int, asyncio.Event]] = []

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock has advanced by some seconds."""
        woken = asyncio.Event()
        due_s = self.monotonic_s() + seconds
        heapq.heappush(
            self._sleeping, (due_s, next(self._sleep_numbers), woken)
        )
        await woken.wait()

    def advance(self, seconds: float) -> None:
        """Advance by some seconds and wake the sleepers that are due."""
        super().advance(seconds)
        while self._sleeping and self._sleeping[0][0] <= self.monotonic_s():
            heapq.heappop(self._sleeping)[2].set()


class SoleLeader(shared.Authority):
    """Authority of a placer that has no rivals and always leads."""

    def leads(self) -> bool:
        """Return whether it leads: always."""
        return True

    def term(self) -> int:
        """Return the leadership term, which never changes."""
        return 1

    def superseded(self) -> bool:
        """Return whether another placer leads: never."""
        return False

    def may_renew(self) -> bool:
        """Return whether it may renew leases: always."""
        return True


class SlowWorkers(workers.Workers):
    """Fake workers whose calls take virtual time."""

    def __init__(
        self, inner: fake_platform.FakeWorkers, clock: VirtualClock
    ) -> None:
        self._inner = inner
        self._clock = clock

    async def start(self, address: str, task: tasks.Task) -> Any:
        """Start a task after ``CALL_S``."""
        await self._clock.sleep(CALL_S)
        return await self._inner.start(address, task)

    async def forbid(self, address: str, task_id: str) -> Any:
        """Forbid a task after ``CALL_S``."""
        await self._clock.sleep(CALL_S)
        return await self._inner.forbid(address, task_id)

    async def renew(
        self, address: str, ids: Sequence[str], lease_s: float
    ) -> Any:
        """Renew task leases without delay."""
        return await self._inner.renew(address, ids, lease_s)

    async def usage(self, address: str) -> Any:
        """Read the usage of a worker without delay."""
        return await self._inner.usage(address)

    async def checkpoint(self, address: str, task_id: str) -> Any:
        """Checkpoint a task after ``CHECKPOINT_S``."""
        await self._clock.sleep(CHECKPOINT_S)
        return await self._inner.checkpoint(address, task_id)

    async def throttle(
        self, address: str, task_id: str, fraction: float
    ) -> Any:
        """Throttle a task after ``CALL_S``."""
        await self._clock.sleep(CALL_S)
        return await self._inner.throttle(address, task_id, fraction)

    async def stop(self, address: str, task_id: str) -> Any:
        """Stop a task without delay."""
        return await self._inner.stop(address, task_id)


class PlacerSimulation:
    """Simulates one pool of hosts, one placer and the submission of jobs.

    ``peak_overuse`` is the highest demand for processors on a host over its
    capacity, as reported by the workers.
    """

    def __init__(self, policy: str, hosts_count: int, seed: int) -> None:
        self.clock = VirtualClock()
        self.store = fakes.FakeStore(self.clock)
        names = [f'h{number}' for number in range(hosts_count)]
        self.workers = fake_platform.FakeWorkers(
            {
                name: worker_model.Machine(name, CAPACITY, USAGE_LAG_S)
                for name in names
            },
            self.clock,
        )
        self.job_registry = job_registry.JobRegistry(
            self.store, OPTIONS, self.clock
        )
        self.peak_overuse: float = 0
        self._membership = _membership(names)
        self._configuration = _configuration(policy)
        self._placer = self._build(seed).placer
        self._spawned: set[asyncio.Task[None]] = set()
        self._ticks = itertools.count(1)

    async def submit(self, draft: drafts.Draft, team: str) -> str:
        """Submit a job and return its id."""
        submitted = await self.job_registry.submit(draft, team, '')
        return submitted.unwrap().id

    async def run_for(self, seconds: float) -> None:
        """Advance virtual time by some seconds."""
        for _ in range(max(1, round(seconds / TICK_S))):
            await self._tick()

    def jobs_by_id(self) -> dict[str, work.Job]:
        """Return every stored job by its id."""
        found: dict[str, work.Job] = {}
        for entry in self.store.content.scan('jobs/').entries:
            bucket = records.decode(entry.value, buckets.Bucket)
            found.update(bucket.jobs_by_id)
        return found

    def starts_by_job(self) -> dict[str, float]:
        """Return the time of the first start of each job in seconds, by id."""
        starts: dict[str, float] = {}
        for execution in self.workers.starts():
            job_id = execution.id.partition(':')[0]
            known_s = starts.get(job_id, execution.start_s)
            starts[job_id] = min(known_s, execution.start_s)
        return starts

    async def progress_by_job(self) -> dict[str, float]:
        """Return the finished fraction of each job, by id."""
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
            self._record_overuse()
        if ticks % RENEW_TICKS == 0:
            await self._placer.lease_manager.renew()
        for _ in range(LOOP_YIELDS):
            await asyncio.sleep(0)

    def _record_overuse(self) -> None:
        for model in self.workers.models_by_address.values():
            used_processors = sum(
                report.processors
                for report in model.usage().tasks
                if report.state is tasks.TaskState.RUNNING
            )
            use_ratio = used_processors / model.machine.capacity.processors
            self.peak_overuse = max(self.peak_overuse, use_ratio)

    def _build(self, seed: int) -> assembly.Components:
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
        return assembly.build(process, SoleLeader(), OPTIONS)

    def _spawn(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        spawned = asyncio.ensure_future(coroutine)
        self._spawned.add(spawned)
        spawned.add_done_callback(self._on_task_done)
        return spawned

    def _on_task_done(self, spawned: asyncio.Task[None]) -> None:
        self._spawned.discard(spawned)
        spawned.result()


def failed(outcome: job_registry.Outcome) -> bool:
    """Return whether a job operation failed."""
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
