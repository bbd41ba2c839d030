"""The settings of the stand-in processes of store, runners and workers."""

from jackdawlatch.model import records
from jackdawlatch.standins import runner_state, worker_settings


class Store(records.StrictRecord, frozen=True, kw_only=True):
    """The key-value service."""

    port: runner_state.Port = 0


class Runners(records.StrictRecord, frozen=True, kw_only=True):
    """Runners that one process serves, each at its own port."""

    runners: tuple[runner_state.Settings, ...]


class Workers(records.StrictRecord, frozen=True, kw_only=True):
    """Workers that one process serves, each at its own port."""

    workers: tuple[worker_settings.Settings, ...]
