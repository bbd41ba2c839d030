"""Which processes are alive, from the store and from the peers themselves."""

import random

from jackdawlatch.model import clocks, records

PEERS_PREFIX = 'fleet/peers/'
# A peer that was heard of this recently is alive, registered or not.  Word of
# a peer passes through several others, so this spans several gossip rounds.
HEARD_S: float = 12
SUSPECT_S: float = 2
# A peer whose registration lapsed in an outage has this long to register.
GRACE_S: float = 8


class Peer(records.Record, frozen=True, kw_only=True):
    """One process; ``started_s`` tells two lives of the same id apart."""

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
    """Word of a peer, ``age_s`` seconds old."""

    peer: Peer
    age_s: float = 0


class Roster:
    """The live processes, this one included."""

    def __init__(self, own: Peer, clock: clocks.Clock) -> None:
        self.own = own
        self._clock = clock
        self._registered_by_key: dict[str, Peer] = {}
        self._heard_by_key: dict[str, Peer] = {}
        self._heard_s_by_key: dict[str, float] = {}
        self._gone_started_s_by_key: dict[str, float] = {}
        self._suspect_until_s_by_key: dict[str, float] = {}

    def by_role(self, role: str) -> tuple[Peer, ...]:
        """Return the live processes of a role, ordered by id."""
        now_s = self._clock.monotonic_s()
        found = self._live(now_s)
        return tuple(
            peer
            for key, peer in sorted(found.items())
            if peer.role == role
            and self._suspect_until_s_by_key.get(key, 0) <= now_s
        )

    def everyone(self) -> tuple[Peer, ...]:
        """Return every live process, suspects included, ordered by key."""
        found = self._live(self._clock.monotonic_s())
        return tuple(peer for _, peer in sorted(found.items()))

    def register(self, peer: Peer) -> None:
        """Take note that the store has a registration."""
        self._registered_by_key[peer.key] = peer
        self._heard_by_key.pop(peer.key, None)
        self._gone_started_s_by_key.pop(peer.key, None)
        self._suspect_until_s_by_key.pop(peer.key, None)

    def unregister(self, key: str) -> None:
        """Take note that a registration is gone.

        Word of that life of the process still goes round for a while, and
        must not bring it back; another life registers anew.
        """
        gone = self._registered_by_key.pop(key, None)
        if gone:
            self._gone_started_s_by_key[key] = gone.started_s
        self._heard_by_key.pop(key, None)

    def reset(self, peers_by_key: dict[str, Peer]) -> None:
        """Replace all registrations after the store was away.

        Registrations may have lapsed in the outage, so that a peer which is
        missing is believed alive for as long as it takes to register again.
        """
        lapsed = self._registered_by_key.keys() - peers_by_key.keys()
        heard_s = self._clock.monotonic_s() - HEARD_S + GRACE_S
        for key in lapsed:
            self._heard_by_key[key] = self._registered_by_key[key]
            self._heard_s_by_key[key] = heard_s
        self._registered_by_key = dict(peers_by_key)

    def hear(self, heard: Heard) -> None:
        """Take note of word of a peer, unless there is fresher word."""
        key = heard.peer.key
        if self._gone_started_s_by_key.get(key, -1) >= heard.peer.started_s:
            return
        heard_s = self._clock.monotonic_s() - heard.age_s
        if heard_s > self._heard_s_by_key.get(key, 0):
            self._heard_by_key[key] = heard.peer
            self._heard_s_by_key[key] = heard_s

    def suspect(self, peer: Peer) -> None:
        """Leave a peer out for a moment, since it can't be reached."""
        until_s = self._clock.monotonic_s() + SUSPECT_S
        self._suspect_until_s_by_key[peer.key] = until_s

    def sample_heard(self, rng: random.Random, limit: int) -> tuple[Heard, ...]:
        """Return word of some peers, to be passed on."""
        now_s = self._clock.monotonic_s()
        known = [
            Heard(peer=peer, age_s=now_s - self._heard_s_by_key[key])
            for key, peer in sorted(self._heard_by_key.items())
            if now_s - self._heard_s_by_key[key] < HEARD_S
        ]
        return tuple(rng.sample(known, min(limit, len(known))))

    def _live(self, now_s: float) -> dict[str, Peer]:
        heard = {
            key: peer
            for key, peer in self._heard_by_key.items()
            if now_s - self._heard_s_by_key[key] < HEARD_S
        }
        own = {self.own.key: self.own}
        return {**heard, **self._registered_by_key, **own}
