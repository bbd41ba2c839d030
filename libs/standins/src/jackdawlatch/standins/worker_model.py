"""A simulated worker, driven by a given clock."""

import dataclasses
import functools
import uuid

from returns import result

from jackdawlatch.backends import tasks, workers
from jackdawlatch.model import clocks, hosts
from jackdawlatch.standins import (
    commands,
    executions,
    snapshots,
    task_run,
    task_table,
)

Report = result.Result[tasks.TaskReport, workers.Gone]
Start = result.Result[workers.StartResult, workers.NotStarted]


@dataclasses.dataclass(frozen=True)
class Machine:
    """The host of one worker; reported usage is at least ``lag_s`` old."""

    host: str
    capacity: hosts.Capacity
    lag_s: float = 0


class Boot:
    """One boot of a worker, with the tasks that must not start in it."""

    def __init__(self) -> None:
        self.id = uuid.uuid4().hex
        self.forbidden: set[str] = set()

    def refusal(self, task: tasks.Task) -> workers.NotStarted | None:
        """Return why a task must not start in this boot, None if it may."""
        if task.boot not in {'', self.id}:
            return workers.OtherBoot(message=self.id)
        if task.id in self.forbidden:
            return workers.NotStarted(message='forbidden')
        return None


class WorkerModel:
    """Runs tasks under leases on one host.

    ``fails_everything`` makes each task fail as soon as it starts.
    """

    def __init__(
        self,
        machine: Machine,
        clock: clocks.Clock,
        execution_log: executions.ExecutionLog,
    ) -> None:
        self.machine = machine
        self.executions = execution_log
        self._clock = clock
        self.forget()

    def forget(self) -> None:
        """Lose all tasks and faults and get a new boot id, as in a reboot."""
        self._boot = Boot()
        self.draining = False
        self.fails_everything = False
        self._table = task_table.TaskTable(
            self.machine.capacity,
            self._clock,
            functools.partial(_write_end, self.executions),
        )
        self._snapshots = snapshots.Snapshots(self._table, self._boot.id)

    def advance(self) -> None:
        """Bring every task up to the present."""
        self._table.advance()

    def start(self, task: tasks.Task) -> Start:
        """Start a task, unless it was started before.

        Fails with ``OtherBoot``, ``NotStarted`` if it is forbidden,
        ``Draining`` or ``DoesNotFit``.
        """
        self.advance()
        if self._table.get(task.id):
            return result.Success(workers.StartResult.BEFORE)
        refusal = self._boot.refusal(task)
        if refusal is not None:
            return result.Failure(refusal)
        if self.draining:
            return result.Failure(workers.Draining(message=self.machine.host))
        if not self._table.fits(task):
            return result.Failure(workers.DoesNotFit(message=self.machine.host))
        self._begin(task)
        self._snapshots.take()
        return result.Success(workers.StartResult.NOW)

    def forbid(self, task_id: str) -> tasks.Forbidden:
        """Refuse later starts of a task; report whether it was started."""
        self.advance()
        self._boot.forbidden.add(task_id)
        started = self._table.get(task_id) is not None
        return tasks.Forbidden(boot=self._boot.id, started=started)

    def renew(self, renewal: tasks.Renewal) -> tasks.Unknown:
        """Extend the leases of running tasks; return the unknown ids."""
        self.advance()
        for task_id in renewal.ids:
            task = self._table.get(task_id)
            if task and task.runs:
                task.expiry_s = self._table.now_s + renewal.lease_s
        known = {one.task.id for one in self._table.everyone()}
        return tasks.Unknown(
            unknown=tuple(one for one in renewal.ids if one not in known)
        )

    def usage(self) -> tasks.Usage:
        """Return the usage as of ``lag_s`` ago."""
        self.advance()
        return self._snapshots.of_age(self.machine.lag_s)

    def checkpoint(self, task_id: str) -> Report:
        """Stop a task; the report has a token from which it can be resumed."""
        return self._end(task_id, tasks.TaskState.CHECKPOINTED).bind(
            _checkpointed
        )

    def stop(self, task_id: str) -> Report:
        """Stop a task; one that has ended keeps its state."""
        return self._end(task_id, tasks.TaskState.STOPPED)

    def throttle(self, task_id: str, fraction: float) -> Report:
        """Limit a running task to a fraction of its processors."""
        self.advance()
        task = self._table.get(task_id)
        if task is None or not task.runs:
            return _gone(task_id)
        task.fraction = fraction
        self._snapshots.take()
        return result.Success(task.report())

    def _end(self, task_id: str, state: tasks.TaskState) -> Report:
        self.advance()
        task = self._table.get(task_id)
        if task is None:
            return _gone(task_id)
        if task.runs:
            self._table.end(task, state)
            self._snapshots.take()
        return result.Success(task.report())

    def _begin(self, task: tasks.Task) -> None:
        execution = self.executions.begin(
            executions.Execution(
                host=self.machine.host,
                number=0,
                id=task.id,
                start_s=self._clock.wall_s(),
            )
        )
        begun = task_run.TaskRun(
            task=task,
            command=commands.parse(task.command),
            execution=execution,
            expiry_s=self._table.now_s + task.lease_s,
            progress=float(task.checkpoint or 0),
        )
        self._table.add(begun)
        if self.fails_everything and begun.runs:
            self._table.end(begun, tasks.TaskState.FAILED, 'broken worker')


def _write_end(
    execution_log: executions.ExecutionLog, task: task_run.TaskRun
) -> None:
    execution_log.end(task.execution, task.ended_s, task.state)


def _gone(task_id: str) -> result.Failure[workers.Gone]:
    return result.Failure(workers.Gone(message=task_id))


def _checkpointed(report: tasks.TaskReport) -> Report:
    if report.state is tasks.TaskState.CHECKPOINTED:
        return result.Success(report)
    return _gone(report.id)
