"""The stored form of the boots that a leader has sent requests to."""

from jackdawlatch.model import records

# No process watches it.
BOOTS_KEY = 'boots'


class Boots(records.Record, frozen=True, kw_only=True):
    """The birth of the last boot of each worker, by id."""

    born_ms_by_id: dict[str, int]
