"""A worker's stand-in, served over HTTP."""

import types

import msgspec
from returns import result
from tornado import ioloop, web

from jackdawlatch.backends import tasks, workers
from jackdawlatch.model import clocks
from jackdawlatch.standins import (
    executions,
    serving,
    worker_model,
    worker_settings,
)

ADVANCE_MS = 50
CREATED_STATUS = 201
DRAINING_STATUS = 503
DOES_NOT_FIT_STATUS = 507
OTHER_BOOT_STATUS = 421
FORBIDDEN_START_STATUS = 410

STATUSES_BY_FAILURE = types.MappingProxyType(
    {
        workers.DoesNotFit: DOES_NOT_FIT_STATUS,
        workers.Draining: DRAINING_STATUS,
        workers.OtherBoot: OTHER_BOOT_STATUS,
        workers.NotStarted: FORBIDDEN_START_STATUS,
    }
)


class Server(serving.Rebootable):
    """Serves the worker protocol and the test controls below ``/-/``."""

    def __init__(self, settings: worker_settings.Settings) -> None:
        self.model = worker_model.WorkerModel(
            worker_model.Machine(
                host=settings.host,
                capacity=settings.capacity,
                lag_s=settings.lag_ms / serving.MS_PER_S,
            ),
            clocks.SystemClock(),
            executions.ExecutionLog(settings.executions_path),
        )
        context = {'model': self.model}
        super().__init__(
            [
                web.url('/tasks', TasksHandler, context),
                web.url('/leases', LeasesHandler, context),
                web.url('/usage', UsageHandler, context),
                web.url('/tasks/([^/]+)/([a-z]+)', TaskHandler, context),
                web.url('/-/(drain|resume)', DrainHandler, context),
                web.url('/-/starts', StartsHandler, context),
                web.url('/-/faults', FaultsHandler, context),
            ],
            settings.port,
            serving.MAX_CONNECTIONS,
        )
        self._advance = ioloop.PeriodicCallback(self.model.advance, ADVANCE_MS)
        self._advance.start()

    def forget(self) -> None:
        """Lose every task, as a reboot does."""
        self.model.advance()
        self.model.forget()


class WorkerHandler(serving.Handler):
    """A handler with access to the worker."""

    def initialize(self, model: worker_model.WorkerModel) -> None:
        """Store the worker passed by the URL rule."""
        self.model = model


class TasksHandler(WorkerHandler):
    """Starts tasks."""

    def post(self) -> None:
        """Start the task of the body.

        Answers 201 if it was started now, 200 if it was started before, and
        the status of ``STATUSES_BY_FAILURE`` if it was not started.
        """
        started = self.model.start(self.read_json(tasks.Task))
        if isinstance(started, result.Success):
            first = started.unwrap() is workers.StartResult.NOW
            self.set_status(CREATED_STATUS if first else serving.OK_STATUS)
        else:
            self.set_status(STATUSES_BY_FAILURE[type(started.failure())])
        self.finish()


class LeasesHandler(WorkerHandler):
    """Renews the leases of tasks."""

    def post(self) -> None:
        """Answer the ids that are unknown to this boot of the worker."""
        self.finish_json(self.model.renew(self.read_json(tasks.Renewal)))


class UsageHandler(WorkerHandler):
    """Shows the usage, which lags behind."""

    def get(self) -> None:
        """Answer the usage."""
        self.finish_json(self.model.usage())


class TaskHandler(WorkerHandler):
    """Checkpoints, throttles, stops or forbids one task."""

    def post(self, task_id: str, action: str) -> None:
        """Perform the action; answers 409 if there is no such task."""
        if action == 'forbid':
            self.finish_json(self.model.forbid(task_id))
            return
        outcome = self._act(task_id, action)
        if isinstance(outcome, result.Success):
            self.finish_json(outcome.unwrap())
        else:
            self.set_status(serving.CONFLICT_STATUS)
            self.finish(msgspec.json.encode(outcome.failure()))

    def _act(self, task_id: str, action: str) -> worker_model.Report:
        if action == 'checkpoint':
            return self.model.checkpoint(task_id)
        if action == 'stop':
            return self.model.stop(task_id)
        if action == 'throttle':
            limit = self.read_json(tasks.Throttle)
            return self.model.throttle(task_id, limit.fraction)
        raise web.HTTPError(serving.NOT_FOUND_STATUS)


class DrainHandler(WorkerHandler):
    """Starts or ends a drain."""

    def post(self, action: str) -> None:
        """Refuse new tasks, or accept them again."""
        self.model.draining = action == 'drain'


class StartsHandler(WorkerHandler):
    """Shows the starts of tasks."""

    def get(self) -> None:
        """Answer the starts, beginning at number ``since``."""
        since = int(self.get_query_argument('since', '0'))
        self.finish_json(self.model.executions.since(since))


class FaultsHandler(WorkerHandler):
    """Sets the faults."""

    def post(self) -> None:
        """Replace the faults by the posted ones."""
        faults = self.read_json(worker_settings.Faults)
        self.model.fails_everything = faults.fail_everything
        self.finish_json(faults)
