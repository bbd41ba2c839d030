"""Policies for when the spare pool lends hosts and takes them back."""

import abc
import dataclasses
import types
from collections.abc import Callable, Mapping


@dataclasses.dataclass(frozen=True)
class Need:
    """How many hosts a pool needs.

    ``shortage`` is the target size less the expected hosts, negative for a
    surplus.  ``headroom`` is the availability budget less the unavailable
    hosts, negative when the budget is exceeded.
    """

    pool: str
    shortage: int
    headroom: int


class SparePolicy(abc.ABC):
    """Decides how long the spare pool waits before it moves a host."""

    @abc.abstractmethod
    def lend_after_s(self, need: Need) -> float:
        """Return how many seconds a pool must be short before a loan."""

    @abc.abstractmethod
    def return_after_s(self) -> float:
        """Return how many seconds a surplus must last before a return."""

    @abc.abstractmethod
    def reserve(self, failure_domain: int) -> int:
        """Return how many spare hosts to keep for replacing failed hosts.

        ``failure_domain`` is the most that the failure of one rack needs.
        """

    def keeps_surplus(self, free: int, reserve: int) -> bool:
        """Return whether pools with a surplus keep it for now.

        ``free`` is the number of spare hosts that serve, ``reserve`` the
        number of them to keep.
        """
        return False


class Eager(SparePolicy):
    """The baseline: moves hosts without waiting, and keeps no reserve."""

    def __init__(self, _hysteresis_s: float) -> None:
        """Accept the hysteresis like the other policies, and ignore it."""

    def lend_after_s(self, need: Need) -> float:
        """Return 0: lend without waiting."""
        return 0

    def return_after_s(self) -> float:
        """Return 0: take a host back without waiting."""
        return 0

    def reserve(self, failure_domain: int) -> int:
        """Return 0: keep no reserve."""
        return 0


class Hysteresis(SparePolicy):
    """Waits before a move, so that short failures cause none."""

    def __init__(self, hysteresis_s: float) -> None:
        """Wait ``hysteresis_s`` seconds unless a budget is exceeded."""
        self._hysteresis_s = hysteresis_s

    def lend_after_s(self, need: Need) -> float:
        """Return 0 if the pool's budget is exceeded, else the hysteresis."""
        return 0 if need.headroom < 0 else self._hysteresis_s

    def return_after_s(self) -> float:
        """Return the hysteresis."""
        return self._hysteresis_s

    def reserve(self, failure_domain: int) -> int:
        """Keep enough hosts for the failure of the worst rack."""
        return failure_domain


class Lazy(Hysteresis):
    """Leaves a surplus in pools until the spare pool needs the hosts."""

    def keeps_surplus(self, free: int, reserve: int) -> bool:
        """Keep a surplus while more hosts than the reserve are spare."""
        return free > reserve


POLICIES_BY_NAME: Mapping[str, Callable[[float], SparePolicy]] = (
    types.MappingProxyType(
        {
            'eager': Eager,
            'hysteresis': Hysteresis,
            'lazy': Lazy,
        }
    )
)
