"""Starts the processes of a deployment and controls each of them."""

import asyncio
import collections
import signal
from collections.abc import Iterable
from typing import ClassVar

import msgspec
from returns import result

from jackdawlatch.backends import exchange
from jackdawlatch.model import failures, records
from jackdawlatch.node import daemon
from jackdawlatch.standins import (
    deployments,
    examples,
    launch_plan,
    processes,
    serving,
    waiting,
)

READY_TIMEOUT_S = 30.0
PROBE_TIMEOUT_S = 1.0
KILL_TIMEOUT_S = 5.0


class NotReady(failures.Problem, frozen=True, kw_only=True):
    """A process did not become ready in time."""

    code: ClassVar[str] = 'process-not-ready'


class Driver:
    """The processes of one deployment, by the names of their settings."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        started_processes: processes.Processes,
        by_rack: bool = False,
    ) -> None:
        self.deployment = deployment
        self.processes = started_processes
        self._client = exchange.Client()
        self._locks_by_name: collections.defaultdict[str, asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )
        self._launches_by_name = {
            launch.name: launch
            for launch in launch_plan.launches(deployment, by_rack)
        }
        for launch in self._launches_by_name.values():
            examples.write_json(
                started_processes.directory / f'{launch.name}.json',
                launch.settings,
            )

    def names(self, *roles: str) -> tuple[str, ...]:
        """Return the names of the processes with any of the roles."""
        return tuple(
            name
            for name in self._launches_by_name
            if name.partition('-')[0] in roles
        )

    async def start(
        self, names: Iterable[str], timeout_s: float = READY_TIMEOUT_S
    ) -> result.Result[None, NotReady]:
        """Start processes and wait until all of them are ready.

        Fails with ``NotReady``, which names the first process that is not
        ready within ``timeout_s``.
        """
        started = tuple(names)
        for name in started:
            launch = self._launches_by_name[name]
            settings = str(self.processes.directory / f'{name}.json')
            self.processes.start(
                name, (*launch.program, '--settings', settings)
            )
        readiness = await asyncio.gather(
            *(self._is_ready(one, timeout_s) for one in started)
        )
        if all(readiness):
            return result.Success(None)
        late = started[readiness.index(False)]
        return result.Failure(
            NotReady(
                message=f'{late} is not ready after {timeout_s} s',
                hint=self.processes[late].output_tail(),
            )
        )

    def lock(self, name: str) -> asyncio.Lock:
        """Return the lock to hold while a process is stopped and restarted."""
        return self._locks_by_name[name]

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        self.processes[name].signal(signal.SIGKILL)
        self.processes[name].wait(KILL_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.processes[name].signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self.processes[name].signal(signal.SIGCONT)

    async def stop(self, name: str, timeout_s: float) -> bool:
        """Send SIGTERM; return whether the process ended in time."""
        process = self.processes[name]
        process.signal(signal.SIGTERM)

        async def ended() -> bool:
            return process.exit_status is not None

        return await waiting.until(ended, timeout_s)

    async def post(self, url: str, body: records.Record) -> bool:
        """Post a record to a stand-in; return whether it was accepted."""
        sent = await self._client.send(
            exchange.Outgoing(
                url, method='POST', body=msgspec.json.encode(body)
            )
        )
        return _is_ok(sent)

    async def status(self, name: str) -> daemon.Status | None:
        """Return a daemon's status, None if it does not answer."""
        probe = self._launches_by_name[name].probe
        answered = await self._client.send(
            exchange.Outgoing(
                probe.replace('/readyz', '/status'), timeout_s=PROBE_TIMEOUT_S
            )
        )
        read = answered.bind(lambda reply: reply.json(daemon.Status))
        return read.value_or(None)

    def close(self) -> None:
        """Close the HTTP client's connections."""
        self._client.close()

    async def _is_ready(self, name: str, timeout_s: float) -> bool:
        probe = exchange.Outgoing(
            self._launches_by_name[name].probe, timeout_s=PROBE_TIMEOUT_S
        )

        async def answers() -> bool:
            return _is_ok(await self._client.send(probe))

        return await waiting.until(answers, timeout_s)


def _is_ok(
    answered: result.Result[exchange.Reply, exchange.Failed],
) -> bool:
    status = answered.map(lambda reply: reply.status).value_or(0)
    return status == serving.OK_STATUS
