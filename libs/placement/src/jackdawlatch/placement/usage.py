"""What tasks really use, learned from readings that lag.

Declared sizes are off by up to ten times either way.  What a task is counted
for is what it was seen to use; until it has been seen, what it declared
times the ratio learned from earlier jobs of its service and team, and a
margin that grows with how far those were apart.  So a host's own starts count from the moment they are decided.
"""

import dataclasses
import math

from jackdawlatch.model import hosts, records, work
from jackdawlatch.placement import sizes

MIN_RATIO = 0.1
MAX_RATIO = 10.0
LEARNING_RATE = 0.1
# A peak that was not seen again loses this part of itself each reading.
PEAK_DECAY = 0.05
# So many standard deviations are added until a task has been seen.
SPREADS = 0.5
# Running out of memory is final for a job that is not idempotent.
MEMORY_SPREADS_ONCE = 2.0


@dataclasses.dataclass(frozen=True)
class Ratio:
    """Observed over declared, with its variance, both moving averages."""

    mean: float = 1
    variance: float = 0
    log_mean: float = 0
    samples: int = 0

    def after(self, observed: float, declared: float) -> 'Ratio':
        """Return the ratio after another job was seen."""
        if declared <= 0:
            return self
        sample = min(MAX_RATIO, max(MIN_RATIO, observed / declared))
        # The first readings count most, so that a start from nothing adapts.
        rate = max(LEARNING_RATE, 1 / (self.samples + 1))
        gap = sample - self.mean
        return Ratio(
            mean=_nearer(self.mean, sample, rate),
            variance=(1 - rate) * (self.variance + rate * gap * gap),
            log_mean=_nearer(self.log_mean, math.log(sample), rate),
            samples=self.samples + 1,
        )

    def middle(self) -> float:
        """Return the mean of the logarithms, as a ratio."""
        return math.exp(self.log_mean)

    def high(self, spreads: float) -> float:
        """Return the mean and so many standard deviations."""
        return self.mean + spreads * math.sqrt(self.variance)


@dataclasses.dataclass(frozen=True)
class Ratios:
    """The ratios of one service and team."""

    processors: Ratio = Ratio()
    memory: Ratio = Ratio()


class Estimator:
    """Estimates the sizes of jobs; its memory may be lost at any time.

    Too many processors asked for slow all tasks of a host down and are seen
    soon, so the middle will do; too much memory ends a task, so a margin is
    added.
    """

    def __init__(self) -> None:
        self._ratios_by_group: dict[tuple[str, str], Ratios] = {}

    def learn(self, job: work.Job, observed: hosts.Capacity) -> None:
        """Take note of what a job was seen to use."""
        known = self._ratios(job)
        declared = job.declared
        self._ratios_by_group[_group(job)] = Ratios(
            known.processors.after(observed.processors, declared.processors),
            known.memory.after(observed.memory_mb, declared.memory_mb),
        )

    def expected(self, job: work.Job) -> hosts.Capacity:
        """Return what a job that was not seen yet is counted for."""
        spreads = SPREADS if job.idempotent else MEMORY_SPREADS_ONCE
        ratios = self._ratios(job)
        return _times(
            job.declared,
            ratios.processors.middle(),
            ratios.memory.high(spreads),
        )

    def likely(self, job: work.Job) -> hosts.Capacity:
        """Return what a worker is asked to hold for a job.

        That is never more than declared, so that tasks which turn out small
        leave their room to others.
        """
        ratios = self._ratios(job)
        likely = _times(
            job.declared, ratios.processors.middle(), ratios.memory.mean
        )
        return sizes.least(likely, job.declared)

    def _ratios(self, job: work.Job) -> Ratios:
        return self._ratios_by_group.get(_group(job), Ratios())


def counted(job: work.Job, peak: hosts.Capacity) -> hosts.Capacity:
    """Return what a task that was seen is counted for.

    Accelerators are held whole, as declared.
    """
    return records.replace(peak, accelerators=job.declared.accelerators)


def peak_of(
    peak: hosts.Capacity | None, reading: hosts.Capacity
) -> hosts.Capacity:
    """Return the slowly forgotten peak after another reading."""
    if peak is None:
        return reading
    kept = 1 - PEAK_DECAY
    return hosts.Capacity(
        processors=max(reading.processors, peak.processors * kept),
        memory_mb=max(reading.memory_mb, peak.memory_mb * kept),
        accelerators=reading.accelerators,
    )


def _group(job: work.Job) -> tuple[str, str]:
    return (job.kind.service, job.kind.team)


def _nearer(known: float, sample: float, rate: float) -> float:
    return known + (sample - known) * rate


def _times(
    declared: hosts.Capacity, processors: float, memory: float
) -> hosts.Capacity:
    return hosts.Capacity(
        processors=declared.processors * processors,
        memory_mb=declared.memory_mb * memory,
        accelerators=declared.accelerators,
    )
