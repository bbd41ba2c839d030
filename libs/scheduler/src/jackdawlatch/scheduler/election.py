"""Leader election by a leased key in the store."""

import asyncio
import dataclasses
import random

from absl import logging
from returns import result

from jackdawlatch.jobs import stored
from jackdawlatch.model import clocks, records
from jackdawlatch.scheduler import persistence
from jackdawlatch.store import keyvalue, transactions

TTL_S = 2.0
RENEWALS_PER_TTL = 4
# Requests that are in flight when the lease ends need a margin.
TRUSTED_FRACTION = 0.85
JITTER_S = 0.05
# A weaker host lets the stronger ones compete first.  Longer than an answer of a
# store that is fifty times slower than usual, and shorter than the lease.
MAX_CANDIDACY_DELAY_S = 0.5
# A host that is about to stop lets all others compete first.
RELUCTANCE_S = 1.0
# Peak use of a leader with about two hundred workers.
LEADER_CORES = 1.0
LEADER_LINK_MBPS = 100.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A competing process; ``clock`` has to count time spent suspended.

    ``candidacy_delay_s`` is how long it waits after it has seen a vacancy.
    """

    name: str
    store: transactions.TransactionalStore
    clock: clocks.Clock
    candidacy_delay_s: float = 0


def candidacy_delay_s(cores: float, link_mbps: float) -> float:
    """Return how long a host with these resources waits before it competes."""
    strength = min(1, cores / LEADER_CORES, link_mbps / LEADER_LINK_MBPS)
    return MAX_CANDIDACY_DELAY_S * (1 - strength)


class Election:
    """The candidacy of one process, and its term while it leads."""

    def __init__(self, candidate: Candidate) -> None:
        self._vacancy = asyncio.Event()
        self.term: persistence.Term | None = None
        self._candidate = candidate
        self._lease = ''
        self._withdrawn = False
        self._reluctance_s: float = 0
        self._renewed_s: float = 0

    @property
    def leading(self) -> bool:
        """Whether this process may act as the leader now."""
        age_s = self._candidate.clock.monotonic_s() - self._renewed_s
        return self.term is not None and age_s < TTL_S * TRUSTED_FRACTION

    async def win(self) -> persistence.Term:
        """Compete until this process leads; return its term."""
        while True:
            await self._vacancy.wait()
            jitter_s = random.uniform(0, JITTER_S)  # noqa: S311
            delay_s = self._candidate.candidacy_delay_s + self._reluctance_s
            await asyncio.sleep(delay_s + jitter_s)
            if self._vacancy.is_set() and not self._withdrawn:
                term = await self._compete()
                if self._withdrawn:
                    await self.resign()
                elif term is not None:
                    self._vacancy.clear()
                    return term

    async def keep_renewing(self) -> None:
        """Renew the lease until it is lost.

        Renewals overlap: an answer that is lost must not delay the next one.
        """
        async with asyncio.TaskGroup() as renewals:
            while self.term is not None:
                await asyncio.sleep(TTL_S / RENEWALS_PER_TTL)
                renewals.create_task(self._renew(self._lease))

    async def step_aside(self) -> None:
        """Give up the leadership, and compete only if no other host leads."""
        self._reluctance_s = RELUCTANCE_S
        await self.resign()

    async def withdraw(self) -> None:
        """Give up the leadership and never compete again."""
        self._withdrawn = True
        await self.resign()

    async def resign(self) -> None:
        """Give up the leadership, if this process has it."""
        if self.term is not None:
            self.term = None
            await self._candidate.store.revoke(self._lease)

    def observe(self, entry: keyvalue.Entry) -> None:
        """Apply a change of the leadership key."""
        self.record_vacancy(entry.deleted)
        if entry.deleted and self.term is not None:
            if entry.revision > self.term.token:
                logging.info('leadership lost: the leadership key was deleted')
                self.term = None

    def record_vacancy(self, vacant: bool) -> None:
        """Record whether the leadership key is absent."""
        if vacant:
            self._vacancy.set()
        else:
            self._vacancy.clear()

    async def _renew(self, lease: str) -> None:
        requested_s = self._candidate.clock.monotonic_s()
        renewed = await self._candidate.store.renew(lease)
        if lease != self._lease:
            return
        if isinstance(renewed, result.Success):
            self._renewed_s = max(self._renewed_s, requested_s)
        elif isinstance(renewed.failure(), keyvalue.LeaseLost):
            logging.info('leadership lost: the lease has expired')
            self.term = None

    async def _compete(self) -> persistence.Term | None:
        requested_s = self._candidate.clock.monotonic_s()
        granted = await self._candidate.store.grant(TTL_S)
        if isinstance(granted, result.Failure):
            return None
        self._lease = granted.unwrap().id
        name = self._candidate.name
        written = await self._candidate.store.commit(
            transactions.Transaction(
                conditions=(
                    transactions.Condition(
                        key=stored.LEADER_KEY, revision=keyvalue.ABSENT
                    ),
                ),
                puts=(
                    transactions.Put(
                        key=stored.LEADER_KEY,
                        content=records.encode(
                            stored.Leader(name=name, records_leases=True)
                        ),
                        lease=self._lease,
                    ),
                ),
            )
        )
        if isinstance(written, result.Failure):
            # An unanswered write may have stored the key all the same: revoking
            # the lease deletes it.
            await self._candidate.store.revoke(self._lease)
            return None
        self._renewed_s = requested_s
        self.term = persistence.Term(name, written.unwrap())
        return self.term
