"""The composition root of a steward."""

from returns import result

from jackdawlatch.membership import editor
from jackdawlatch.node import daemon as nodes
from jackdawlatch.steward import backends, daemon, explaining, worker
from jackdawlatch.steward import settings as steward_settings
from jackdawlatch.store import keyvalue

ROLE = 'steward'


class Root:
    """Wires the parts of a steward around its node."""

    def __init__(
        self,
        settings: steward_settings.Steward,
        store: keyvalue.Store,
        through: backends.Backends,
    ) -> None:
        self.node = nodes.Node(settings, ROLE, store)
        self._settings = settings
        self._store = store
        self._through = through

    async def start(self) -> result.Result[None, nodes.AddressTaken]:
        """Start the node, then stand for leadership of the shard."""
        started = await self.node.start()
        if isinstance(started, result.Success):
            self._wire()
        return started

    async def run(self) -> None:
        """Serve until stopped, and end the pass under way."""
        await self.node.run(self._daemon.drain)

    def _wire(self) -> None:
        parts = self.node.parts
        shard = self._settings.shard
        explainer = explaining.Explainer(
            parts.documents, parts.ring, parts.clock, shard
        )
        candidacy = self.node.lead(shard)
        steward = worker.Steward(
            editor.Editor(self._store, shard, parts.clock),
            self._through,
            parts.clock,
            leads=lambda: candidacy.held,
        )
        self._daemon = daemon.Daemon(
            parts, steward, candidacy, explainer, self._settings.spare_policy
        )
        self.node.explain = explainer.explain
        self.node.details = self._daemon.details
        self.node.spawn(self._daemon.run())
