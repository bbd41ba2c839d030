"""Judges whether jobs can still meet their latency objectives."""

import dataclasses
import weakref

from jackdawlatch.jobs import model
from jackdawlatch.policy import durations, objectives
from jackdawlatch.scheduler import round_times, tasks

# Planning asks for every waiting job, up to a hundred times a second.
VERDICT_VALIDITY_S = 0.2
RATIO_DIGITS = 2


@dataclasses.dataclass(frozen=True)
class Standing:
    """How long a job may wait without missing its objective.

    ``slack_s`` is negative if it would miss it even if it continued at
    ``judged_s``.
    """

    slack_s: float
    objective_s: float
    judged_s: float

    def expired(self, now: round_times.RoundTime) -> bool:
        """Whether the job has to be judged again."""
        return now.monotonic_s - self.judged_s >= VERDICT_VALIDITY_S


class Lateness:
    """Judges jobs by the run times of their tasks and of earlier jobs."""

    def __init__(self) -> None:
        self._ratios = durations.DurationRatios()
        self._standings_by_job: weakref.WeakKeyDictionary[
            tasks.JobState, Standing
        ] = weakref.WeakKeyDictionary()

    def record_end(self, task: tasks.Task, now_s: float) -> None:
        """Record that the placed run of a task ended as done."""
        self._standings_by_job.pop(task.job, None)
        if task.started_s is not None and not task.step.lasting:
            task.state.longest_run_s = max(
                task.state.longest_run_s, now_s - task.started_s
            )

    def record_step(self, state: tasks.StepState, queue: str) -> None:
        """Record a step whose tasks are all done."""
        self._ratios.record(queue, state.longest_run_s, state.step.estimate_s)

    def expected_s(self, step: model.Step, queue: str) -> float:
        """Return how long a step of a queue is expected to take."""
        return self._ratios.expected_s(queue, step.estimate_s)

    def duration_ratio(self, queue: str) -> float:
        """Return the expected duration of a step for each estimated second."""
        return round(self._ratios.expected_s(queue, 1), RATIO_DIGITS)

    def gives_way(
        self, job: tasks.JobState, now: round_times.RoundTime
    ) -> bool:
        """Whether a job is late, or beyond the share of its team.

        Lasting jobs never give way: their lost tasks have to be restarted soon.
        """
        if job.lasting:
            return False
        return not job.claim.within_share or self.is_late(job, now)

    def is_late(self, job: tasks.JobState, now: round_times.RoundTime) -> bool:
        """Whether a job would miss its objective if it continued now."""
        return not job.lasting and self.standing(job, now).slack_s < 0

    def standing(
        self, job: tasks.JobState, now: round_times.RoundTime
    ) -> Standing:
        """Return how long a job may wait, as judged a short time ago."""
        standing = self._standings_by_job.get(job)
        if standing is None or standing.expired(now):
            standing = self._judge(job, now)
            self._standings_by_job[job] = standing
        return standing

    def _judge(
        self, job: tasks.JobState, now: round_times.RoundTime
    ) -> Standing:
        if job.queue is None:
            return Standing(-1, 0, now.monotonic_s)
        states = open_steps(job)
        steps = [self._timing(state, job.queue.name, now) for state in states]
        objective = objectives.Objective(
            job.queue.slack_factor, job.queue.target_s
        )
        return Standing(
            objectives.slack_s(
                steps, objective, _age_s(job, states[0].occurrence, now)
            ),
            objectives.allowed_s(steps, objective),
            now.monotonic_s,
        )

    def _timing(
        self, state: tasks.StepState, queue: str, now: round_times.RoundTime
    ) -> objectives.StepTiming:
        expected_s = self.expected_s(state.step, queue)
        return objectives.StepTiming(
            duration_s=state.longest_run_s or expected_s,
            after=state.step.after,
            elapsed_s=_elapsed_s(state, now.monotonic_s),
            done=state.done,
        )


def open_steps(job: tasks.JobState) -> list[tasks.StepState]:
    """Return the steps of the first occurrence that is not done."""
    size = len(job.job.steps)
    open_number = next(
        (number for number, state in enumerate(job.steps) if not state.done), 0
    )
    first = open_number // size * size
    return job.steps[first : first + size]


def _elapsed_s(state: tasks.StepState, now_s: float) -> float | None:
    """Return the time since the last task started, None while one waits."""
    if any(task.phase is tasks.TaskPhase.WAITING for task in state.tasks):
        return None
    started_s = [
        task.started_s
        for task in state.tasks
        if task.run is not None and task.started_s is not None
    ]
    return now_s - max(started_s) if started_s else None


def _age_s(
    job: tasks.JobState, occurrence: int, now: round_times.RoundTime
) -> float:
    if job.job.repeat_count:
        return now.wall_s - job.job.due_s(occurrence)
    return now.monotonic_s - job.accepted_s
