"""A run: one attempt at a task on one boot of a worker."""

import enum
import typing

from jackdawlatch.scheduler import calls, reports

if typing.TYPE_CHECKING:
    from jackdawlatch.scheduler import tasks, workers

SERVING_PERCENT = 100
FULL_PACE = 100


class RunPhase(enum.Enum):
    """What is known of a run.

    ``UNSETTLED``: an order was not answered, or an earlier leader gave it.
    """

    WRITING = 'writing'
    ORDERED = 'ordered'
    RUNNING = 'running'
    UNSETTLED = 'unsettled'
    STOPPING = 'stopping'


class Run:
    """One attempt; it takes room on its worker until it is known to end."""

    __slots__ = (
        'attempt',
        'news_s',
        'checkpoint',
        'gauge',
        'pace',
        'percent',
        'phase',
        'settled_after_s',
        'task',
        'worker',
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
        # When it was last known to start or to progress.
        self.news_s: float = 0
        self.checkpoint = ''
        self.percent = 0
        self.gauge = 0
        self.pace = FULL_PACE
        # A look asked for after this time that lacks the run settles it.
        self.settled_after_s: float | None = None

    @property
    def name(self) -> calls.RunName:
        """How the worker is told of this run."""
        return calls.RunName(self.task.id, self.attempt)

    def take(self, report: reports.RunReport, now_s: float) -> None:
        """Take over what the worker tells of this run."""
        self.checkpoint = report.checkpoint or self.checkpoint
        if report.percent != self.percent:
            self.news_s = now_s
        self.percent = report.percent
        self.gauge = report.gauge

    @property
    def serving(self) -> bool:
        """Whether a lasting task is at work, as far as is known.

        A worker that does not answer may have lost what it ran.
        """
        return (
            self.phase is RunPhase.RUNNING
            and self.percent >= SERVING_PERCENT
            and self.worker.reachable
        )
