"""The loop of a steward: act while leading, and report what happened."""

import asyncio
from typing import Any

from jackdawlatch.membership import budget, shards, spares
from jackdawlatch.node import leadership, parts
from jackdawlatch.steward import explaining, happenings, worker
from jackdawlatch.telemetry import events

PERIOD_S = 1
# After a change the next step is often due at once.
BUSY_S = 0.1
POLL_S = 0.25


class Daemon:
    """Runs the passes of one steward while it leads its shard."""

    def __init__(
        self,
        own: parts.Parts,
        steward: worker.Steward,
        candidacy: leadership.Leadership,
        explainer: explaining.Explainer,
        policy: str,
    ) -> None:
        self._own = own
        self._steward = steward
        self._candidacy = candidacy
        self._explainer = explainer
        self._policy_type = spares.POLICIES_BY_NAME[policy]
        self._key = shards.key(own.settings.shard)
        self._value: shards.Shard | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        self._stopping = False

    async def run(self) -> None:
        """Lead whenever the lease is held, until cancelled."""
        while not self._stopping:
            pause_s = POLL_S
            configured = self._own.documents.configuration.version > 0
            if configured and self._candidacy.held:
                self._idle.clear()
                try:
                    pause_s = await self._lead()
                finally:
                    self._idle.set()
            else:
                self._steward.forget()
                self._value = None
            await asyncio.sleep(pause_s)

    async def drain(self) -> None:
        """Start nothing more, and let the present pass end."""
        self._stopping = True
        await self._idle.wait()

    def details(self) -> dict[str, Any]:
        """Return the state of each pool, while this process leads."""
        if self._value is None:
            return {'pools': {}}
        limits = budget.Limits.of(self._own.documents.configuration)
        counts = budget.count(self._value, limits, self._own.clock.wall_s())
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
        configuration = self._own.documents.configuration
        policy = self._policy_type(configuration.preset.spare_hysteresis_s)
        done = await self._steward.run_pass(
            configuration, policy, self._own.documents.revision_of(self._key)
        )
        if done is None or not done.written:
            self._own.meters.count('steward_passes', outcome='store-away')
            return PERIOD_S
        self._report(done)
        return BUSY_S if done.made or done.called else PERIOD_S

    def _report(self, done: worker.Pass) -> None:
        meters = self._own.meters
        meters.count('steward_passes', outcome='done')
        meters.count('steward_transitions', len(done.made))
        meters.count('steward_transitions_refused', done.refused)
        meters.count('steward_calls', len(done.called))
        if self._value is not None:
            for event in happenings.between(self._value, done.value):
                meters.count('steward_changes', change=event.name)
                self._own.ring.add(event)
        self._value = done.value
        waits = {late.host: late.waits_for for late in done.overdue}
        for host in waits.keys() - self._explainer.waits_by_host.keys():
            self._own.ring.add(
                events.Event(
                    name='drain-overdue', host=host, detail=waits[host]
                )
            )
        self._explainer.waits_by_host = waits
