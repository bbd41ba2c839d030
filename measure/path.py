"""Cost of the request path, and of control in daemons without requests."""

import asyncio
import random
import statistics
import time
import uuid
from collections.abc import Awaitable, Callable, Iterator, Sequence

from jackdawlatch.backends import exchange
from jackdawlatch.standins import callers, job_steps, keyvalue_server, profiles
from jackdawlatch.standins import testbed as testbeds
from measure import base, processes

REQUESTS = 1500
KEYED_REQUESTS = 400
JOBS = 100
CALLERS = 12
WORK_MS = 5
IDLE_S = 15
SETTLE_S = 3
MS_PER_S = 1000
KB = 1024
PERCENT = 100

Operation = Callable[[int], Awaitable[None]]


class Path(base.Benchmark):
    """Latency, processor time and store calls of real local processes."""

    name = 'path'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure each deployment."""
        for profile in profiles.PROFILES_BY_NAME.values():
            yield from asyncio.run(_run_profile(profile, seed))


async def _run_profile(
    profile: profiles.Profile, seed: int
) -> list[base.Table]:
    # The bench's clients are bound to the running event loop.
    with testbeds.open_testbed(profile, random.Random(seed)) as bench:
        return await _measure(bench)


async def _measure(bench: testbeds.Testbed) -> list[base.Table]:
    (await bench.start()).unwrap()
    await asyncio.sleep(SETTLE_S)
    client = exchange.Client()
    probe = Probe(bench, client)
    idle = await probe.idle()
    latency = await probe.latency()
    calls = await probe.store_calls()
    client.close()
    return [latency, calls, idle]


class Probe:
    """Puts load on one deployment and reads what it costs."""

    def __init__(
        self, bench: testbeds.Testbed, client: exchange.Client
    ) -> None:
        self._bench = bench
        self._client = client
        self._service = bench.profile.services[0]

    async def latency(self) -> base.Table:
        """Compare requests through an entry with direct ones to a runner."""
        direct = await self._timed(REQUESTS, self._direct)
        before_s = self._processor_s('entry')
        started_s = time.monotonic()
        routed = await self._timed(REQUESTS, self._lookup)
        took_s = time.monotonic() - started_s
        spent_s = self._processor_s('entry') - before_s
        keyed = await self._timed(KEYED_REQUESTS, self._keyed)
        return base.Table(
            title=f'Cost of the path, {self._bench.profile.name}',
            note=(
                f'{CALLERS} callers at once, work of {WORK_MS} ms. All '
                'entries, runners and callers share one machine. Entries '
                f'answered {REQUESTS / took_s:.0f} requests a second and '
                f'spent {spent_s / REQUESTS * MS_PER_S:.2f} ms of '
                'processor time for each.'
            ),
            columns=('way', 'requests', 'p50 ms', 'p99 ms', 'p50 over direct'),
            rows=tuple(
                _row(label, took, direct)
                for label, took in (
                    ('direct to the runner', direct),
                    ('through an entry', routed),
                    ('keyed, non-idempotent', keyed),
                )
            ),
        )

    async def store_calls(self) -> base.Table:
        """Count store calls per request and per job."""
        idle = await self._store_calls_each(0, None)
        operations: tuple[tuple[str, int, Operation], ...] = (
            ('lookup', REQUESTS, self._lookup),
            ('keyed request', KEYED_REQUESTS, self._keyed),
            ('job', JOBS, self._job),
        )
        rows = [
            (name, count, *await self._store_calls_each(count, operation, idle))
            for name, count, operation in operations
        ]
        return base.Table(
            title=f'Store calls, {self._bench.profile.name}',
            note=(
                'Writes and reads for each piece of work, what is idle taken '
                f'off; {CALLERS} at once. Idle: {idle[0]:.1f} writes and '
                f'{idle[1]:.1f} reads a second in all; a waiting watch counts '
                'as a read, a renewal of a lease as a write.'
            ),
            columns=('work', 'done', 'writes each', 'reads each'),
            rows=tuple(rows),
        )

    async def idle(self) -> base.Table:
        """Measure processor, network and memory use without requests."""
        before = await self._readings()
        await asyncio.sleep(IDLE_S)
        after = await self._readings()
        rows = []
        for role in ('entry', 'steward', 'placer'):
            names = self._bench.driver.names(role)
            rows.append(
                (
                    role,
                    len(names),
                    _mean_of(
                        PERCENT
                        * (
                            after[name][0].processor_s
                            - before[name][0].processor_s
                        )
                        / IDLE_S
                        for name in names
                    ),
                    _mean_of(
                        (after[name][1] - before[name][1]) / IDLE_S / KB
                        for name in names
                    ),
                    _mean_of(after[name][0].resident_kb / KB for name in names),
                    _mean_of(after[name][0].private_kb / KB for name in names),
                )
            )
        return base.Table(
            title=f'Control of an idle daemon, {self._bench.profile.name}',
            note=(
                f'Mean over the daemons of a role, {IDLE_S} s without '
                'callers. Targets: 1 % of a core, 7 KB/s, 32 MB. KB/s is '
                'both directions of the streams between processes.'
            ),
            columns=(
                'role',
                'daemons',
                'core %',
                'KB/s',
                'resident MB',
                'private MB',
            ),
            rows=tuple(rows),
        )

    async def _timed(self, count: int, operation: Operation) -> list[float]:
        numbers = iter(range(count))
        took_s: list[float] = []

        async def run_caller() -> None:
            for number in numbers:
                started_s = time.perf_counter()
                await operation(number)
                took_s.append(time.perf_counter() - started_s)

        await asyncio.gather(*(run_caller() for _ in range(CALLERS)))
        return took_s

    async def _direct(self, number: int) -> None:
        runners = self._bench.deployment.runners.runners
        port = runners[number % len(runners)].port
        await self._client.send(
            exchange.Outgoing(f'http://127.0.0.1:{port}/x?ms={WORK_MS}')
        )

    async def _lookup(self, number: int) -> None:
        await self._request(number, 'GET', '')

    async def _keyed(self, number: int) -> None:
        await self._request(number, 'POST', uuid.uuid4().hex)

    async def _request(self, number: int, method: str, key: str) -> None:
        entries = self._bench.caller.entries
        answer = await self._bench.caller.send(
            callers.Request(
                entry=entries[number % len(entries)],
                path=f'/services/{self._service}/x?ms={WORK_MS}',
                id=uuid.uuid4().hex,
                method=method,
                key=key,
                body=b'{}' if method == 'POST' else None,
            )
        )
        if answer.outcome is not callers.Outcome.ANSWERED:
            raise RuntimeError(f'request failed: {answer}')

    async def _job(self, number: int) -> None:
        entries = self._bench.caller.entries
        submission = job_steps.Submission(
            service=self._service,
            team=self._bench.profile.teams[0],
            command='run=0.2',
        )
        await job_steps.submit(
            self._bench, submission, entries[number % len(entries)]
        )

    async def _store_calls_each(
        self,
        count: int,
        operation: Operation | None,
        idle: tuple[float, float] = (0, 0),
    ) -> tuple[float, float]:
        before = await self._store_totals()
        started_s = time.monotonic()
        if operation:
            await self._timed(count, operation)
        await asyncio.sleep(SETTLE_S)
        took_s = time.monotonic() - started_s
        after = await self._store_totals()
        each = count if operation else took_s
        return tuple(
            round((last - first - rate * took_s) / each, 2)
            for first, last, rate in zip(before, after, idle, strict=True)
        )

    async def _store_totals(self) -> tuple[int, int]:
        url = self._bench.deployment.operator.store_addresses[0]
        reply = await self._client.send(exchange.Outgoing(f'{url}/-/calls'))
        calls = reply.unwrap().json(keyvalue_server.Calls).unwrap()
        by_name = calls.calls_by_name
        reads = sum(by_name.get(name, 0) for name in ('get', 'scan', 'watch'))
        return sum(by_name.values()) - reads, reads

    def _processor_s(self, role: str) -> float:
        driver = self._bench.driver
        return sum(
            processes.cost(driver.processes[name].pid).processor_s
            for name in driver.names(role)
        )

    async def _readings(self) -> dict[str, tuple[processes.Cost, float]]:
        driver = self._bench.driver
        deployment = self._bench.deployment
        readings = {}
        for settings_by_name in (
            deployment.entries_by_name,
            deployment.stewards_by_name,
            deployment.placers_by_name,
        ):
            for name, settings in settings_by_name.items():
                reply = await self._client.send(
                    exchange.Outgoing(
                        f'http://{settings.operations_address}/metrics'
                    )
                )
                text = reply.unwrap().body.decode()
                peer_bytes = processes.metric_sum(
                    text, 'peer_sent_bytes'
                ) + processes.metric_sum(text, 'peer_received_bytes')
                usage = processes.cost(driver.processes[name].pid)
                readings[name] = (usage, peer_bytes)
        return readings


def _row(
    label: str, took_s: Sequence[float], direct_s: Sequence[float]
) -> tuple[base.Cell, ...]:
    percentiles_s = statistics.quantiles(took_s, n=PERCENT)
    median_s = statistics.median(took_s)
    return (
        label,
        len(took_s),
        round(median_s * MS_PER_S, 2),
        round(percentiles_s[-1] * MS_PER_S, 2),
        round(median_s / statistics.median(direct_s), 2),
    )


def _mean_of(figures: Iterator[float]) -> float:
    return round(statistics.mean(figures), 2)
