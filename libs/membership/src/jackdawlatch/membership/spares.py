"""When the spare pool lends a host, and when it takes one back."""

import abc
import dataclasses
import types
from collections.abc import Callable, Mapping


@dataclasses.dataclass(frozen=True)
class Need:
    """What a pool lacks, seen at one moment.

    ``missing`` is hosts wanted over hosts expected.  ``headroom`` is what
    failures and planned work leave of the availability budget; below zero
    the budget is overspent.
    """

    pool: str
    missing: int
    headroom: int


class SparePolicy(abc.ABC):
    """How long the spare pool waits before it moves a host."""

    @abc.abstractmethod
    def lend_after_s(self, need: Need) -> float:
        """Return how long a pool must be short before it gets a host."""

    @abc.abstractmethod
    def return_after_s(self) -> float:
        """Return how long a pool must be in surplus before it gives one."""

    @abc.abstractmethod
    def reserve(self, failure_domain: int) -> int:
        """Return the spare hosts that are kept for overspent budgets."""

    def keeps_surplus(self, free: int, reserve: int) -> bool:
        """Return whether pools keep hosts that they do not need for now.

        ``free`` is the spare hosts there are, ``reserve`` those to keep.
        """
        return False


class Eager(SparePolicy):
    """Moves a host as soon as there is a reason to; the baseline."""

    def __init__(self, _hysteresis_s: float) -> None:
        """Ignore the hysteresis."""

    def lend_after_s(self, need: Need) -> float:
        """Lend at once."""
        return 0

    def return_after_s(self) -> float:
        """Take back at once."""
        return 0

    def reserve(self, failure_domain: int) -> int:
        """Keep nothing back."""
        return 0


class Hysteresis(SparePolicy):
    """Waits out short failures while the budget holds."""

    def __init__(self, hysteresis_s: float) -> None:
        """Wait ``hysteresis_s`` before a move that the budget can wait for."""
        self._hysteresis_s = hysteresis_s

    def lend_after_s(self, need: Need) -> float:
        """Lend at once only to a pool whose budget is overspent."""
        return 0 if need.headroom < 0 else self._hysteresis_s

    def return_after_s(self) -> float:
        """Take back once the surplus has lasted."""
        return self._hysteresis_s

    def reserve(self, failure_domain: int) -> int:
        """Keep what the worst failure domain would need."""
        return failure_domain


class Lazy(Hysteresis):
    """Leaves hosts where they are until the spare pool needs them back."""

    def keeps_surplus(self, free: int, reserve: int) -> bool:
        """Keep hosts while enough others are spare."""
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
