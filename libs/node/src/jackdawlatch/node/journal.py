"""Records the changes of state of a process: counter, event and log line."""

from absl import logging

from jackdawlatch.node import parts
from jackdawlatch.telemetry import events


class Journal:
    """Notes each change once, wherever it is looked for later."""

    def __init__(self, own: parts.Parts) -> None:
        self._parts = own
        own.documents.listen(self._document_applied)

    def change(self, name: str, detail: str = '') -> None:
        """Note a change of state of this process."""
        self._parts.meters.count('state_changes', change=name)
        self._parts.ring.add(events.Event(name=name, detail=detail))
        logging.info('%s %s %s', self._parts.roster.own.key, name, detail)

    def store_changed(self, reachable: bool) -> None:
        """Note that the store came within reach or was lost."""
        self.change('store-reachable' if reachable else 'store-lost')

    def _document_applied(self, key: str) -> None:
        known = self._parts.documents
        revision = known.revision_of(key)
        self._parts.meters.count('documents_applied', key=key)
        self._parts.ring.add(
            events.Event(
                name='document-applied',
                preset=known.configuration.in_force,
                detail=f'{key} revision {revision}',
            )
        )
