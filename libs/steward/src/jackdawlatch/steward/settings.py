"""The settings of a steward."""

from typing import Literal

from jackdawlatch.settings import daemons


class Steward(daemons.Daemon, frozen=True, kw_only=True):
    """A daemon that reads the platform's host list at ``hosts_address``."""

    hosts_address: daemons.BaseUrl
    spare_policy: Literal['eager', 'hysteresis', 'lazy'] = 'lazy'
