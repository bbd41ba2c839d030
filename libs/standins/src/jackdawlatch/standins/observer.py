"""Checks invariants of a deployment while it runs."""

import asyncio

from returns import result

from jackdawlatch.model import hosts, keys, presets, records
from jackdawlatch.node import daemon
from jackdawlatch.standins import budgets, fleet_state, oracle, testbed
from jackdawlatch.store import keyvalue

PERIOD_S = 0.5
WATCH_TIMEOUT_S = 1.0
FLEET_PREFIX = 'fleet/'


class Observer:
    """Follows the status of every daemon and the stored documents."""

    def __init__(self, bed: testbed.Testbed) -> None:
        self.violations: list[oracle.Violation] = []
        self._bed = bed
        self._versions_by_process: dict[tuple[str, float], int] = {}
        self._stored_version = 0
        self._budget_checker = budgets.BudgetChecker()

    async def run(self) -> None:
        """Follow both until cancelled."""
        await asyncio.gather(self._follow_daemons(), self._follow_store())

    async def _follow_daemons(self) -> None:
        while True:
            statuses = await asyncio.gather(
                *(
                    self._bed.driver.status(one)
                    for one in self._bed.daemon_names
                )
            )
            for status in filter(None, statuses):
                self._check_status(status)
            await asyncio.sleep(PERIOD_S)

    def _check_status(self, status: daemon.Status) -> None:
        peer = status.peer
        process = (peer.id, peer.started_s)
        version = status.configuration_version
        if version < self._versions_by_process.get(process, 0):
            self._add_violation(
                'configuration version decreased', peer.id, f'to {version}'
            )
        self._versions_by_process[process] = version
        if status.invariant_violations:
            count = status.invariant_violations
            self._add_violation('invariant violated', peer.id, f'{count} times')

    async def _follow_store(self) -> None:
        revision = 0
        while True:
            seen = await self._bed.store.watch(
                FLEET_PREFIX, revision, WATCH_TIMEOUT_S
            )
            if isinstance(seen, result.Failure):
                await asyncio.sleep(PERIOD_S)
                continue
            changes = seen.unwrap()
            revision = changes.revision
            for entry in changes.entries:
                self._process_entry(entry)

    def _process_entry(self, entry: keyvalue.Entry) -> None:
        if entry.key == keys.CONFIG:
            stored = records.decode(entry.value, presets.Configuration)
            self._budget_checker.add_configuration(stored)
            self._check_stored_version(stored.version)
        elif entry.key == fleet_state.MEMBERSHIP_KEY:
            written = records.decode(entry.value, hosts.Membership)
            self.violations.extend(self._budget_checker.check(written))

    def _check_stored_version(self, version: int) -> None:
        if version < self._stored_version:
            self._add_violation(
                'stored configuration version decreased', str(version)
            )
        self._stored_version = version

    def _add_violation(self, rule: str, subject: str, detail: str = '') -> None:
        violation = oracle.Violation(rule, subject, detail)
        if violation not in self.violations:
            self.violations.append(violation)
