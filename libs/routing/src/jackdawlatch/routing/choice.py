"""Choice of a runner among those that can take a request."""

import abc
import dataclasses
import random
import types
from collections.abc import Mapping, Sequence

from jackdawlatch.routing import rendezvous

# A runner that fails everything still has a load, so that it can be last.
MIN_SUCCESS = 0.05


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A runner with a free slot; ``success`` is its recent success rate."""

    host: str
    in_use: int
    slots: int
    success: float = 1

    @property
    def load(self) -> float:
        """Return the use of its slots, higher the less it succeeds."""
        return (self.in_use + 1) / self.slots / max(MIN_SUCCESS, self.success)


class Balancer(abc.ABC):
    """Picks one of the candidates for a request."""

    def __init__(self, random_numbers: random.Random) -> None:
        self._random = random_numbers

    @abc.abstractmethod
    def choose(self, candidates: Sequence[Candidate], key: str) -> Candidate:
        """Return one of the candidates, of which there is at least one.

        ``key`` is what the request is kept together by, for policies that
        send like requests to like hosts.
        """


class LeastLoaded(Balancer):
    """Picks the candidate with the least load, ties at random."""

    def choose(self, candidates: Sequence[Candidate], key: str) -> Candidate:
        """Return the candidate with the least load."""
        least = min(candidate.load for candidate in candidates)
        return self._random.choice(
            [each for each in candidates if each.load <= least]
        )


class PowerOfTwo(Balancer):
    """Picks the less loaded of two candidates drawn at random."""

    def choose(self, candidates: Sequence[Candidate], key: str) -> Candidate:
        """Return the less loaded of two random candidates."""
        drawn = self._random.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda candidate: candidate.load)


class Rendezvous(Balancer):
    """Picks the less loaded of the two candidates that rank first."""

    def choose(self, candidates: Sequence[Candidate], key: str) -> Candidate:
        """Return the less loaded of the two first candidates for a key."""
        first = rendezvous.ranked(key, [each.host for each in candidates], 2)
        return min(
            (each for each in candidates if each.host in first),
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


def create(name: str, random_numbers: random.Random) -> Balancer:
    """Return the balancer of a name; ``KeyError`` if unknown."""
    return BALANCERS_BY_NAME[name](random_numbers)
