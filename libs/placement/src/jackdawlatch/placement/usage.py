"""Estimates of what tasks use, from delayed usage readings.

Declared sizes are wrong by up to ten times either way, so the size assumed for
a task is its observed usage.  Before the first reading it is the declared size,
scaled by the ratio of observed to declared usage of earlier jobs of its service
and team, plus a margin that grows with the variance of that ratio.  So starts
take up capacity of their host from the moment they are decided.
"""

import dataclasses
import math

from jackdawlatch.model import hosts, records, work
from jackdawlatch.placement import sizes

MIN_RATIO = 0.1
MAX_RATIO = 10.0
LEARNING_RATE = 0.1
# A peak decays by this fraction with each reading below it.
PEAK_DECAY = 0.05
# Standard deviations added to the memory estimate before the first reading.
MEMORY_DEVIATIONS = 0.5
# Running out of memory is final for a job that is not idempotent.
MEMORY_DEVIATIONS_NOT_IDEMPOTENT = 2.0


@dataclasses.dataclass(frozen=True)
class Ratio:
    """Moving averages of observed over declared usage, with the variance."""

    mean: float = 1
    variance: float = 0
    log_mean: float = 0
    samples: int = 0

    def updated(self, observed: float, declared: float) -> 'Ratio':
        """Return the ratio with one more job taken into account."""
        if declared <= 0:
            return self
        sample = min(MAX_RATIO, max(MIN_RATIO, observed / declared))
        # The first samples weigh most, so that a new estimate adapts fast.
        rate = max(LEARNING_RATE, 1 / (self.samples + 1))
        deviation = sample - self.mean
        return Ratio(
            mean=_moving_average(self.mean, sample, rate),
            variance=(1 - rate)
            * (self.variance + rate * deviation * deviation),
            log_mean=_moving_average(self.log_mean, math.log(sample), rate),
            samples=self.samples + 1,
        )

    def geometric_mean(self) -> float:
        """Return the geometric mean of the samples."""
        return math.exp(self.log_mean)

    def upper_bound(self, deviations: float) -> float:
        """Return the mean plus a number of standard deviations."""
        return self.mean + deviations * math.sqrt(self.variance)


@dataclasses.dataclass(frozen=True)
class Ratios:
    """The ratios of one service and team."""

    processors: Ratio = Ratio()
    memory: Ratio = Ratio()


class Estimator:
    """Estimates the sizes of jobs; its state may be lost at any time.

    Overcommitted processors slow down all tasks of a host and show up in the
    next readings, so the geometric mean is enough.  Overcommitted memory kills
    a task, so a margin is added.
    """

    def __init__(self) -> None:
        self._ratios_by_group: dict[tuple[str, str], Ratios] = {}

    def learn(self, job: work.Job, observed: hosts.Capacity) -> None:
        """Update the ratios with the observed usage of a job."""
        current = self._ratios(job)
        declared = job.declared
        self._ratios_by_group[_group(job)] = Ratios(
            current.processors.updated(
                observed.processors, declared.processors
            ),
            current.memory.updated(observed.memory_mb, declared.memory_mb),
        )

    def expected(self, job: work.Job) -> hosts.Capacity:
        """Return the size assumed for a job before its first reading."""
        deviations = (
            MEMORY_DEVIATIONS
            if job.idempotent
            else MEMORY_DEVIATIONS_NOT_IDEMPOTENT
        )
        ratios = self._ratios(job)
        return _scale(
            job.declared,
            ratios.processors.geometric_mean(),
            ratios.memory.upper_bound(deviations),
        )

    def reservation(self, job: work.Job) -> hosts.Capacity:
        """Return the capacity that a worker is asked to reserve for a job.

        It is at most the declared size, so that tasks which use less leave
        capacity for others.
        """
        ratios = self._ratios(job)
        reservation = _scale(
            job.declared, ratios.processors.geometric_mean(), ratios.memory.mean
        )
        return sizes.minimum(reservation, job.declared)

    def _ratios(self, job: work.Job) -> Ratios:
        return self._ratios_by_group.get(_group(job), Ratios())


def observed_size(job: work.Job, peak: hosts.Capacity) -> hosts.Capacity:
    """Return the size assumed for a task after its first reading.

    Accelerators count as declared.
    """
    return records.replace(peak, accelerators=job.declared.accelerators)


def decayed_peak(
    peak: hosts.Capacity | None, reading: hosts.Capacity
) -> hosts.Capacity:
    """Return the decaying peak updated with a reading."""
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


def _moving_average(current: float, sample: float, rate: float) -> float:
    return current + (sample - current) * rate


def _scale(
    declared: hosts.Capacity, processors: float, memory: float
) -> hosts.Capacity:
    return hosts.Capacity(
        processors=declared.processors * processors,
        memory_mb=declared.memory_mb * memory,
        accelerators=declared.accelerators,
    )
