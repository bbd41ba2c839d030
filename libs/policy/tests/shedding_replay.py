"""Drains a queue of jobs at a given rate, by the order in which they go.

A start is delayed only by the jobs ahead, so that the end of each job is what
its caller would have seen; no hosts, moves or failures are simulated.
"""

import dataclasses
from collections.abc import Callable, Iterable

from jackdawlatch.policy import backlog, shedding

TICK_S = 0.1
TICKS_PER_REPORT = 10
LONGEST_S = 120


@dataclasses.dataclass(eq=False)
class Sent:
    """A job that was sent at a time, and what became of it."""

    sent_s: float
    job: shedding.Job
    left_core_s: float = 0
    refusal: shedding.Refusal | None = None
    ended_s: float = LONGEST_S

    @property
    def took_s(self) -> float:
        """The time from its first send until it was done."""
        return self.ended_s - self.sent_s

    @property
    def of_use(self) -> bool:
        """Whether it was done before its caller had no use for it."""
        limit_s = shedding.USEFUL_OBJECTIVES * self.job.objective_s
        return self.took_s <= limit_s

    def rank(self, now_s: float) -> tuple[float, ...]:
        """Return its place in the queue; the lowest goes first."""
        age_s = now_s - self.sent_s
        return (
            age_s > self.job.useful_s,
            age_s > self.job.in_time_s,
            self.job.priority,
            self.left_core_s,
        )


def burst(
    start_s: float, duration_s: float, cores: float, job: shedding.Job
) -> list[Sent]:
    """Return jobs that would keep ``cores`` busy, sent evenly."""
    count = round(cores * duration_s / job.core_s)
    step_s = duration_s / max(1, count)
    return [Sent(start_s + number * step_s, job) for number in range(count)]


def job(priority: int, chain_s: float, width: float = 2) -> shedding.Job:
    """Return a job with the usual objective."""
    return shedding.Job(priority, chain_s, chain_s * width, 1.6 * chain_s + 0.6)


def replay(
    sent: Iterable[Sent],
    cores: Callable[[float], float],
    forecast: Callable[[float], backlog.Capacity],
    refuse: bool,
) -> list[Sent]:
    """Replay a load; jobs to refuse are marked, and left out if ``refuse``.

    Each second a forecast by ``forecast`` is made, which is 0 to 1 s old when
    it is used.
    """
    coming = sorted(
        (dataclasses.replace(one, left_core_s=one.job.core_s) for one in sent),
        key=lambda one: one.sent_s,
    )
    everything = tuple(coming)
    waiting: list[Sent] = []
    levels: tuple[backlog.Level, ...] = ()
    for tick in range(round(LONGEST_S / TICK_S)):
        now_s = tick * TICK_S
        if not tick % TICKS_PER_REPORT:
            levels = _levels(waiting, now_s, forecast(now_s))
        load = shedding.Load(levels, tick % TICKS_PER_REPORT * TICK_S)
        while coming and coming[0].sent_s <= now_s:
            arrived = coming.pop(0)
            arrived.refusal = shedding.decide(True, arrived.job, load)
            waiting.append(arrived)
        if refuse:
            waiting = [one for one in waiting if not one.refusal]
        _drain(waiting, now_s, cores(now_s) * TICK_S)
        waiting = [one for one in waiting if one.left_core_s > 0]
    return list(everything)


def _drain(waiting: list[Sent], now_s: float, core_s: float) -> None:
    for one in _ordered(waiting, now_s):
        most = one.job.core_s / one.job.chain_s * TICK_S
        given = min(one.left_core_s, most, core_s)
        one.left_core_s -= given
        core_s -= given
        if one.left_core_s <= 0:
            one.ended_s = now_s + TICK_S


def _ordered(waiting: Iterable[Sent], now_s: float) -> list[Sent]:
    return sorted(waiting, key=lambda sent: sent.rank(now_s))


def _levels(
    waiting: Iterable[Sent], now_s: float, expected: backlog.Capacity
) -> tuple[backlog.Level, ...]:
    known = backlog.Backlog()
    for one in waiting:
        age_s = now_s - one.sent_s
        known.add(
            backlog.OpenJob(
                one.job.priority,
                one.left_core_s,
                one.job.core_s / one.job.chain_s,
                0,
                0,
                one.job.in_time_s - age_s,
                one.job.useful_s - age_s,
            )
        )
    return known.levels(expected)
