"""The composition root of a placer."""

from typing import Any

from returns import result

from jackdawlatch.backends import workers
from jackdawlatch.node import daemon as nodes
from jackdawlatch.placement import book
from jackdawlatch.placer import assembly, authorities, explaining
from jackdawlatch.settings import daemons
from jackdawlatch.store import keyvalue

ROLE = 'placer'


class Root:
    """Builds a placer around its node."""

    def __init__(
        self,
        settings: daemons.Daemon,
        store: keyvalue.Store,
        worker_client: workers.Workers,
    ) -> None:
        self.node = nodes.Node(settings, ROLE, store)
        shard = settings.shard
        node_dependencies = self.node.parts
        self._authority = authorities.LeaderAuthority(
            self.node.lead(shard),
            node_dependencies.leaders,
            node_dependencies.roster.own.id,
            node_dependencies.clock,
            settings.lease_ttl_s,
        )
        process = assembly.Process(
            store=store,
            workers=worker_client,
            clock=node_dependencies.clock,
            rng=node_dependencies.rng,
            meters=node_dependencies.meters,
            invariants=node_dependencies.invariants,
            ring=node_dependencies.ring,
            spawn=self.node.spawn,
            membership=lambda: node_dependencies.documents.membership(shard),
            configuration=lambda: node_dependencies.documents.configuration,
        )
        self.parts = assembly.build(
            process, self._authority, book.Options(shard=shard)
        )

    async def start(self) -> result.Result[None, nodes.AddressTaken]:
        """Start the node, then the loops of the placer."""
        explainer = explaining.Explainer(
            self.parts.context,
            self.parts.round_planner,
            self.parts.placer,
        )
        self.node.explain = explainer.explain
        self.node.details = self._details
        started = await self.node.start()
        if isinstance(started, result.Success):
            self.node.spawn(self.parts.placer.follow_jobs())
            self.node.spawn(self.parts.placer.run_rounds())
            self.node.spawn(self.parts.placer.renew_leases())
            self.node.spawn(self.parts.placer.read_usage())
        return started

    async def run(self) -> None:
        """Run until stopped, then wait for starts in progress."""
        await self.node.run(self.parts.placer.drain)

    def _details(self) -> dict[str, Any]:
        return {
            'leads': self._authority.leads(),
            'queued': len(self.parts.context.view.queued_by_id),
            'live': len(self.parts.context.view.live_by_id),
        }
