"""Baselines: one queue in arrival order, and strict priority."""

from jackdawlatch.admission import queues, shares
from jackdawlatch.model import work


class Fifo(queues.Policy):
    """Serves tickets in the order of their arrival, whatever their kind."""

    def wait_s(self, kind: work.Kind) -> float:
        """Return how long a new ticket would wait behind all others."""
        total_s = sum(
            self.lines.length(other) * self.times.estimate_s(other)
            for other in self.lines.kinds
        )
        return total_s / max(1, self.capacity)

    def _choose(self, now_s: float) -> work.Kind:
        return min(
            self.lines.kinds,
            key=lambda kind: (self._rank(kind), self.lines.number(kind)),
        )

    def _rank(self, kind: work.Kind) -> int:
        return 0


class Strict(Fifo):
    """Serves the most urgent tickets first, then in arrival order."""

    def _rank(self, kind: work.Kind) -> int:
        return shares.rank(kind)
