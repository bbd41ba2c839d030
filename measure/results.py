"""Results that benchmarks pass to tables and plots."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True)
class FloodResult:
    """Effect of one flood on the other kinds of work, with one broker setup.

    Goodput and latency are ratios to the same run without the flood.
    """

    flood: str
    factor: int
    setup: str
    goodput_by_kind: Mapping[str, float]
    p99_ratio_by_kind: Mapping[str, float]
    slots_used: float
