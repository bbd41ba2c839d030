import asyncio
import collections
import dataclasses
import random
from collections.abc import Awaitable, Callable, Iterator, Sequence
from typing import Any, TypeVar

from jackdawlatch.backends import tasks, workers
from jackdawlatch.model import clocks, hosts, presets, records, work
from jackdawlatch.placement import book, buckets, drafts
from jackdawlatch.placer import assembly, authorities
from jackdawlatch.standins import fake_platform, fakes, worker_model
from jackdawlatch.telemetry import events, invariants, meters

Outcome = TypeVar('Outcome')

TTL_S = 6
HOSTS = ('h0', 'h1', 'h2', 'h3')
CAPACITY = hosts.Capacity(processors=8, memory_mb=64)
LAG_S = 1
LOOP_ITERATIONS = 40
STEP_S = 0.5
# Successors wait 900 s for a disconnected leader; all else is much faster.
COMPLETION_TIMEOUT_S = 1400
MEMBERSHIP = hosts.Membership(
    assignments_by_host={
        host: hosts.Assignment(pool='desk', phase=hosts.Phase.ACTIVE)
        for host in HOSTS
    },
    hosts_by_id={
        host: hosts.Host(
            id=host, zone='z1', rack='r1', worker=host, capacity=CAPACITY
        )
        for host in HOSTS
    },
)
CONFIGURATION = presets.Configuration(
    services_by_name={'match': presets.Service(name='match', pool='desk')},
)
OPTIONS = book.Options(shard='a', buckets=2, window_s=0, retention_s=1e6)


class ShiftedClock(clocks.Clock):
    """The clock of a process, whose wall time can be shifted."""

    def __init__(self, base: clocks.ManualClock) -> None:
        self.base = base
        self.offset_s: float = 0

    def monotonic_s(self) -> float:
        return self.base.monotonic_s()

    def wall_s(self) -> float:
        return self.base.wall_s() + self.offset_s


class ShardLease:
    """The lease on the shard, as the store keeps it."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.holder = ''
        self.until_s: float = 0

    def claim(self, holder: str) -> bool:
        now_s = self.clock.monotonic_s()
        if self.holder not in {'', holder} and now_s < self.until_s:
            return False
        self.holder, self.until_s = holder, now_s + TTL_S
        return True


class Candidacy:
    """Candidate for the shard lease; has the interface of ``leadership``."""

    key = 'seat'

    def __init__(self, shard_lease: ShardLease, holder: str) -> None:
        self._shard_lease = shard_lease
        self._holder = holder
        self._renewed_s = float('-inf')
        self.seen = ''

    @property
    def held(self) -> bool:
        age_s = self._shard_lease.clock.monotonic_s() - self._renewed_s
        return age_s < TTL_S * 0.75

    def holder(self, _key: str) -> str:
        return self.seen

    def step(self) -> None:
        now_s = self._shard_lease.clock.monotonic_s()
        if self._shard_lease.claim(self._holder):
            self._renewed_s = now_s
        self.seen = self._shard_lease.holder


class Gate:
    """Pauses the next process that passes while it is armed."""

    def __init__(self) -> None:
        self.armed = False
        self.opened: asyncio.Event | None = None

    async def passing(self) -> None:
        if self.armed:
            self.armed = False
            self.opened = asyncio.Event()
            await self.opened.wait()
            self.opened = None

    @property
    def paused(self) -> bool:
        return self.opened is not None

    def open(self) -> None:
        self.armed = False
        if self.opened:
            self.opened.set()


class PausedWorkers(workers.Workers):
    """Forwards calls; a pause delays a start before it is sent."""

    def __init__(self, inner: fake_platform.FakeWorkers, gate: Gate) -> None:
        self._inner = inner
        self._gate = gate

    async def start(self, address: str, task: tasks.Task) -> Any:
        await self._gate.passing()
        return await self._inner.start(address, task)

    async def forbid(self, address: str, task_id: str) -> Any:
        return await self._inner.forbid(address, task_id)

    async def renew(
        self, address: str, ids: Sequence[str], lease_s: float
    ) -> Any:
        return await self._inner.renew(address, ids, lease_s)

    async def usage(self, address: str) -> Any:
        return await self._inner.usage(address)

    async def checkpoint(self, address: str, task_id: str) -> Any:
        return await self._inner.checkpoint(address, task_id)

    async def throttle(
        self, address: str, task_id: str, fraction: float
    ) -> Any:
        return await self._inner.throttle(address, task_id, fraction)

    async def stop(self, address: str, task_id: str) -> Any:
        return await self._inner.stop(address, task_id)


class PausedStore(fakes.FakeStore):
    """One process's access to the store; can pause before or after a put."""

    def __init__(self, shared: fakes.FakeStore) -> None:
        super().__init__()
        self._shared = shared
        self.before = Gate()
        self.after = Gate()

    async def get(self, key: str) -> Any:
        return await self._shared.get(key)

    async def scan(self, prefix: str) -> Any:
        return await self._shared.scan(prefix)

    async def watch(self, prefix: str, revision: int, timeout_s: float) -> Any:
        return await self._shared.watch(prefix, revision, timeout_s)

    async def put(
        self, key: str, content: bytes, revision: int, lease: str = ''
    ) -> Any:
        await self.before.passing()
        written = await self._shared.put(key, content, revision, lease)
        await self.after.passing()
        return written


