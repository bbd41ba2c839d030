"""The composition root of a steward."""

from returns import result

from jackdawlatch.membership import editor
from jackdawlatch.node import daemon as nodes
from jackdawlatch.steward import daemon, explaining, fleet_client, pass_runner
from jackdawlatch.steward import settings as steward_settings
from jackdawlatch.store import keyvalue

ROLE = 'steward'


class Root:
    """Creates the components of a steward and connects them to its node."""

    def __init__(
        self,
        settings: steward_settings.Steward,
        store: keyvalue.Store,
        client: fleet_client.FleetClient,
    ) -> None:
        self.node = nodes.Node(settings, ROLE, store)
        self._settings = settings
        self._store = store
        self._client = client

    async def start(self) -> result.Result[None, nodes.AddressTaken]:
        """Start the node, then become a candidate to lead the shard.

        Returns ``AddressTaken`` if the node cannot listen.
        """
        started = await self.node.start()
        if isinstance(started, result.Success):
            self._wire()
        return started

    async def run(self) -> None:
        """Run until stopped, and let the current pass end."""
        await self.node.run(self._daemon.drain)

    def _wire(self) -> None:
        dependencies = self.node.parts
        shard = self._settings.shard
        explainer = explaining.Explainer(
            dependencies.documents, dependencies.ring, dependencies.clock, shard
        )
        candidacy = self.node.lead(shard)
        steward = pass_runner.Steward(
            editor.Editor(self._store, shard, dependencies.clock),
            self._client,
            dependencies.clock,
            is_leader=lambda: candidacy.held,
        )
        self._daemon = daemon.Daemon(
            dependencies,
            steward,
            candidacy,
            explainer,
            self._settings.spare_policy,
        )
        self.node.explain = explainer.explain
        self.node.details = self._daemon.details
        self.node.spawn(self._daemon.run())
