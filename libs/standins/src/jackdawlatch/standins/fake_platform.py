"""In-process workers and host list, driven by a given clock."""

from collections.abc import Iterable, Mapping, Sequence

from returns import result

from jackdawlatch.backends import hostlist, tasks, workers
from jackdawlatch.model import clocks, hosts, records
from jackdawlatch.standins import executions, worker_model


class FakeWorkers(workers.Workers):
    """Workers by address, with faults that a test can set.

    ``unreachable`` lists addresses that accept no connection.
    ``lose_replies`` is the number of coming calls that take effect but are
    not answered.
    """

    def __init__(
        self,
        machines_by_address: Mapping[str, worker_model.Machine],
        clock: clocks.Clock,
    ) -> None:
        self.unreachable: set[str] = set()
        self.lose_replies = 0
        self.models_by_address = {
            address: worker_model.WorkerModel(
                machine, clock, executions.ExecutionLog()
            )
            for address, machine in machines_by_address.items()
        }

    def starts(self) -> tuple[executions.Execution, ...]:
        """Return every start of a task, on all workers."""
        return tuple(
            execution
            for model in self.models_by_address.values()
            for execution in model.executions.since(0)
        )

    async def start(
        self, address: str, task: tasks.Task
    ) -> result.Result[
        workers.StartResult, workers.NotStarted | workers.Uncertain
    ]:
        """Start a task under a lease."""
        if address in self.unreachable:
            return result.Failure(workers.NotStarted(message=address))
        started = self.models_by_address[address].start(task)
        if self._loses_reply():
            return result.Failure(workers.Uncertain(message=address))
        return started

    async def forbid(
        self, address: str, task_id: str
    ) -> result.Result[tasks.Forbidden, workers.Unanswered]:
        """Make the worker refuse later starts of a task."""
        if address in self.unreachable:
            return _unanswered(address)
        forbidden = self.models_by_address[address].forbid(task_id)
        if self._loses_reply():
            return _unanswered(address)
        return result.Success(forbidden)

    async def renew(
        self, address: str, ids: Sequence[str], lease_s: float
    ) -> result.Result[tuple[str, ...], workers.Unanswered]:
        """Extend leases to ``lease_s`` from now; return the unknown ids."""
        renewal = tasks.Renewal(ids=tuple(ids), lease_s=lease_s)
        if address in self.unreachable:
            return _unanswered(address)
        unknown = self.models_by_address[address].renew(renewal).unknown
        if self._loses_reply():
            return _unanswered(address)
        return result.Success(unknown)

    async def usage(
        self, address: str
    ) -> result.Result[tasks.Usage, workers.Unanswered]:
        """Return the worker's usage, which lags behind."""
        if address in self.unreachable:
            return _unanswered(address)
        return result.Success(self.models_by_address[address].usage())

    async def checkpoint(
        self, address: str, task_id: str
    ) -> result.Result[str, workers.Gone | workers.Unanswered]:
        """Stop a task and return the token from which it can be resumed."""
        if address in self.unreachable:
            return _unanswered(address)
        ended = self.models_by_address[address].checkpoint(task_id)
        return self._answered(ended).map(lambda report: report.checkpoint)

    async def throttle(
        self, address: str, task_id: str, fraction: float
    ) -> result.Result[None, workers.Gone | workers.Unanswered]:
        """Limit a task to a fraction of its processors."""
        if address in self.unreachable:
            return _unanswered(address)
        model = self.models_by_address[address]
        limited = model.throttle(task_id, fraction)
        return self._answered(limited).map(_nothing)

    async def stop(
        self, address: str, task_id: str
    ) -> result.Result[None, workers.Gone | workers.Unanswered]:
        """Stop a task."""
        if address in self.unreachable:
            return _unanswered(address)
        stopped = self.models_by_address[address].stop(task_id)
        return self._answered(stopped).map(_nothing)

    def _answered(
        self, outcome: worker_model.Report
    ) -> result.Result[tasks.TaskReport, workers.Gone | workers.Unanswered]:
        return (
            _unanswered('the reply was lost')
            if self._loses_reply()
            else outcome
        )

    def _loses_reply(self) -> bool:
        lost = self.lose_replies > 0
        self.lose_replies -= int(lost)
        return lost


class FakeHostList(hostlist.HostList):
    """A host list that shows changes after ``lag_s``.

    ``down`` fails every call; ``rebooted`` lists the accepted reboots.
    """

    def __init__(
        self,
        listed_hosts: Iterable[hosts.Host],
        clock: clocks.Clock,
        lag_s: float = 0,
    ) -> None:
        self.down = False
        self.rebooted: list[str] = []
        self._clock = clock
        self._lag_s = lag_s
        start_s = clock.monotonic_s()
        self._changes = [(start_s, host) for host in listed_hosts]

    def set_liveness(self, host_id: str, liveness: hosts.Liveness) -> None:
        """Change the liveness of a host, which the list shows after its lag."""
        present = self._hosts_by_id(float('inf'))[host_id]
        changed = records.replace(present, liveness=liveness)
        seen_s = self._clock.monotonic_s() + self._lag_s
        self._changes.append((seen_s, changed))

    async def read(
        self,
    ) -> result.Result[tuple[hosts.Host, ...], hostlist.ListUnavailable]:
        """Return every host, as the list shows it at present."""
        if self.down:
            return result.Failure(
                hostlist.ListUnavailable(message='the host list is down')
            )
        present = self._hosts_by_id(self._clock.monotonic_s())
        return result.Success(tuple(present.values()))

    async def reboot(
        self, host_id: str
    ) -> result.Result[None, hostlist.RebootRefused | hostlist.RebootUncertain]:
        """Record a reboot; the test decides what it does."""
        if self.down:
            return result.Failure(
                hostlist.RebootRefused(message='the host list is down')
            )
        self.rebooted.append(host_id)
        return result.Success(None)

    def _hosts_by_id(self, now_s: float) -> dict[str, hosts.Host]:
        return {
            host.id: host for seen_s, host in self._changes if seen_s <= now_s
        }


def _unanswered(message: str) -> result.Failure[workers.Unanswered]:
    return result.Failure(workers.Unanswered(message=message))


def _nothing(_report: tasks.TaskReport) -> None:
    """Discard a report that is not part of the result."""
