"""Moves machines between services, and knows which are on their way."""

import dataclasses
from collections.abc import Callable

from absl import logging
from returns import result

from jackdawlatch.scheduler import book, clients, ledger, workers

# How long the list of machines that are switched off is believed.
LIST_AGE_S = 1.5
REFUSED_PENALTY_S = 3.0
# A worker needs about a heartbeat to be listed after a move.
ARRIVAL_SLACK_S = 2.0
# A move that was answered late ends a little after its documented time.
RETURN_SLACK_S = 0.1


@dataclasses.dataclass(frozen=True)
class Parts:
    """What machines are moved with."""

    book: book.Book
    client: clients.MachineClient
    term: ledger.Term
    leading: Callable[[], bool]
    migration_s: float


@dataclasses.dataclass(frozen=True)
class _Arrival:
    """A machine that is on its way to a service."""

    service: str
    due_s: float


class Mover:
    """Orders about single machines."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._arrivals_by_machine: dict[str, _Arrival] = {}
        self._barred_s_by_machine: dict[str, float] = {}
        self._standby: list[str] = []
        self._returned_s_by_machine: dict[str, float] = {}
        self._listed_s: float = 0

    def expected(self) -> list[tuple[str, str]]:
        """Return the machines on their way, each with its service."""
        now_s = self._parts.book.now_s
        return [
            (machine, arrival.service)
            for machine, arrival in self._arrivals_by_machine.items()
            if arrival.due_s > now_s
        ]

    async def move_worker(self, worker: workers.Worker, service: str) -> bool:
        """Move the machine of a worker that runs nothing."""
        if worker.runs_by_task:
            return False
        worker.cordoned = True
        moved = await self.move(worker.entry.machine, service)
        worker.cordoned = False
        if moved:
            worker.listed = False
            worker.reachable = False
        return moved

    async def refresh_standby(self) -> None:
        """Learn which machines are switched off, unless some are known."""
        self._take_returned()
        if not self._standby:
            await self._list_standby()

    def available(self) -> int:
        """Return how many machines are known to be off or on their way."""
        return len(self._standby) + len(self.expected())

    def take_standby(self) -> str:
        """Return a machine that is switched off, empty if none is known."""
        return self._standby.pop() if self._standby else ''

    async def move(self, machine: str, service: str) -> bool:
        """Move a machine on which nothing runs."""
        now_s = self._parts.book.now_s
        if self._barred_s_by_machine.get(machine, 0) > now_s:
            return False
        if not self._parts.leading():
            return False
        moved = await self._parts.client.move(
            machine, service, self._parts.term.token
        )
        outcome = 'moved'
        if isinstance(moved, result.Failure):
            outcome = moved.failure().line()
            self._barred_s_by_machine[machine] = now_s + REFUSED_PENALTY_S
        else:
            self._note_moved(machine, service, now_s)
        log = self._parts.book.parts.log
        log.note('move', machine=machine, service=service, outcome=outcome)
        return not isinstance(moved, result.Failure)

    def _note_moved(self, machine: str, service: str, now_s: float) -> None:
        due_s = now_s + self._parts.migration_s
        if service in self._parts.book.catalog.standby_services():
            self._returned_s_by_machine[machine] = due_s + RETURN_SLACK_S
        else:
            self._arrivals_by_machine[machine] = _Arrival(
                service, due_s + ARRIVAL_SLACK_S
            )

    def _take_returned(self) -> None:
        """Count machines that were switched off as standby again."""
        now_s = self._parts.book.now_s
        for machine, due_s in tuple(self._returned_s_by_machine.items()):
            if due_s <= now_s:
                self._returned_s_by_machine.pop(machine)
                self._standby.append(machine)

    async def _list_standby(self) -> None:
        now_s = self._parts.book.now_s
        if now_s - self._listed_s < LIST_AGE_S:
            return
        listed = await self._parts.client.list_all()
        if isinstance(listed, result.Failure):
            logging.info('machines not listed: %s', listed.failure().line())
            return
        self._listed_s = now_s
        expected = dict(self.expected())
        standby = self._parts.book.catalog.standby_services()
        self._standby = [
            machine.id
            for machine in listed.unwrap()
            if machine.available
            and machine.service in standby
            and machine.id not in expected
            and machine.id not in self._returned_s_by_machine
        ]
