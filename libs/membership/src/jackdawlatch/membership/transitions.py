"""The only changes of a shard's value; each one checks what it needs.

A transition is made on the present value inside the compare-and-swap, so
one that was planned on a stale view is judged again, or refused.
"""

import abc
import dataclasses
from collections.abc import Iterable

from returns import result

from jackdawlatch.membership import budget, drafts, refusals, shards
from jackdawlatch.model import hosts


class Transition(abc.ABC):
    """One typed change of a shard's value."""

    @abc.abstractmethod
    def make(self, draft: drafts.Draft) -> drafts.Step:
        """Make the change on a draft, or refuse and leave it as it was."""


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The value after some transitions, and those that were refused."""

    value: shards.Shard
    made: tuple[Transition, ...]
    refused: tuple[tuple[Transition, refusals.Refusal], ...]


def make_each(
    value: shards.Shard,
    transitions: Iterable[Transition],
    limits: budget.Limits,
    now_s: float,
) -> Outcome:
    """Make those transitions that the value allows, in order."""
    draft = drafts.Draft(value, limits, now_s)
    made: list[Transition] = []
    refused: list[tuple[Transition, refusals.Refusal]] = []
    for transition in transitions:
        outcome = transition.make(draft)
        if isinstance(outcome, result.Failure):
            refused.append((transition, outcome.failure()))
        else:
            made.append(transition)
    return Outcome(draft.value(), tuple(made), tuple(refused))


def make_all(
    value: shards.Shard,
    transitions: Iterable[Transition],
    limits: budget.Limits,
    now_s: float,
) -> result.Result[shards.Shard, refusals.Refusal]:
    """Make every transition, or none and return the first refusal."""
    draft = drafts.Draft(value, limits, now_s)
    for transition in transitions:
        outcome = transition.make(draft)
        if isinstance(outcome, result.Failure):
            return outcome
    return result.Success(draft.value())


def expect_phase(
    draft: drafts.Draft, host: str, *phases: hosts.Phase
) -> result.Result[hosts.Assignment, refusals.Refusal]:
    """Return where a host is if it is in one of these phases."""
    found = draft.assignment(host)
    if isinstance(found, result.Failure):
        return found
    assignment = found.unwrap()
    if assignment.phase in phases:
        return found
    phase = assignment.phase
    return result.Failure(
        refusals.WrongPhase(
            message=f'host {host} is {phase}',
            hint='wait until its present step ends',
            host=host,
            pool=assignment.pool,
            phase=phase,
        )
    )


def expect_pool(
    draft: drafts.Draft, pool: str
) -> result.Result[str, refusals.Refusal]:
    """Return the pool if the configuration names it."""
    if pool in draft.limits.pools:
        return result.Success(pool)
    return result.Failure(
        refusals.Unknown(message=f'no pool {pool}', pool=pool)
    )


def not_needed(host: str, message: str) -> drafts.Refused:
    """Return the refusal of a step that nothing asks for any more."""
    return result.Failure(refusals.NotNeeded(message=message, host=host))
