"""Calls to hosts and the platform over HTTP."""

from returns import result

from jackdawlatch.backends import exchange, hostlist, tasks, workers
from jackdawlatch.model import failures, hosts, records
from jackdawlatch.steward import fleet_client

TIMEOUT_S = 2
OK_STATUSES = frozenset((200, 202, 204))


class Refused(failures.Problem, frozen=True, kw_only=True):
    """The host answered with an error status."""


class RunnerState(records.Record, frozen=True, kw_only=True):
    """The body of a runner's answer to ``/-/state``."""

    in_use: int
    leaving: bool


class HttpFleetClient(fleet_client.FleetClient):
    """Calls the runner and the worker of a host, and the platform's list."""

    def __init__(
        self, host_list: hostlist.HostList, worker_client: workers.Workers
    ) -> None:
        self._host_list = host_list
        self._workers = worker_client
        self._client = exchange.Client()

    async def list_hosts(self) -> fleet_client.HostListResult:
        """Return the platform's list of hosts."""
        return await self._host_list.read()

    async def state(self, host: hosts.Host) -> fleet_client.HostStateResult:
        """Return what runs on a host.

        Fails unless its runner answers and, if it has one, its worker.
        """
        received = await self._send(f'{host.runner}/-/state', 'GET')
        if isinstance(received, result.Failure):
            return received
        runner = received.unwrap().json(RunnerState)
        if isinstance(runner, result.Failure):
            return runner
        running = await self._running_tasks(host)
        if isinstance(running, result.Failure):
            return running
        state = runner.unwrap()
        return result.Success(
            fleet_client.HostState(
                in_use=state.in_use,
                tasks=running.unwrap(),
                leaving=state.leaving,
            )
        )

    async def drain(self, host: hosts.Host) -> fleet_client.CallResult:
        """Make the worker refuse new tasks, then the runner new requests."""
        return await self._post_to_both(host, 'drain')

    async def resume(self, host: hosts.Host) -> fleet_client.CallResult:
        """Make the worker accept tasks again, then the runner requests."""
        return await self._post_to_both(host, 'resume')

    async def reboot(self, host: hosts.Host) -> fleet_client.CallResult:
        """Ask the platform to reboot the host."""
        return await self._host_list.reboot(host.id)

    def close(self) -> None:
        """Close the connections to runners and workers opened here."""
        self._client.close()

    async def _post_to_both(
        self, host: hosts.Host, action: str
    ) -> fleet_client.CallResult:
        # The runner is called last: once it reports the new state, the worker
        # is known to have accepted the call as well.
        for target in (host.worker, host.runner):
            if target:
                posted = await self._send(f'{target}/-/{action}', 'POST')
                if isinstance(posted, result.Failure):
                    return posted
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
        received = await self._client.send(
            exchange.Outgoing(
                url, method=method, body=body, timeout_s=TIMEOUT_S, resend=True
            )
        )
        if isinstance(received, result.Failure):
            return received
        reply = received.unwrap()
        if reply.status in OK_STATUSES:
            return result.Success(reply)
        return result.Failure(
            Refused(message=f'host answered with status {reply.status}')
        )


def _count_running(usage: tasks.Usage) -> int:
    running = tasks.TaskState.RUNNING
    return sum(task.state is running for task in usage.tasks)
