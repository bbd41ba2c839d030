"""The main loop of a steward: runs passes while it leads its shard."""

import asyncio
from typing import Any

from jackdawlatch.membership import budget, shards, spares
from jackdawlatch.node import leadership, parts
from jackdawlatch.steward import change_events, explaining, pass_runner
from jackdawlatch.telemetry import events

PERIOD_S = 1
# The pause after a pass that changed something: the next step is often due.
ACTIVE_PERIOD_S = 0.1
STANDBY_PERIOD_S = 0.25


class Daemon:
    """Runs the passes of one steward while it leads its shard."""

    def __init__(
        self,
        dependencies: parts.Parts,
        steward: pass_runner.Steward,
        candidacy: leadership.Leadership,
        explainer: explaining.Explainer,
        policy: str,
    ) -> None:
        self._dependencies = dependencies
        self._steward = steward
        self._candidacy = candidacy
        self._explainer = explainer
        self._policy_type = spares.POLICIES_BY_NAME[policy]
        self._key = shards.key(dependencies.settings.shard)
        self._value: shards.Shard | None = None
        self._between_passes = asyncio.Event()
        self._between_passes.set()
        self._stopping = False

    async def run(self) -> None:
        """Run passes whenever the lease is held, until cancelled."""
        while not self._stopping:
            pause_s = STANDBY_PERIOD_S
            configured = self._dependencies.documents.configuration.version > 0
            if configured and self._candidacy.held:
                self._between_passes.clear()
                try:
                    pause_s = await self._lead()
                finally:
                    self._between_passes.set()
            else:
                self._steward.forget()
                self._value = None
            await asyncio.sleep(pause_s)

    async def drain(self) -> None:
        """Start no more passes, and wait for the current one to end."""
        self._stopping = True
        await self._between_passes.wait()

    def details(self) -> dict[str, Any]:
        """Return the counts of each pool; none unless this process leads."""
        if self._value is None:
            return {'pools': {}}
        limits = budget.Limits.of(self._dependencies.documents.configuration)
        counts = budget.count(
            self._value, limits, self._dependencies.clock.wall_s()
        )
        return {
            'pools': {
                pool: {
                    'ready': counts.ready(pool),
                    'unavailable': counts.unavailable(pool),
                    'max_unavailable': limits.max_unavailable(pool),
                }
                for pool in sorted(limits.pools)
            }
        }

    async def _lead(self) -> float:
        configuration = self._dependencies.documents.configuration
        policy = self._policy_type(configuration.preset.spare_hysteresis_s)
        completed = await self._steward.run_pass(
            configuration,
            policy,
            self._dependencies.documents.revision_of(self._key),
        )
        if completed is None or not completed.written:
            self._dependencies.meters.count(
                'steward_passes', outcome='store-away'
            )
            return PERIOD_S
        self._report(completed)
        return (
            ACTIVE_PERIOD_S
            if completed.applied or completed.called
            else PERIOD_S
        )

    def _report(self, completed: pass_runner.PassResult) -> None:
        meters = self._dependencies.meters
        meters.count('steward_passes', outcome='done')
        meters.count('steward_transitions', len(completed.applied))
        meters.count('steward_transitions_refused', completed.refused)
        meters.count('steward_calls', len(completed.called))
        if self._value is not None:
            for event in change_events.events_between(
                self._value, completed.value
            ):
                meters.count('steward_changes', change=event.name)
                self._dependencies.ring.add(event)
        self._value = completed.value
        waits = {
            overdue.host: overdue.waits_for for overdue in completed.overdue
        }
        for host in waits.keys() - self._explainer.waits_by_host.keys():
            self._dependencies.ring.add(
                events.Event(
                    name='drain-overdue', host=host, detail=waits[host]
                )
            )
        self._explainer.waits_by_host = waits
