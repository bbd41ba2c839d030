"""Says why a job waits, where it runs, or how it ended."""

from jackdawlatch.model import work
from jackdawlatch.node import context
from jackdawlatch.placement import transitions
from jackdawlatch.placer import daemon, planning, tools

JOB = 'job'
EVENTS = 200


class Explainer:
    """Answers operators' questions about jobs, while this process leads."""

    def __init__(
        self,
        own: tools.Tools,
        plans: planning.Planning,
        placer: daemon.Placer,
    ) -> None:
        self._own = own
        self._planning = plans
        self._placer = placer

    def explain(
        self, kind: str, subject: str
    ) -> tuple[context.Explanation, ...]:
        """Return what is known of a job, nothing for other subjects."""
        if kind != JOB:
            return ()
        happened = tuple(
            event
            for event in self._own.ring.latest(EVENTS)
            if event.job == subject
        )
        answer = self._answer(subject)
        if not answer and not happened:
            return ()
        return (
            context.Explanation(
                subject=subject,
                answer=answer or 'the job is not queued or running here',
                evidence=happened,
            ),
        )

    def _answer(self, job_id: str) -> str:
        live = self._own.view.live_by_id.get(job_id)
        if live:
            attempt = live.attempt
            return f'{live.state} on {live.host}, attempt {attempt}'
        queued = self._own.view.queued_by_id.get(job_id)
        return self._why_queued(queued) if queued else ''

    def _why_queued(self, job: work.Job) -> str:
        reason = self._placer.reasons_by_job.get(job.id)
        if reason:
            return f'queued: {reason}'
        if transitions.waits(job, self._own.clock.wall_s()):
            return f'queued: it waits before another attempt ({job.reason})'
        pool = self._planning.pool_of(job.kind.service)
        if not pool:
            service = job.kind.service
            return f'queued: no service {service} in the preset in force'
        ahead = sum(
            1
            for other in self._own.view.queued_by_id.values()
            if other.kind == job.kind and other.submitted_s < job.submitted_s
        )
        return f'queued: {ahead} jobs of its kind are ahead of it in {pool}'
