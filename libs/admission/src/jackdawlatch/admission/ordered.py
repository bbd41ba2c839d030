"""Baseline policies: arrival order, and strict priority by urgency."""

from jackdawlatch.admission import policy
from jackdawlatch.model import shares, work


class Fifo(policy.Policy):
    """Serves tickets of all kinds in the order of their arrival."""

    def wait_s(self, kind: work.Kind) -> float:
        """Return the estimated seconds that a new ticket would wait."""
        total_s = sum(
            length * self.times.estimate_s(other)
            for other, length in self.lines.lengths
        )
        return total_s / max(1, self.capacity)

    def granted(self, kind: work.Kind, granted_s: float) -> None:
        """Do nothing, since held slots do not affect the order."""

    def _choose(self, now_s: float) -> work.Kind:
        kinds = (kind for kind, _ in self.lines.lengths)
        return min(
            kinds, key=lambda kind: (self._rank(kind), self.lines.number(kind))
        )

    def _on_released(
        self, kind: work.Kind, granted_s: float, now_s: float
    ) -> None:
        """Do nothing, since held slots do not affect the order."""

    def _rank(self, kind: work.Kind) -> int:
        return 0


class Strict(Fifo):
    """Serves the most urgent tickets first, then in arrival order."""

    def _rank(self, kind: work.Kind) -> int:
        return shares.rank(kind.urgency)
