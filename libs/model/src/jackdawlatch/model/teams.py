"""Teams whose callers share the capacity of the fleet."""

from jackdawlatch.model import presets, records


class Team(records.Record, frozen=True, kw_only=True):
    """A team with the keys of its callers.

    ``weight`` is its share when demand exceeds capacity, and how many jobs a
    second it may claim for that share.  ``quota`` limits what the runs of its
    jobs hold at once.
    """

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1
    quota: presets.Quota = presets.Quota()
