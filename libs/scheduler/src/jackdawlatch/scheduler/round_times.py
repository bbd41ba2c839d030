"""The time of a planning round."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RoundTime:
    """The time of a planning round, on both clocks."""

    monotonic_s: float
    wall_s: float
