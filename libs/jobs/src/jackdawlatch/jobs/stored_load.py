"""The stored forecast by which entries refuse jobs."""

import msgspec

from jackdawlatch.model import records


class LoadLevel(msgspec.Struct, frozen=True, array_like=True):
    """How long new work of a priority and of a size or more waits.

    ``late_wait_s`` holds for a job that is not started in time.
    """

    priority: int
    min_core_s: float
    wait_s: float
    late_wait_s: float


class Load(records.Record, frozen=True, kw_only=True):
    """Forecast of the leader with ``token`` for the overloaded services."""

    token: int
    levels_by_service: dict[str, tuple[LoadLevel, ...]]
