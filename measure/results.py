"""What measures hand to the tables and the plots."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True)
class Flooded:
    """What the other kinds kept in one flood, in one way."""

    flood: str
    factor: int
    way: str
    goodput_by_kind: Mapping[str, float]
    p99_ratio_by_kind: Mapping[str, float]
    slots_used: float
