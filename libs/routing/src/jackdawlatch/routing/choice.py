"""Balancing policies: the choice of a runner for a request."""

import abc
import dataclasses
import random
import types
from collections.abc import Mapping, Sequence

from jackdawlatch.routing import rendezvous

# The least rate that a load is divided by: keeps the load of a runner that
# fails all requests finite, so that it can be compared.
MIN_SUCCESS_RATE = 0.05


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A runner with a free slot.

    ``in_use`` of its ``slots`` are taken; ``success`` is its recent success
    rate, from 0 to 1.
    """

    host: str
    in_use: int
    slots: int
    success: float = 1

    @property
    def load(self) -> float:
        """Return the used fraction of its slots, over its success rate.

        The request to be sent counts as a used slot.
        """
        return (
            (self.in_use + 1) / self.slots / max(MIN_SUCCESS_RATE, self.success)
        )


class Balancer(abc.ABC):
    """Picks one of the candidates for a request."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    @abc.abstractmethod
    def choose(self, candidates: Sequence[Candidate], key: str) -> Candidate:
        """Return one of the candidates, which must not be empty.

        Policies with affinity prefer the same hosts for requests with the
        same ``key``.
        """


class LeastLoaded(Balancer):
    """Picks the least loaded candidate, breaking ties at random."""

    def choose(self, candidates: Sequence[Candidate], key: str) -> Candidate:
        """Return the least loaded candidate."""
        least = min(candidate.load for candidate in candidates)
        return self._random.choice(
            [each for each in candidates if each.load <= least]
        )


class PowerOfTwo(Balancer):
    """Picks the less loaded of two candidates drawn at random."""

    def choose(self, candidates: Sequence[Candidate], key: str) -> Candidate:
        """Return the less loaded of two random candidates."""
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=lambda candidate: candidate.load)


class Rendezvous(Balancer):
    """Picks the less loaded of the two candidates ranked first for a key."""

    def choose(self, candidates: Sequence[Candidate], key: str) -> Candidate:
        """Return the less loaded of the two candidates ranked first."""
        top_hosts = rendezvous.ranked(
            key, [each.host for each in candidates], 2
        )
        return min(
            (each for each in candidates if each.host in top_hosts),
            key=lambda candidate: candidate.load,
        )


BALANCERS_BY_NAME: Mapping[str, type[Balancer]] = types.MappingProxyType(
    {
        'broker': LeastLoaded,
        'least-loaded': LeastLoaded,
        'power-of-two': PowerOfTwo,
        'rendezvous': Rendezvous,
    },
)


def create(name: str, rng: random.Random) -> Balancer:
    """Return a new balancer; raise ``KeyError`` if the name is unknown."""
    return BALANCERS_BY_NAME[name](rng)
