import contextlib
from collections.abc import AsyncIterator

from returns import result

from jackdawlatch.backends import (
    exchange,
    http_hostlist,
    http_workers,
    tasks,
    workers,
)
from jackdawlatch.backends import hostlist as lists
from jackdawlatch.model import hosts
from jackdawlatch.standins import (
    hostlist,
    runner,
    runner_state,
    waiting,
    worker,
    worker_settings,
)
from jackdawlatch.testing import functions

CAPACITY = hosts.Capacity(processors=4, memory_mb=100)
UNREACHABLE_URL = 'http://127.0.0.1:1'


class Bench:
    def __init__(self) -> None:
        self.runner = runner.Server(runner_state.Settings(host='h1'))
        self.worker = worker.Server(
            worker_settings.Settings(host='h1', capacity=CAPACITY, lag_ms=0)
        )
        host = hosts.Host(
            id='h1',
            zone='z',
            rack='r',
            runner=self.runner.url,
            worker=self.worker.url,
        )
        self.platform = hostlist.Server(
            hostlist.Settings(hosts=(host,), lag_ms=0, reboot_s=0.1)
        )
        self.workers = http_workers.HttpWorkers()
        self.list = http_hostlist.HttpHostList(self.platform.url)

    async def start(
        self, task_id: str, processors: float = 1
    ) -> workers.StartResult:
        task = tasks.Task(
            id=task_id, processors=processors, command='run=9', lease_s=9
        )
        return (await self.workers.start(self.worker.url, task)).unwrap()

    async def states_by_id(self) -> dict[str, tasks.TaskState]:
        usage = await self.workers.usage(self.worker.url)
        return {task.id: task.state for task in usage.unwrap().tasks}

    async def liveness(self) -> hosts.Liveness:
        return (await self.list.read()).unwrap()[0].liveness

    async def has_no_tasks(self) -> bool:
        usage = await self.workers.usage(self.worker.url)
        return usage.map(lambda found: not found.tasks).value_or(False)

    async def is_live(self) -> bool:
        return await self.liveness() is hosts.Liveness.LIVE

    async def close(self) -> None:
        self.workers.close()
        self.list.close()
        for server in (self.runner, self.worker, self.platform):
            await server.close()


@contextlib.asynccontextmanager
async def bench() -> AsyncIterator[Bench]:
    created = Bench()
    yield created
    await created.close()


async def test_task_is_started_once_and_stopped(bench: Bench) -> None:
    assert await bench.start('a:1') is workers.StartResult.NOW
    assert await bench.start('a:1') is workers.StartResult.BEFORE
    stopped = await bench.workers.stop(bench.worker.url, 'a:1')
    assert isinstance(stopped, result.Success)
    assert await bench.states_by_id() == {'a:1': tasks.TaskState.STOPPED}


async def test_checkpoint_is_repeatable(bench: Bench) -> None:
    await bench.start('a:1')
    url = bench.worker.url
    first = (await bench.workers.checkpoint(url, 'a:1')).unwrap()
    assert (await bench.workers.checkpoint(url, 'a:1')).unwrap() == first
    limited = await bench.workers.throttle(url, 'a:1', 0.5)
    assert isinstance(limited.failure(), workers.Gone)


async def test_renewal_returns_ids_never_started(bench: Bench) -> None:
    await bench.start('a:1')
    renewed = await bench.workers.renew(bench.worker.url, ['a:1', 'b:1'], 9)
    assert renewed.unwrap() == ('b:1',)


async def test_refused_starts_have_distinct_failures(bench: Bench) -> None:
    large = tasks.Task(id='a:1', processors=5, lease_s=1)
    refused = await bench.workers.start(bench.worker.url, large)
    assert isinstance(refused.failure(), workers.DoesNotFit)
    bench.worker.model.draining = True
    refused = await bench.workers.start(bench.worker.url, large)
    assert isinstance(refused.failure(), workers.Draining)
    refused = await bench.workers.start(UNREACHABLE_URL, large)
    assert isinstance(refused.failure(), workers.NotStarted)


async def test_unanswered_start_is_uncertain(bench: Bench) -> None:
    # A runner that closes connections simulates a worker dying at start.
    bench.runner.runner.faults = runner_state.Faults(
        mode=runner_state.Mode.CLOSE
    )
    task = tasks.Task(id='a:1', lease_s=1)
    started = await bench.workers.start(bench.runner.url, task)
    assert isinstance(started.failure(), workers.Uncertain)
    renewed = await bench.workers.renew(bench.runner.url, ['a:1'], 1)
    assert isinstance(renewed.failure(), workers.Unanswered)


async def test_rebooted_host_is_dead_then_live_without_tasks(
    bench: Bench,
) -> None:
    await bench.start('a:1')
    assert isinstance(await bench.list.reboot('h1'), result.Success)
    assert await bench.liveness() is hosts.Liveness.DEAD
    assert await waiting.until(bench.is_live, 5)
    assert await waiting.until(bench.has_no_tasks, 5)


async def test_host_list_calls_have_distinct_failures(bench: Bench) -> None:
    unknown = await bench.list.reboot('nobody')
    assert isinstance(unknown.failure(), lists.RebootRefused)
    unreachable = http_hostlist.HttpHostList(UNREACHABLE_URL)
    assert isinstance(
        (await unreachable.reboot('h1')).failure(), lists.RebootRefused
    )
    assert isinstance(
        (await unreachable.read()).failure(), lists.ListUnavailable
    )
    bench.platform.platform.list.down = True
    assert isinstance(
        (await bench.list.read()).failure(), lists.ListUnavailable
    )


async def test_liveness_can_be_set_over_http(bench: Bench) -> None:
    client = exchange.Client()
    url = bench.platform.url
    await client.send(
        exchange.Outgoing(
            f'{url}/-/hosts/h1',
            method='POST',
            body=b'{"liveness": "leaving"}',
        )
    )
    assert await bench.liveness() is hosts.Liveness.LEAVING


load_tests = functions.loader(__name__, {'bench': bench})
