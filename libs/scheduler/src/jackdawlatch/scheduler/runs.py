"""A run: one attempt at a task on one boot of a worker."""

import enum
import typing

from jackdawlatch.jobs import model
from jackdawlatch.scheduler import calls, reports

if typing.TYPE_CHECKING:
    from jackdawlatch.scheduler import tasks, workers

SERVING_PERCENT = 100
FULL_PACE_PERCENT = 100


class RunPhase(enum.Enum):
    """The state of a run, as far as the leader knows.

    ``WRITING``: the placement is being persisted, no start was sent yet.
    ``ORDERED``: the start was sent and is not answered yet.
    ``UNSETTLED``: whether the start took effect is unknown, since it was not
    answered or an earlier leader sent it.
    """

    WRITING = 'writing'
    ORDERED = 'ordered'
    RUNNING = 'running'
    UNSETTLED = 'unsettled'
    STOPPING = 'stopping'


STARTED = frozenset((RunPhase.RUNNING, RunPhase.STOPPING))
# The start was sent, and is not known to have taken effect.
UNCONFIRMED = frozenset((RunPhase.ORDERED, RunPhase.UNSETTLED))


class Run:
    """An attempt; it holds capacity of its worker until its end is certain."""

    __slots__ = (
        'attempt',
        'last_progress_s',
        'checkpoint',
        'gauge',
        'pace_percent',
        'percent',
        'phase',
        'settled_after_s',
        'task',
        'worker',
        '_listed',
        '_located',
        '_saved',
        '_saved_s',
        '_sent_s',
    )

    def __init__(
        self,
        task: 'tasks.Task',
        worker: 'workers.Worker',
        attempt: int,
        phase: RunPhase,
    ) -> None:
        self.task = task
        self.worker = worker
        self.attempt = attempt
        self.phase = phase
        # When the run last started or progressed, as far as is known.
        self.last_progress_s: float = 0
        # What it resumes from.
        self.checkpoint = ''
        self.percent = 0
        self.gauge = 0
        self.pace_percent = FULL_PACE_PERCENT
        # A poll sent after this time whose answer lacks the run settles it.
        self.settled_after_s: float | None = None
        self._sent_s: float = 0
        self._located = False
        self._listed = False
        self._saved = ''
        self._saved_s: float = 0

    @property
    def run_id(self) -> calls.RunId:
        """The identity of this run in requests to its worker."""
        return calls.RunId(self.task.id, self.attempt)

    @property
    def located(self) -> bool:
        """Whether an answer of its worker has shown that it is there."""
        return self._located

    @property
    def unsent(self) -> bool:
        """Whether its start is still to be sent."""
        return self.task.run is self and self.phase is RunPhase.WRITING

    @property
    def obstacle(self) -> str:
        """What has come up against its start, empty if nothing has."""
        worker = self.worker
        unwanted = self.task.state.unwanted_runs
        obstacles = (
            ('job-ended', self.task.job.ended),
            ('task-done', self.task.done),
            ('other-run', bool(unwanted.of(self.task.id))),
            ('lease-recorded', worker.lease.record is not None),
            ('worker-draining', worker.entry.draining),
            ('worker-unreachable', not worker.reachable),
            # Its capacity may have shrunk since the run was placed.
            ('no-capacity', not worker.free.fits(model.Room())),
        )
        return next((name for name, present in obstacles if present), '')

    def mark_sent(self, now_s: float) -> None:
        """Record that the start is sent now, or the run was taken over."""
        self._sent_s = now_s

    def age_s(self, now_s: float) -> float:
        """Return the time since the start was sent."""
        return now_s - self._sent_s

    @property
    def confirmed_s(self) -> float:
        """How long its worker has confirmed that the run went on."""
        if self.phase not in STARTED:
            return 0
        return self.age_s(self.worker.last_poll_s)

    def confirm_start(self, now_s: float, located: bool) -> None:
        """Record the answer to the start; ``located`` if it names the boot."""
        self.phase = RunPhase.RUNNING
        self.last_progress_s = now_s
        self._located = located

    @property
    def last_advance_s(self) -> float:
        """When the run last started, progressed or saved its work."""
        return max(self.last_progress_s, self._saved_s)

    def update(self, report: reports.RunReport, now_s: float) -> None:
        """Apply a report of the worker."""
        self.task.state.checkpoints.record(report.run_id, report.checkpoint)
        if report.percent != self.percent:
            if self._listed and self.pace_percent == FULL_PACE_PERCENT:
                self.task.state.pace.record(
                    report.percent - self.percent,
                    now_s - self.last_progress_s,
                )
            self.last_progress_s = now_s
        if report.checkpoint != self._saved:
            self._saved = report.checkpoint
            self._saved_s = now_s
        self._listed = True
        self._located = True
        self.percent = report.percent
        self.gauge = report.gauge

    @property
    def serving(self) -> bool:
        """Whether a lasting task is up and serving.

        A worker that does not answer may have lost its runs.
        """
        return (
            self.phase is RunPhase.RUNNING
            and self.percent >= SERVING_PERCENT
            and self.worker.reachable
        )
