import asyncio
import collections
import dataclasses
import random
from collections.abc import Awaitable, Sequence
from typing import Any, TypeVar

import hypothesis
from hypothesis import stateful  # noqa: WPS458 settings are no module.
from hypothesis import strategies as st
from returns import result

from jackdawlatch.model import clocks, hosts, presets, work
from jackdawlatch.placement import book, buckets, drafts, view
from jackdawlatch.placement import workers as judgements
from jackdawlatch.placer import (
    authorities,
    daemon,
    planning,
    sites,
    tools,
    trackers,
)
from jackdawlatch.platform import tasks, workers
from jackdawlatch.standins import fake_platform, fakes, worker_model
from jackdawlatch.store import keyvalue
from jackdawlatch.telemetry import events, invariants, meters
from jackdawlatch.testing import functions

Outcome = TypeVar('Outcome')

TTL_S = 6
HOSTS = ('h0', 'h1', 'h2', 'h3')
CAPACITY = hosts.Capacity(processors=8, memory_mb=64)
LAG_S = 1
TURNS = 60
STEP_S = 0.5
# Successors give a cut-off leader 900 s; all else is much faster.
PATIENCE_S = 1400
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
SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    database=None,
)


class SteppedClock(clocks.Clock):
    """A process's clock: its wall time may be stepped."""

    def __init__(self, base: clocks.ManualClock) -> None:
        self.base = base
        self.offset_s: float = 0

    def monotonic_s(self) -> float:
        return self.base.monotonic_s()

    def wall_s(self) -> float:
        return self.base.wall_s() + self.offset_s


class Seat:
    """Who holds the lease on the shard, as the store has it."""

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
    """Leadership of a seat, with the interface of ``node.leadership``."""

    key = 'seat'

    def __init__(self, seat: Seat, holder: str) -> None:
        self._seat = seat
        self._holder = holder
        self._renewed_s = float('-inf')
        self.seen = ''

    @property
    def held(self) -> bool:
        age_s = self._seat.clock.monotonic_s() - self._renewed_s
        return age_s < TTL_S * 0.75

    def holder(self, _key: str) -> str:
        return self.seen

    def step(self) -> None:
        now_s = self._seat.clock.monotonic_s()
        if self._seat.claim(self._holder):
            self._renewed_s = now_s
        self.seen = self._seat.holder


class Gate:
    """Pauses the process that next comes by."""

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
    """Passes calls on; a pause holds up a start on its way."""

    def __init__(self, inner: fake_platform.FakeWorkers, gate: Gate) -> None:
        self._inner = inner
        self._gate = gate

    async def start(self, address: str, task: tasks.Task) -> Any:
        await self._gate.passing()
        return await self._inner.start(address, task)

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
    """One process's way to the store; a pause holds a put before or after."""

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
    """One placer, which can be paused at its calls and replaced."""

    name: str
    seat: Seat
    shared: fakes.FakeStore
    platform: fake_platform.FakeWorkers
    clock: SteppedClock

    def __post_init__(self) -> None:
        self.spawned: set[asyncio.Task[Any]] = set()
        self.stepping: asyncio.Task[None] | None = None
        self.store = PausedStore(self.shared)
        self.sending = Gate()
        self.candidacy = Candidacy(self.seat, self.name)
        authority = authorities.LeaderAuthority(
            self.candidacy,  # type: ignore[arg-type]
            self.candidacy,  # type: ignore[arg-type]
            self.name,
            self.clock,
            TTL_S,
        )
        instruments = meters.Meters('placer', self.name)
        own = tools.Tools(
            authority=authority,
            book=book.Book(self.store, OPTIONS, self.clock),
            clock=self.clock,
            health=judgements.Health(),
            meters=instruments,
            invariants=invariants.Invariants(instruments, strict=True),
            ring=events.Ring(lambda: (0, 0, '')),
            rng=random.Random(self.name),
            sites=sites.Sites(lambda: MEMBERSHIP, self.clock),
            spawn=self.spawn,
            tracker=trackers.Tracker(self.clock),
            view=view.View(),
            workers=PausedWorkers(self.platform, self.sending),
        )
        plans = planning.Planning(own, lambda: CONFIGURATION)
        self.placer = daemon.Placer(own, authority, plans, 'a', self.store)
        self.steps = 0

    @property
    def gates(self) -> tuple[Gate, ...]:
        return (self.store.before, self.store.after, self.sending)

    @property
    def paused(self) -> bool:
        return any(gate.paused for gate in self.gates)

    def spawn(self, work_to_do: Any) -> asyncio.Task[None]:
        spawned = asyncio.ensure_future(work_to_do)
        self.spawned.add(spawned)
        return spawned

    def step(self) -> None:
        """Go on, unless the process is paused."""
        if self.paused or (self.stepping and not self.stepping.done()):
            return
        self.check()
        self.stepping = self.spawn(self._step())

    def check(self) -> None:
        for ended in [one for one in self.spawned if one.done()]:
            self.spawned.discard(ended)
            ended.result()

    def kill(self) -> None:
        for running in self.spawned:
            running.cancel()

    async def _step(self) -> None:
        self.steps += 1
        if not self.shared.down:
            self.candidacy.step()
        await self.placer.sync(0)
        await self.placer.round()
        await self.placer.keeper.read_usage()
        if self.steps % 8 == 0:
            await self.placer.keeper.renew()


