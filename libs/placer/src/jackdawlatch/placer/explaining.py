"""Explains why a job waits, where it runs, or how it ended."""

from jackdawlatch.model import work
from jackdawlatch.node import context as node_context
from jackdawlatch.placement import transitions
from jackdawlatch.placer import daemon, planning, shared

JOB = 'job'
MAX_EVENTS = 200


class Explainer:
    """Answers operators' questions about jobs while this process leads."""

    def __init__(
        self,
        context: shared.Context,
        round_planner: planning.RoundPlanner,
        placer: daemon.Placer,
    ) -> None:
        self._context = context
        self._round_planner = round_planner
        self._placer = placer

    def explain(
        self, kind: str, subject: str
    ) -> tuple[node_context.Explanation, ...]:
        """Return what is known of a job, nothing for other subjects."""
        if kind != JOB:
            return ()
        job_events = tuple(
            event
            for event in self._context.ring.latest(MAX_EVENTS)
            if event.job == subject
        )
        answer = self._answer(subject)
        if not answer and not job_events:
            return ()
        return (
            node_context.Explanation(
                subject=subject,
                answer=answer or 'the job is not queued or running here',
                evidence=job_events,
            ),
        )

    def _answer(self, job_id: str) -> str:
        live = self._context.view.live_by_id.get(job_id)
        if live:
            attempt = live.attempt
            return f'{live.state} on {live.host}, attempt {attempt}'
        queued = self._context.view.queued_by_id.get(job_id)
        return self._why_queued(queued) if queued else ''

    def _why_queued(self, job: work.Job) -> str:
        reason = self._placer.reasons_by_job.get(job.id)
        if reason:
            return f'queued: {reason}'
        if transitions.is_delayed(job, self._context.clock.wall_s()):
            return f'queued: it waits before another attempt ({job.reason})'
        pool = self._round_planner.pool_of(job.kind.service)
        if not pool:
            service = job.kind.service
            return f'queued: no service {service} in the preset in force'
        ahead = sum(
            1
            for other in self._context.view.queued_by_id.values()
            if other.kind == job.kind and other.submitted_s < job.submitted_s
        )
        return f'queued: {ahead} jobs of its kind are ahead of it in {pool}'
