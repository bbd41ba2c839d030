"""The settings and the faults of a worker's stand-in."""

from jackdawlatch.model import hosts, records
from jackdawlatch.standins import runner_state


class Settings(records.StrictRecord, frozen=True, kw_only=True):
    """One worker; reported usage is at least ``lag_ms`` old."""

    host: str
    capacity: hosts.Capacity
    port: runner_state.Port = 0
    lag_ms: runner_state.Milliseconds = 1000
    executions_path: str = ''


class Faults(records.StrictRecord, frozen=True, kw_only=True):
    """The faults in force; posting new ones replaces all of them."""

    fail_everything: bool = False