@dataclasses.dataclass
class Process:
    """A placer that can be paused at its calls and replaced."""

    name: str
    shard_lease: ShardLease
    shared: fakes.FakeStore
    platform: fake_platform.FakeWorkers
    clock: ShiftedClock

    def __post_init__(self) -> None:
        self.spawned: set[asyncio.Task[Any]] = set()
        self.stepping: asyncio.Task[None] | None = None
        self.store = PausedStore(self.shared)
        self.sending = Gate()
        self.candidacy = Candidacy(self.shard_lease, self.name)
        authority = authorities.LeaderAuthority(
            self.candidacy,  # type: ignore[arg-type]
            self.candidacy,  # type: ignore[arg-type]
            self.name,
            self.clock,
            TTL_S,
        )
        instruments = meters.Meters('placer', self.name)
        process = assembly.Process(
            store=self.store,
            workers=PausedWorkers(self.platform, self.sending),
            clock=self.clock,
            rng=random.Random(self.name),
            meters=instruments,
            invariants=invariants.Invariants(instruments, strict=True),
            ring=events.Ring(lambda: (0, 0, '')),
            spawn=self.spawn,
            membership=lambda: MEMBERSHIP,
            configuration=lambda: CONFIGURATION,
        )
        self.placer = assembly.build(process, authority, OPTIONS).placer
        self.steps = 0

    @property
    def gates(self) -> tuple[Gate, ...]:
        return (self.store.before, self.store.after, self.sending)

    @property
    def paused(self) -> bool:
        return any(gate.paused for gate in self.gates)

    def spawn(self, awaitable: Any) -> asyncio.Task[None]:
        spawned = asyncio.ensure_future(awaitable)
        self.spawned.add(spawned)
        return spawned

    def step(self) -> None:
        """Begin the next step, unless the process is paused."""
        if self.paused or (self.stepping and not self.stepping.done()):
            return
        self.check()
        self.stepping = self.spawn(self._step())

    def check(self) -> None:
        ended = {one for one in self.spawned if one.done()}
        self.spawned -= ended
        for one in ended:
            one.result()

    def kill(self) -> None:
        for running in self.spawned:
            running.cancel()

    async def _step(self) -> None:
        self.steps += 1
        if not self.shared.down:
            self.candidacy.step()
        await self.placer.sync(0)
        await self.placer.run_round()
        await self.placer.lease_manager.read_usage()
        if self.steps % 8 == 0:
            await self.placer.lease_manager.renew()


