"""Hosts and the platform over HTTP."""

from returns import result

from jackdawlatch.backends import exchange, hostlist, tasks, workers
from jackdawlatch.model import failures, hosts, records
from jackdawlatch.steward import backends

TIMEOUT_S = 2
OK_STATUSES = frozenset((200, 202, 204))


class Refused(failures.Problem, frozen=True, kw_only=True):
    """The host answered with an error."""


class RunnerState(records.Record, frozen=True, kw_only=True):
    """What a runner says of itself."""

    in_use: int
    leaving: bool


class HttpBackends(backends.Backends):
    """Asks runners and workers themselves, and the platform for the rest."""

    def __init__(
        self, platform: hostlist.HostList, own_workers: workers.Workers
    ) -> None:
        self._platform = platform
        self._workers = own_workers
        self._client = exchange.Client()

    async def listed(self) -> backends.Listed:
        """Return the platform's list of hosts."""
        return await self._platform.read()

    async def state(self, host: hosts.Host) -> backends.Stated:
        """Return what runs on a host; both its back ends must answer."""
        answered = await self._send(f'{host.runner}/-/state', 'GET')
        if isinstance(answered, result.Failure):
            return answered
        runner = answered.unwrap().json(RunnerState)
        if isinstance(runner, result.Failure):
            return runner
        running = await self._running_tasks(host)
        if isinstance(running, result.Failure):
            return running
        state = runner.unwrap()
        return result.Success(
            backends.HostState(
                in_use=state.in_use,
                tasks=running.unwrap(),
                leaving=state.leaving,
            )
        )

    async def drain(self, host: hosts.Host) -> backends.Done:
        """Let the worker refuse new tasks, then the runner new requests."""
        return await self._tell_both(host, 'drain')

    async def resume(self, host: hosts.Host) -> backends.Done:
        """Let the worker accept tasks again, then the runner requests."""
        return await self._tell_both(host, 'resume')

    async def reboot(self, host: hosts.Host) -> backends.Done:
        """Ask the platform to reboot the host."""
        return await self._platform.reboot(host.id)

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def _tell_both(self, host: hosts.Host, word: str) -> backends.Done:
        # The runner comes last: its state is what tells that both were told.
        for target in (host.worker, host.runner):
            if target:
                told = await self._send(f'{target}/-/{word}', 'POST')
                if isinstance(told, result.Failure):
                    return told
        return result.Success(None)

    async def _running_tasks(
        self, host: hosts.Host
    ) -> result.Result[int, failures.Problem]:
        if not host.worker:
            return result.Success(0)
        usage = await self._workers.usage(host.worker)
        return usage.map(_count_running)

    async def _send(
        self, url: str, method: str
    ) -> result.Result[exchange.Reply, failures.Problem]:
        body = None if method == 'GET' else b''
        answered = await self._client.send(
            exchange.Outgoing(
                url, method=method, body=body, timeout_s=TIMEOUT_S, resend=True
            )
        )
        if isinstance(answered, result.Failure):
            return answered
        reply = answered.unwrap()
        if reply.status in OK_STATUSES:
            return result.Success(reply)
        return result.Failure(Refused(message=f'status {reply.status}'))


def _count_running(usage: tasks.Usage) -> int:
    running = tasks.TaskState.RUNNING
    return sum(task.state is running for task in usage.tasks)
