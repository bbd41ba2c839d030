"""Says why a host is where it is, and what a pool lacks."""

from collections.abc import Callable

from jackdawlatch.membership import budget, shards
from jackdawlatch.model import clocks, hosts
from jackdawlatch.node import context, documents
from jackdawlatch.steward import happenings
from jackdawlatch.telemetry import events

Explained = tuple[context.Explanation, ...]


class Explainer:
    """Answers operators' questions from the documents of this process.

    ``waits`` tells what the drain of a host waits for, while this process
    leads.
    """

    def __init__(
        self,
        known: documents.Documents,
        ring: events.Ring,
        clock: clocks.Clock,
        shard: str,
    ) -> None:
        self.waits_by_host: dict[str, str] = {}
        self._known = known
        self._ring = ring
        self._clock = clock
        self._shard = shard

    def explain(self, kind: str, subject: str) -> Explained:
        """Return what is known of a host or a pool, nothing of the rest."""
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
        value = self._known.membership(self._shard)
        assignment = value.assignments_by_host.get(host)
        if assignment is None:
            return ''
        seconds = round(self._clock.wall_s() - assignment.since_s)
        liveness = value.hosts_by_id[host].liveness
        parts = (
            f'{assignment.phase} in pool {assignment.pool} for {seconds} s',
            f'listed as {liveness}',
            happenings.why(assignment),
            self._wait(host, assignment),
        )
        return ', '.join(part for part in parts if part)

    def _wait(self, host: str, assignment: hosts.Assignment) -> str:
        waits_for = self.waits_by_host.get(host)
        if assignment.phase is hosts.Phase.ACTIVE or not waits_for:
            return ''
        return f'waits for {waits_for}'

    def _pool(self, pool: str) -> str:
        limits = budget.Limits.of(self._known.configuration)
        if pool not in limits.pools:
            return ''
        known = self._known.membership(self._shard)
        value = shards.Shard(
            assignments_by_host=known.assignments_by_host,
            hosts_by_id=known.hosts_by_id,
        )
        counts = budget.count(value, limits, self._clock.wall_s())
        wanted = limits.wanted(pool)
        asked = 'any number' if wanted is None else wanted
        return (
            f'{counts.ready(pool)} hosts serve, {asked} wanted, '
            f'{counts.unavailable(pool)} unavailable of '
            f'{limits.max_unavailable(pool)} allowed, '
            f'{counts.failed(pool)} failed'
        )
