"""Explains the phase of a host and the availability of a pool."""

from collections.abc import Callable

from jackdawlatch.membership import budget, shards
from jackdawlatch.model import clocks, hosts
from jackdawlatch.node import context, documents
from jackdawlatch.steward import change_events
from jackdawlatch.telemetry import events

Explanations = tuple[context.Explanation, ...]


class Explainer:
    """Answers operators' questions from the documents of this process.

    ``waits_by_host`` holds what each overdue drain waits for; it is filled
    while this process leads.
    """

    def __init__(
        self,
        fleet_documents: documents.Documents,
        ring: events.Ring,
        clock: clocks.Clock,
        shard: str,
    ) -> None:
        self.waits_by_host: dict[str, str] = {}
        self._documents = fleet_documents
        self._ring = ring
        self._clock = clock
        self._shard = shard

    def explain(self, kind: str, subject: str) -> Explanations:
        """Explain the host or pool ``subject``, with events as evidence.

        Empty for other kinds of subject, and for an unknown host or pool.
        """
        answer_of = self._answers().get(kind)
        answer = answer_of(subject) if answer_of else ''
        if not answer:
            return ()
        evidence = tuple(
            event
            for event in self._ring.latest()
            if subject in {event.host, event.pool}
        )
        return (
            context.Explanation(
                subject=subject, answer=answer, evidence=evidence
            ),
        )

    def _answers(self) -> dict[str, Callable[[str], str]]:
        return {'host': self._host, 'pool': self._pool}

    def _host(self, host: str) -> str:
        value = self._documents.membership(self._shard)
        assignment = value.assignments_by_host.get(host)
        if assignment is None:
            return ''
        seconds = round(self._clock.wall_s() - assignment.since_s)
        liveness = value.hosts_by_id[host].liveness
        details = (
            f'{assignment.phase} in pool {assignment.pool} for {seconds} s',
            f'listed as {liveness}',
            change_events.reasons(assignment),
            self._drain_wait(host, assignment),
        )
        return ', '.join(detail for detail in details if detail)

    def _drain_wait(self, host: str, assignment: hosts.Assignment) -> str:
        waits_for = self.waits_by_host.get(host)
        if assignment.phase is hosts.Phase.ACTIVE or not waits_for:
            return ''
        return f'waits for {waits_for}'

    def _pool(self, pool: str) -> str:
        limits = budget.Limits.of(self._documents.configuration)
        if pool not in limits.pools:
            return ''
        membership = self._documents.membership(self._shard)
        value = shards.Shard(
            assignments_by_host=membership.assignments_by_host,
            hosts_by_id=membership.hosts_by_id,
        )
        counts = budget.count(value, limits, self._clock.wall_s())
        target = limits.target_hosts(pool)
        wanted = 'any number' if target is None else target
        return (
            f'{counts.ready(pool)} hosts serve, {wanted} wanted, '
            f'{counts.unavailable(pool)} unavailable of '
            f'{limits.max_unavailable(pool)} allowed, '
            f'{counts.failed(pool)} failed'
        )