class Runs:
    """Checks the tasks that the workers ran."""

    def __init__(self, platform: fake_platform.FakeWorkers) -> None:
        self.platform = platform

    def check_overlap(self) -> None:
        alive = collections.Counter(
            report.id.partition(':')[0]
            for model in self.platform.models_by_address.values()
            for report in _running(model)
        )
        assert max(alive.values(), default=0) <= 1

    def by_job(self) -> collections.Counter[str]:
        return collections.Counter(
            execution.id.partition(':')[0]
            for execution in self.platform.starts()
        )


class Bench:
    """Placers that share a job registry and workers, on a manual clock."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.clock = clocks.ManualClock(1_000_000)
        self.store = fakes.FakeStore(self.clock)
        self.platform = fake_platform.FakeWorkers(
            {
                host: worker_model.Machine(host, CAPACITY, LAG_S)
                for host in HOSTS
            },
            self.clock,
        )
        self.runs = Runs(self.platform)
        self.shifted_clock = ShiftedClock(self.clock)
        self.entry = book.Book(self.store, OPTIONS, self.shifted_clock)
        self._shard_lease = ShardLease(self.clock)
        self._process_count = 0
        self.processes = [self._process() for _ in range(2)]

    def run(self, awaitable: Awaitable[Outcome]) -> Outcome:
        return self.loop.run_until_complete(awaitable)

    def tick(self, seconds: float = STEP_S) -> None:
        """Advance the clock, with a step of each placer every half second."""
        for _ in range(int(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.run(self._step())
            self.runs.check_overlap()

    def submit(self, **fields: Any) -> str:
        """Submit a job and return its id."""
        draft = drafts.Draft(service='match', **fields)
        return self.run(self.entry.submit(draft, 'desk', '')).unwrap().id

    def state(self, job_id: str) -> work.JobState:
        return self.jobs_by_id()[job_id].state

    def settle(self) -> None:
        self.run(_run_event_loop())

    def pause(self, place: int, gate: int, seconds: float) -> None:
        """Pause a placer at its next call for some time, then resume it."""
        process = self.processes[place]
        pause_at_next_call(self, process, gate)
        self.tick(seconds)
        process.gates[gate].open()
        self.settle()

    def replace(self, place: int) -> None:
        """Kill a placer and start another one without its state."""
        self.processes[place].kill()
        self.settle()
        self.processes[place] = self._process()

    def jobs_by_id(self) -> dict[str, work.Job]:
        found: dict[str, work.Job] = {}
        for entry in self.store.content.scan('jobs/').entries:
            bucket = records.decode(entry.value, buckets.Bucket)
            found.update(bucket.jobs_by_id)
        return found

    def close(self) -> None:
        for process in self.processes:
            process.kill()
        self.settle()
        self.loop.close()

    def _process(self) -> Process:
        self._process_count += 1
        return Process(
            f'p{self._process_count}',
            self._shard_lease,
            self.store,
            self.platform,
            ShiftedClock(self.clock),
        )

    async def _step(self) -> None:
        for process in self.processes:
            process.step()
        await _run_event_loop()


def pause_at_next_call(bench: Bench, process: Process, gate: int) -> None:
    """Run until a placer is paused at its next call."""
    process.gates[gate].armed = True
    for _ in range(20):
        if not process.paused:
            bench.tick()


def _running(model: worker_model.WorkerModel) -> Iterator[tasks.TaskReport]:
    model.advance()
    for one in model._table.everyone():
        if one.runs:
            yield one.report()


def on_bench(
    body: Callable[[Bench], None],
) -> Callable[[], Awaitable[None]]:
    """Turn a function of a bench into a test, outside the test's event loop."""

    def inside() -> None:
        bench = Bench()
        try:
            body(bench)
        finally:
            bench.close()

    async def outside() -> None:
        await asyncio.to_thread(inside)

    return outside


async def _run_event_loop() -> None:
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)
