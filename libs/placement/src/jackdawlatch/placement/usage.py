"""What tasks really use, learned from readings that lag.

Declared sizes are off by up to ten times either way.  What a task is counted
for is what it was seen to use, plus a margin; until it has been seen, what
it declared times the ratio learned from earlier jobs of its service and
team.  So a host's own starts count from the moment they are decided.
"""

import dataclasses

from jackdawlatch.model import hosts, work

MARGIN = 1.1
MIN_RATIO = 0.1
MAX_RATIO = 10.0
LEARNING_RATE = 0.1
# A peak that was not seen again loses this part of itself each reading.
PEAK_DECAY = 0.05


@dataclasses.dataclass(frozen=True)
class Ratio:
    """Observed over declared size, averaged over earlier jobs."""

    processors: float = 1
    memory: float = 1
    samples: int = 0


class Estimator:
    """Estimates the sizes of jobs; its memory may be lost at any time."""

    def __init__(self) -> None:
        self._ratios_by_group: dict[tuple[str, str], Ratio] = {}

    def learn(self, job: work.Job, observed: hosts.Capacity) -> None:
        """Take note of what a job was seen to use."""
        group = _group(job)
        known = self._ratios_by_group.get(group, Ratio())
        # The first readings count most, so that a start from nothing adapts.
        rate = max(LEARNING_RATE, 1 / (known.samples + 1))
        self._ratios_by_group[group] = Ratio(
            processors=_nearer(
                known.processors,
                _ratio(observed.processors, job.declared.processors),
                rate,
            ),
            memory=_nearer(
                known.memory,
                _ratio(observed.memory_mb, job.declared.memory_mb),
                rate,
            ),
            samples=known.samples + 1,
        )

    def expected(self, job: work.Job) -> hosts.Capacity:
        """Return what a job that was not seen yet is counted for."""
        ratio = self._ratios_by_group.get(_group(job), Ratio())
        margin = MARGIN if ratio.samples else 1
        return hosts.Capacity(
            processors=job.declared.processors * ratio.processors * margin,
            memory_mb=job.declared.memory_mb * ratio.memory * margin,
            accelerators=job.declared.accelerators,
        )


def counted(job: work.Job, peak: hosts.Capacity) -> hosts.Capacity:
    """Return what a task that was seen is counted for.

    Accelerators are held whole, as declared.
    """
    return hosts.Capacity(
        processors=peak.processors * MARGIN,
        memory_mb=peak.memory_mb * MARGIN,
        accelerators=job.declared.accelerators,
    )


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


def _ratio(observed: float, declared: float) -> float:
    if declared <= 0:
        return 1
    return min(MAX_RATIO, max(MIN_RATIO, observed / declared))


def _nearer(known: float, sample: float, rate: float) -> float:
    return known + (sample - known) * rate
