"""The settings of a steward."""

from typing import Literal

from jackdawlatch.settings import daemons


class Steward(daemons.Daemon, frozen=True, kw_only=True):
    """The settings of a steward.

    ``hosts_address`` is the URL of the platform's host list, ``spare_policy``
    the name of the policy by which the spare pool lends hosts.
    """

    hosts_address: daemons.BaseUrl
    spare_policy: Literal['eager', 'hysteresis', 'lazy'] = 'lazy'
