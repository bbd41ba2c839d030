"""The settings of stand-ins that serve many hosts from one process."""

from jackdawlatch.model import records
from jackdawlatch.standins import runner_state, worker_settings


class Store(records.StrictRecord, frozen=True, kw_only=True):
    """The key-value service."""

    port: runner_state.Port = 0


class Runners(records.StrictRecord, frozen=True, kw_only=True):
    """Any number of runners, each at its own port."""

    runners: tuple[runner_state.Settings, ...]


class Workers(records.StrictRecord, frozen=True, kw_only=True):
    """Any number of workers, each at its own port."""

    workers: tuple[worker_settings.Settings, ...]