OPTIONS = book.Options(shard='a', buckets=2, window_s=0, retention_s=1e6)


class PlacerMachine(stateful.RuleBasedStateMachine):
    """Two placers on one book, under faults, against what workers ran."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = clocks.ManualClock(1_000_000)
        self.store = fakes.FakeStore(self.clock)
        self.seat = Seat(self.clock)
        self.platform = fake_platform.FakeWorkers(
            {
                host: worker_model.Machine(host, CAPACITY, LAG_S)
                for host in HOSTS
            },
            self.clock,
        )
        self.stepped = SteppedClock(self.clock)
        self.entry = book.Book(self.store, OPTIONS, self.stepped)
        self.lives = 0
        self.processes = [self._process() for _ in range(2)]
        self.kept: dict[str, drafts.Draft] = {}
        self.submitted = 0

    @stateful.rule(
        count=st.integers(1, 4),
        idempotent=st.booleans(),
        urgency=st.sampled_from(work.Urgency),
        processors=st.sampled_from((1, 3, 8)),
        run_s=st.sampled_from((0.2, 3, 40)),
        outcome=st.sampled_from(('done', 'done', 'crash')),
    )
    def submit(
        self,
        count: int,
        idempotent: bool,
        urgency: work.Urgency,
        processors: float,
        run_s: float,
        outcome: str,
    ) -> None:
        draft = drafts.Draft(
            service='match',
            urgency=urgency,
            processors=processors,
            command=f'run={run_s} outcome={outcome}',
            idempotent=idempotent,
        )
        for _ in range(count):
            self.submitted += 1
            kept = self._run(
                self.entry.submit(draft, 'desk', str(self.submitted))
            )
            if isinstance(kept, result.Success):
                self.kept[kept.unwrap().id] = draft

    @stateful.rule(place=st.integers(0, 30))
    def cancel(self, place: int) -> None:
        if self.kept:
            self._run(
                self.entry.cancel(list(self.kept)[place % len(self.kept)])
            )

    @stateful.rule(steps=st.integers(1, 30))
    def go_on(self, steps: int) -> None:
        for _ in range(steps):
            self._tick()

    @stateful.rule(
        process=st.integers(0, 1),
        gate=st.integers(0, 2),
        seconds=st.sampled_from((1, 3, 8, 30, 60)),
    )
    def pause(self, process: int, gate: int, seconds: int) -> None:
        """Pause a placer at its next call, for some time from then on."""
        paused = self.processes[process]
        paused.gates[gate].armed = True
        for _ in range(20):
            self._tick()
            if paused.paused:
                break
        for _ in range(int(seconds / STEP_S)):
            self._tick()
        paused.gates[gate].open()
        self._settle()

    @stateful.rule(process=st.integers(0, 1))
    def replace(self, process: int) -> None:
        self.processes[process].kill()
        self._settle()
        self.processes[process] = self._process()

    @stateful.rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.store.down = down

    @stateful.rule()
    def lose_reply_of_store(self) -> None:
        self.store.lose_replies = 1

    @stateful.rule()
    def lose_reply_of_worker(self) -> None:
        self.platform.lose_replies = 1

    @stateful.rule(host=st.sampled_from(HOSTS))
    def cut(self, host: str) -> None:
        self.platform.unreachable ^= {host}

    @stateful.rule(host=st.sampled_from(HOSTS))
    def reboot(self, host: str) -> None:
        self.platform.models_by_address[host].forget()

    @stateful.rule(host=st.sampled_from(HOSTS), fails=st.booleans())
    def break_worker(self, host: str, fails: bool) -> None:
        self.platform.models_by_address[host].fails_everything = fails

    @stateful.rule(process=st.integers(0, 2), step_s=st.integers(-3600, 3600))
    def step_clock(self, process: int, step_s: int) -> None:
        stepped = (*(one.clock for one in self.processes), self.stepped)
        stepped[process].offset_s = step_s

    @stateful.invariant()
    def runs_hold(self) -> None:
        starts = collections.Counter(
            execution.id.partition(':')[0]
            for execution in self.platform.starts()
        )
        for job_id, count in starts.items():
            draft = self.kept.get(job_id)
            assert count <= 1 or draft is None or draft.idempotent, job_id
        self._check_overlap()

    def teardown(self) -> None:
        """Stop all faults: every job that was kept must come to its end."""
        self.store.down = False
        self.platform.unreachable.clear()
        for model in self.platform.models_by_address.values():
            model.fails_everything = False
        for process in self.processes:
            for gate in process.gates:
                gate.open()
        for _ in range(int(PATIENCE_S / STEP_S)):
            self._tick()
            if not self._unfinished():
                break
        self.runs_hold()
        unfinished = self._unfinished()
        for process in self.processes:
            process.kill()
        self._settle()
        self.loop.close()
        assert not unfinished, unfinished

    def _process(self) -> Process:
        self.lives += 1
        return Process(
            f'p{self.lives}',
            self.seat,
            self.store,
            self.platform,
            SteppedClock(self.clock),
        )

    def _tick(self) -> None:
        self.clock.advance(STEP_S)
        for process in self.processes:
            process.step()
        self._settle()
        self._check_overlap()

    def _check_overlap(self) -> None:
        alive: collections.Counter[str] = collections.Counter()
        for model in self.platform.models_by_address.values():
            for report in _running(model):
                alive[report.id.partition(':')[0]] += 1
        assert not [job for job, count in alive.items() if count > 1]

    def _unfinished(self) -> list[work.Job]:
        kept = [self._job(job_id) for job_id in self.kept]
        return [job for job in kept if job.state not in buckets.FINAL]

    def _job(self, job_id: str) -> work.Job:
        found: dict[str, work.Job] = {}
        for entry in self.store.content.scan('jobs/').entries:
            found.update(_bucket(entry).jobs_by_id)
        assert job_id in found, 'an acknowledged job was lost'
        return found[job_id]

    def _run(self, work_to_do: Awaitable[Outcome]) -> Outcome:
        return self.loop.run_until_complete(work_to_do)

    def _settle(self) -> None:
        self._run(_turns())


def _running(model: worker_model.WorkerModel) -> list[tasks.TaskReport]:
    model.advance()
    reports = [one.report() for one in model._table.everyone()]
    return [one for one in reports if one.state is tasks.TaskState.RUNNING]


def _bucket(entry: keyvalue.Entry) -> buckets.Bucket:
    return buckets.records.decode(entry.value, buckets.Bucket)


async def _turns() -> None:
    for _ in range(TURNS):
        await asyncio.sleep(0)


async def test_placers_hold_what_they_promise() -> None:
    await asyncio.to_thread(
        stateful.run_state_machine_as_test, PlacerMachine, settings=SETTINGS
    )


load_tests = functions.loader(__name__)
