"""Baselines: one queue in arrival order, and strict priority."""

from jackdawlatch.admission import queues
from jackdawlatch.model import shares, work


class Fifo(queues.Policy):
    """Serves tickets in the order of their arrival, whatever their kind."""

    def wait_s(self, kind: work.Kind) -> float:
        """Return how long a new ticket would wait behind all others."""
        total_s = sum(
            length * self.times.estimate_s(other)
            for other, length in self.lines.lengths
        )
        return total_s / max(1, self.capacity)

    def granted(self, kind: work.Kind, granted_s: float) -> None:
        """Do nothing: what kinds hold has no bearing on the order."""

    def _choose(self, now_s: float) -> work.Kind:
        kinds = (kind for kind, _ in self.lines.lengths)
        return min(
            kinds, key=lambda kind: (self._rank(kind), self.lines.number(kind))
        )

    def _settled(self, kind: work.Kind, granted_s: float, now_s: float) -> None:
        """Do nothing: what kinds held has no bearing on the order."""

    def _rank(self, kind: work.Kind) -> int:
        return 0


class Strict(Fifo):
    """Serves the most urgent tickets first, then in arrival order."""

    def _rank(self, kind: work.Kind) -> int:
        return shares.rank(kind.urgency)
