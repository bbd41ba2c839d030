"""Checks each written membership against the availability budgets.

The check reads only stored documents and shares no code with the stewards,
so that it doesn't repeat their faults.
"""

import collections
from collections.abc import Iterator

from jackdawlatch.model import hosts, presets
from jackdawlatch.standins import oracle

# A steward may still act on a configuration that was just replaced.
KEPT_CONFIGURATIONS = 3


class BudgetChecker:
    """Checks memberships and configurations in the order of their writes."""

    def __init__(self) -> None:
        self._previous = hosts.Membership()
        self._recent: collections.deque[presets.Configuration] = (
            collections.deque(maxlen=KEPT_CONFIGURATIONS)
        )

    def add_configuration(self, configuration: presets.Configuration) -> None:
        """Add a configuration that was written."""
        self._recent.append(configuration)

    def check(self, membership: hosts.Membership) -> Iterator[oracle.Violation]:
        """Yield each pool from which a write has drained too many hosts."""
        for pool in sorted(self._newly_draining_pools(membership)):
            ready = _ready(membership, pool)
            if self._recent and not any(
                _allows(configuration, pool, ready)
                for configuration in self._recent
            ):
                yield oracle.Violation(
                    'availability budget exceeded', pool, f'{ready} hosts left'
                )
        self._previous = membership

    def _newly_draining_pools(self, membership: hosts.Membership) -> set[str]:
        """Return the pools of the hosts that this write began to drain."""
        return {
            assignment.pool
            for host, assignment in membership.assignments_by_host.items()
            if assignment.phase is hosts.Phase.DRAINING
            and self._was_active(host)
        }

    def _was_active(self, host: str) -> bool:
        assignment = self._previous.assignments_by_host.get(host)
        return bool(assignment and assignment.phase is hosts.Phase.ACTIVE)


def _ready(membership: hosts.Membership, pool: str) -> int:
    return sum(
        1
        for host, assignment in membership.assignments_by_host.items()
        if assignment.pool == pool
        and assignment.phase is hosts.Phase.ACTIVE
        and membership.hosts_by_id[host].liveness is hosts.Liveness.LIVE
    )


def _allows(
    configuration: presets.Configuration, pool: str, ready: int
) -> bool:
    target = configuration.preset.pools_by_name.get(pool)
    known = configuration.pools_by_name.get(pool)
    # The spare pool lends its hosts to others, so it has no budget.
    if target is None or known is None or known.spare:
        return True
    return target.hosts - ready <= target.max_unavailable
