"""Records state changes of a process as a counter, an event and a log line."""

from absl import logging

from jackdawlatch.node import dependencies as node_dependencies
from jackdawlatch.telemetry import events


class ChangeRecorder:
    """Records state changes and applied documents of one process."""

    def __init__(self, dependencies: node_dependencies.Dependencies) -> None:
        self._dependencies = dependencies
        dependencies.documents.subscribe(self._document_applied)

    def record(self, name: str, detail: str = '') -> None:
        """Record a state change of this process."""
        self._dependencies.meters.count('state_changes', change=name)
        self._dependencies.ring.add(events.Event(name=name, detail=detail))
        logging.info(
            '%s %s %s', self._dependencies.roster.local_peer.key, name, detail
        )

    def store_changed(self, reachable: bool) -> None:
        """Record that the store became reachable or unreachable."""
        self.record('store-reachable' if reachable else 'store-lost')

    def _document_applied(self, key: str) -> None:
        documents = self._dependencies.documents
        revision = documents.revision_of(key)
        self._dependencies.meters.count('documents_applied', key=key)
        self._dependencies.ring.add(
            events.Event(
                name='document-applied',
                preset=documents.configuration.in_force,
                detail=f'{key} revision {revision}',
            )
        )
