"""Transitions: the only way to change a shard's value.

Each transition checks its own preconditions.  It is applied to the current
value inside the compare-and-swap, so one that was planned on a stale value is
checked again, and refused if it is no longer allowed.
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
    def apply(self, draft: drafts.Draft) -> drafts.StepResult:
        """Apply the change to a draft, or refuse and leave it unchanged."""


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The value after the transitions applied, and those refused."""

    value: shards.Shard
    applied: tuple[Transition, ...]
    refused: tuple[tuple[Transition, refusals.Refusal], ...]


def apply_each(
    value: shards.Shard,
    transitions: Iterable[Transition],
    limits: budget.Limits,
    now_s: float,
) -> Outcome:
    """Apply in order those transitions that the value allows."""
    draft = drafts.Draft(value, limits, now_s)
    applied: list[Transition] = []
    refused: list[tuple[Transition, refusals.Refusal]] = []
    for transition in transitions:
        outcome = transition.apply(draft)
        if isinstance(outcome, result.Failure):
            refused.append((transition, outcome.failure()))
        else:
            applied.append(transition)
    return Outcome(draft.value(), tuple(applied), tuple(refused))


def apply_all(
    value: shards.Shard,
    transitions: Iterable[Transition],
    limits: budget.Limits,
    now_s: float,
) -> result.Result[shards.Shard, refusals.Refusal]:
    """Apply every transition, or none and return the first refusal."""
    draft = drafts.Draft(value, limits, now_s)
    for transition in transitions:
        outcome = transition.apply(draft)
        if isinstance(outcome, result.Failure):
            return outcome
    return result.Success(draft.value())


def expect_phase(
    draft: drafts.Draft, host: str, *phases: hosts.Phase
) -> result.Result[hosts.Assignment, refusals.Refusal]:
    """Return a host's assignment, refused unless it is in one of ``phases``."""
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
            hint='wait until its current phase ends',
            host=host,
            pool=assignment.pool,
            phase=phase,
        )
    )


def expect_pool(
    draft: drafts.Draft, pool: str
) -> result.Result[str, refusals.Refusal]:
    """Return the pool, refused unless the configuration names it."""
    if pool in draft.limits.pools:
        return result.Success(pool)
    return result.Failure(
        refusals.Unknown(message=f'no pool {pool}', pool=pool)
    )


def not_needed(host: str, message: str) -> drafts.Refused:
    """Return the refusal of a transition that is not needed."""
    return result.Failure(refusals.NotNeeded(message=message, host=host))
