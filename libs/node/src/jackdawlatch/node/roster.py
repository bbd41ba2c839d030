"""Tracks live processes by store registrations and by gossip."""

import random

from jackdawlatch.model import clocks, records

PEERS_PREFIX = 'fleet/peers/'
# A peer reported within this time counts as live, registered or not.
# A report passes through several peers, so this covers several gossip rounds.
HEARD_TTL_S: float = 12
SUSPECT_TIMEOUT_S: float = 2
# How long a peer whose registration expired in an outage has to register.
REGISTRATION_GRACE_S: float = 8


class Peer(records.Record, frozen=True, kw_only=True):
    """One process; ``started_s`` distinguishes restarts under the same id."""

    id: str
    role: str
    zone: str
    shard: str
    peer_address: str
    operations_address: str
    started_s: float = 0

    @property
    def key(self) -> str:
        """Return the key under which the process registers."""
        return f'{PEERS_PREFIX}{self.role}/{self.id}'


class Heard(records.Record, frozen=True, kw_only=True):
    """A report that a peer was alive ``age_s`` seconds ago."""

    peer: Peer
    age_s: float = 0


class Roster:
    """The live processes, including this one."""

    def __init__(self, local_peer: Peer, clock: clocks.Clock) -> None:
        self.local_peer = local_peer
        self._clock = clock
        self._registered_by_key: dict[str, Peer] = {}
        self._heard_by_key: dict[str, Peer] = {}
        self._heard_s_by_key: dict[str, float] = {}
        self._gone_started_s_by_key: dict[str, float] = {}
        self._suspect_until_s_by_key: dict[str, float] = {}

    def by_role(self, role: str) -> tuple[Peer, ...]:
        """Return the live processes of a role except suspects, by id."""
        now_s = self._clock.monotonic_s()
        found = self._live(now_s)
        return tuple(
            peer
            for key, peer in sorted(found.items())
            if peer.role == role
            and self._suspect_until_s_by_key.get(key, 0) <= now_s
        )

    def all_peers(self) -> tuple[Peer, ...]:
        """Return all live processes, including suspects, by key."""
        found = self._live(self._clock.monotonic_s())
        return tuple(peer for _, peer in sorted(found.items()))

    def register(self, peer: Peer) -> None:
        """Record a registration that the store has."""
        self._registered_by_key[peer.key] = peer
        self._heard_by_key.pop(peer.key, None)
        self._gone_started_s_by_key.pop(peer.key, None)
        self._suspect_until_s_by_key.pop(peer.key, None)

    def unregister(self, key: str) -> None:
        """Remove a registration that the store no longer has.

        Peers still gossip about the stopped process for a while.  Those
        reports are ignored; a restarted process has a later ``started_s``.
        """
        gone = self._registered_by_key.pop(key, None)
        if gone:
            self._gone_started_s_by_key[key] = gone.started_s
        self._heard_by_key.pop(key, None)

    def reset(self, peers_by_key: dict[str, Peer]) -> None:
        """Replace all registrations, for instance after a store outage.

        A registration may have expired in the outage, so a peer that is now
        missing counts as live for ``REGISTRATION_GRACE_S``.
        """
        expired = self._registered_by_key.keys() - peers_by_key.keys()
        heard_s = self._clock.monotonic_s() - HEARD_TTL_S + REGISTRATION_GRACE_S
        for key in expired:
            self._heard_by_key[key] = self._registered_by_key[key]
            self._heard_s_by_key[key] = heard_s
        self._registered_by_key = dict(peers_by_key)

    def record_heard(self, heard: Heard) -> None:
        """Record a report of a peer unless a fresher one is known."""
        key = heard.peer.key
        if self._gone_started_s_by_key.get(key, -1) >= heard.peer.started_s:
            return
        heard_s = self._clock.monotonic_s() - heard.age_s
        if heard_s > self._heard_s_by_key.get(key, 0):
            self._heard_by_key[key] = heard.peer
            self._heard_s_by_key[key] = heard_s

    def suspect(self, peer: Peer) -> None:
        """Exclude an unreachable peer for ``SUSPECT_TIMEOUT_S``."""
        until_s = self._clock.monotonic_s() + SUSPECT_TIMEOUT_S
        self._suspect_until_s_by_key[peer.key] = until_s

    def sample_heard(self, rng: random.Random, limit: int) -> tuple[Heard, ...]:
        """Return up to ``limit`` recent reports, chosen at random."""
        now_s = self._clock.monotonic_s()
        recent = [
            Heard(peer=peer, age_s=now_s - self._heard_s_by_key[key])
            for key, peer in sorted(self._heard_by_key.items())
            if now_s - self._heard_s_by_key[key] < HEARD_TTL_S
        ]
        return tuple(rng.sample(recent, min(limit, len(recent))))

    def _live(self, now_s: float) -> dict[str, Peer]:
        heard = {
            key: peer
            for key, peer in self._heard_by_key.items()
            if now_s - self._heard_s_by_key[key] < HEARD_TTL_S
        }
        local = {self.local_peer.key: self.local_peer}
        return {**heard, **self._registered_by_key, **local}
