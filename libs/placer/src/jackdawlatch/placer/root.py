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
    """Wires the parts of a placer around its node."""

    def __init__(
        self,
        settings: daemons.Daemon,
        store: keyvalue.Store,
        own_workers: workers.Workers,
    ) -> None:
        self.node = nodes.Node(settings, ROLE, store)
        shard = settings.shard
        own = self.node.parts
        self._authority = authorities.LeaderAuthority(
            self.node.lead(shard),
            own.leaders,
            own.roster.own.id,
            own.clock,
            settings.lease_ttl_s,
        )
        process = assembly.Process(
            store=store,
            workers=own_workers,
            clock=own.clock,
            rng=own.rng,
            meters=own.meters,
            invariants=own.invariants,
            ring=own.ring,
            spawn=self.node.spawn,
            membership=lambda: own.documents.membership(shard),
            configuration=lambda: own.documents.configuration,
        )
        self.parts = assembly.build(
            process, self._authority, book.Options(shard=shard)
        )

    async def start(self) -> result.Result[None, nodes.AddressTaken]:
        """Start the node, then the loops of the placer."""
        explainer = explaining.Explainer(
            self.parts.tools, self.parts.planning, self.parts.placer
        )
        self.node.explain = explainer.explain
        self.node.details = self._details
        started = await self.node.start()
        if isinstance(started, result.Success):
            self.node.spawn(self.parts.placer.follow())
            self.node.spawn(self.parts.placer.place())
            self.node.spawn(self.parts.placer.keep())
            self.node.spawn(self.parts.placer.read())
        return started

    async def run(self) -> None:
        """Serve until stopped, and wait for starts under way."""
        await self.node.run(self.parts.placer.drain)

    def _details(self) -> dict[str, Any]:
        return {
            'leads': self._authority.leads(),
            'queued': len(self.parts.tools.view.queued_by_id),
            'live': len(self.parts.tools.view.live_by_id),
        }
