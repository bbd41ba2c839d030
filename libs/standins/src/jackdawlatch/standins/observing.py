"""Watches a running deployment for what must never happen."""

import asyncio

from returns import result

from jackdawlatch.model import hosts, keys, presets, records
from jackdawlatch.node import daemon
from jackdawlatch.standins import bench, budgets, oracle, pools
from jackdawlatch.store import keyvalue

PERIOD_S = 0.5
WATCH_S = 1.0
FLEET_PREFIX = 'fleet/'


class Observer:
    """Follows every daemon and the stored configuration."""

    def __init__(self, on: bench.Bench) -> None:
        self.violations: list[oracle.Violation] = []
        self._on = on
        self._versions_by_life: dict[tuple[str, float], int] = {}
        self._stored_version = 0
        self._budgets = budgets.Budgets()

    async def run(self) -> None:
        """Follow until cancelled."""
        await asyncio.gather(self._follow_daemons(), self._follow_store())

    async def _follow_daemons(self) -> None:
        while True:
            statuses = await asyncio.gather(
                *(self._on.driver.status(one) for one in self._on.daemon_names)
            )
            for status in filter(None, statuses):
                self._judge(status)
            await asyncio.sleep(PERIOD_S)

    def _judge(self, status: daemon.Status) -> None:
        peer = status.peer
        life = (peer.id, peer.started_s)
        version = status.configuration_version
        if version < self._versions_by_life.get(life, 0):
            self._note('a configuration reverted', peer.id, f'to {version}')
        self._versions_by_life[life] = version
        if status.invariant_violations:
            count = status.invariant_violations
            self._note('an invariant was violated', peer.id, f'{count} times')

    async def _follow_store(self) -> None:
        revision = 0
        while True:
            seen = await self._on.store.watch(FLEET_PREFIX, revision, WATCH_S)
            if isinstance(seen, result.Failure):
                await asyncio.sleep(PERIOD_S)
                continue
            changes = seen.unwrap()
            revision = changes.revision
            for entry in changes.entries:
                self._take(entry)

    def _take(self, entry: keyvalue.Entry) -> None:
        if entry.key == keys.CONFIG:
            stored = records.decode(entry.value, presets.Configuration)
            self._budgets.configure(stored)
            self._judge_stored(stored.version)
        elif entry.key == pools.MEMBERSHIP_KEY:
            written = records.decode(entry.value, hosts.Membership)
            self.violations.extend(self._budgets.judge(written))

    def _judge_stored(self, version: int) -> None:
        if version < self._stored_version:
            self._note('the stored configuration reverted', str(version))
        self._stored_version = version

    def _note(self, rule: str, subject: str, detail: str = '') -> None:
        violation = oracle.Violation(rule, subject, detail)
        if violation not in self.violations:
            self.violations.append(violation)
