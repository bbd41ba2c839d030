"""The time at which a round of decisions looks at the cluster."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RoundTime:
    """One moment on both clocks.

    Only the due times of repeated jobs are wall-clock times.
    """

    monotonic_s: float
    wall_s: float
