"""Competes for the leadership key, and tells how long it is held."""

import asyncio
import dataclasses
import random

from absl import logging
from returns import result

from jackdawlatch.jobs import stored
from jackdawlatch.model import clocks, records
from jackdawlatch.scheduler import ledger
from jackdawlatch.store import keyvalue, transactions

TTL_S = 2.0
RENEWALS_PER_TTL = 4
# Orders that are on their way when the lease ends need a margin.
TRUSTED_FRACTION = 0.85
JITTER_S = 0.05
# A weaker host lets the stronger ones compete first: longer than an answer of
# the store that takes fifty times as long as usual, shorter than the lease.
MOST_HANDICAP_S = 0.5
# What a leader of some two hundred workers uses at its busiest.
LEADER_CORES = 1.0
LEADER_LINK_MBPS = 100.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """Who competes; ``clock`` has to count time spent suspended.

    ``handicap_s`` is how long it waits after it has seen a vacancy.
    """

    name: str
    store: transactions.TransactionalStore
    clock: clocks.Clock
    handicap_s: float = 0


def handicap_s(cores: float, link_mbps: float) -> float:
    """Return how long a host of this strength waits before it competes."""
    strength = min(1, cores / LEADER_CORES, link_mbps / LEADER_LINK_MBPS)
    return MOST_HANDICAP_S * (1 - strength)


class Election:
    """One process's candidacy."""

    def __init__(self, candidate: Candidate) -> None:
        self._vacancy = asyncio.Event()
        self.term: ledger.Term | None = None
        self._candidate = candidate
        self._lease = ''
        self._withdrawn = False
        self._renewed_s: float = 0

    @property
    def leading(self) -> bool:
        """Whether this process may give orders now."""
        age_s = self._candidate.clock.monotonic_s() - self._renewed_s
        return self.term is not None and age_s < TTL_S * TRUSTED_FRACTION

    async def win(self) -> ledger.Term:
        """Return once this process leads."""
        while True:
            await self._vacancy.wait()
            jitter_s = random.uniform(0, JITTER_S)  # noqa: S311
            await asyncio.sleep(self._candidate.handicap_s + jitter_s)
            if self._vacancy.is_set() and not self._withdrawn:
                term = await self._compete()
                if term is not None:
                    self._vacancy.clear()
                    return term

    async def keep(self) -> None:
        """Renew the lease until it is lost.

        A renewal does not wait for the answer to the one before, which may
        have been lost.
        """
        async with asyncio.TaskGroup() as renewals:
            while self.term is not None:
                await asyncio.sleep(TTL_S / RENEWALS_PER_TTL)
                renewals.create_task(self._renew(self._lease))

    async def withdraw(self) -> None:
        """Give leadership up and compete no more."""
        self._withdrawn = True
        await self.resign()

    async def resign(self) -> None:
        """Give leadership up at once."""
        if self.term is not None:
            self.term = None
            await self._candidate.store.revoke(self._lease)

    def observe(self, entry: keyvalue.Entry) -> None:
        """Take note of a change of the leadership key."""
        self.note_vacancy(entry.deleted)
        if entry.deleted and self.term is not None:
            if entry.revision > self.term.token:
                logging.info('leadership lost: the key was removed')
                self.term = None

    def note_vacancy(self, vacant: bool) -> None:
        """Take note of whether the leadership key is absent."""
        if vacant:
            self._vacancy.set()
        else:
            self._vacancy.clear()

    async def _renew(self, lease: str) -> None:
        asked_s = self._candidate.clock.monotonic_s()
        renewed = await self._candidate.store.renew(lease)
        if lease != self._lease:
            return
        if isinstance(renewed, result.Success):
            self._renewed_s = max(self._renewed_s, asked_s)
        elif isinstance(renewed.failure(), keyvalue.LeaseLost):
            logging.info('leadership lost: the lease has ended')
            self.term = None

    async def _compete(self) -> ledger.Term | None:
        asked_s = self._candidate.clock.monotonic_s()
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
                        content=records.encode(stored.Leader(name=name)),
                        lease=self._lease,
                    ),
                ),
            )
        )
        if isinstance(written, result.Failure):
            # A write without an answer may have made this process leader of
            # nothing: its lease is ended, and the key with it.
            await self._candidate.store.revoke(self._lease)
            return None
        self._renewed_s = asked_s
        self.term = ledger.Term(name, written.unwrap())
        return self.term
