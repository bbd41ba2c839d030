"""The composition root of a placer."""

from typing import Any

from returns import result

from jackdawlatch.node import daemon as nodes
from jackdawlatch.placement import book, view
from jackdawlatch.placement import workers as judgements
from jackdawlatch.placer import (
    authorities,
    daemon,
    explaining,
    planning,
    sites,
    tools,
    trackers,
)
from jackdawlatch.platform import workers
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
        self.tools = self._tools(own_workers)
        self._planning = planning.Planning(
            self.tools, lambda: self.node.parts.documents.configuration
        )
        self.placer = daemon.Placer(
            self.tools, self._authority, self._planning, settings.shard, store
        )

    async def start(self) -> result.Result[None, nodes.AddressTaken]:
        """Start the node, then the loops of the placer."""
        explainer = explaining.Explainer(
            self.tools, self._planning, self.placer
        )
        self.node.explain = explainer.explain
        self.node.details = self._details
        started = await self.node.start()
        if isinstance(started, result.Success):
            self.node.spawn(self.placer.follow())
            self.node.spawn(self.placer.place())
            self.node.spawn(self.placer.keep())
            self.node.spawn(self.placer.read())
        return started

    async def run(self) -> None:
        """Serve until stopped, and wait for starts under way."""
        await self.node.run(self.placer.drain)

    def _tools(self, own_workers: workers.Workers) -> tools.Tools:
        parts = self.node.parts
        shard = parts.settings.shard
        self._authority = authorities.LeaderAuthority(
            self.node.lead(shard),
            parts.leaders,
            parts.roster.own.id,
            parts.clock,
            parts.settings.lease_ttl_s,
        )
        return tools.Tools(
            authority=self._authority,
            book=book.Book(parts.store, book.Options(shard=shard), parts.clock),
            clock=parts.clock,
            health=judgements.Health(),
            meters=parts.meters,
            invariants=parts.invariants,
            ring=parts.ring,
            rng=parts.rng,
            sites=sites.Sites(
                lambda: parts.documents.membership(shard), parts.clock
            ),
            spawn=self.node.spawn,
            tracker=trackers.Tracker(parts.clock),
            view=view.View(),
            workers=own_workers,
        )

    def _details(self) -> dict[str, Any]:
        return {
            'leads': self._authority.leads(),
            'queued': len(self.tools.view.queued_by_id),
            'live': len(self.tools.view.live_by_id),
        }
