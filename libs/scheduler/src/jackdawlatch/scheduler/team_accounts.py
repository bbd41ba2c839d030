"""What the runs of each team hold on all workers."""

import dataclasses
from collections.abc import Mapping

from jackdawlatch.jobs import model
from jackdawlatch.model import presets, teams
from jackdawlatch.policy import claims, quotas

NO_TEAM = ''
MILLICORES_PER_CORE = 1000


class Account:
    """The capacity that the runs of one team hold.

    A run counts from its placement until it is certain that it does not run.
    """

    def __init__(self, team: str = NO_TEAM) -> None:
        self.team = team
        self.held = model.Room()

    def add(self, room: model.Room) -> None:
        """Count a run."""
        self.held = self.held.plus(room)

    def remove(self, room: model.Room) -> None:
        """Stop counting a run."""
        self.held = self.held.minus(room)


@dataclasses.dataclass(frozen=True)
class Claim:
    """The claim of a job to the share of its team.

    A job ``within_share`` goes before those that are not, of any team.
    """

    account: Account = dataclasses.field(default_factory=Account)
    within_share: bool = True


class Accounts:
    """The account of each team, and the jobs within its share."""

    def __init__(self) -> None:
        self._by_team: dict[str, Account] = {}
        self._claims = claims.Claims()

    def claim(
        self, name: str, team: teams.Team | None, accepted_s: float
    ) -> Claim:
        """Return the claim of a job, by the time in its record.

        Jobs without a team, or with one that is configured no longer, are not
        limited in number.
        """
        account = self._by_team.setdefault(name, Account(name))
        if team is None:
            return Claim(account)
        return Claim(account, self._claims.claim(name, team.weight, accepted_s))


@dataclasses.dataclass(frozen=True)
class Allowances:
    """What each team may still start within one planning round."""

    teams_by_name: Mapping[str, teams.Team]
    reserved_by_team: dict[str, model.Room] = dataclasses.field(
        default_factory=dict
    )

    def admits(self, account: Account, need: model.Room) -> bool:
        """Whether the quota of a team has room for one more task."""
        team = self.teams_by_name.get(account.team)
        if team is None:
            return True
        held = account.held.plus(self._reserved(account))
        return quotas.admits(
            _limit(team.quota), _resources(held), _resources(need)
        )

    def reserve(self, account: Account, need: model.Room) -> None:
        """Count a task that is placed in this round."""
        if account.team:
            self.reserved_by_team[account.team] = self._reserved(account).plus(
                need
            )

    def release(self, account: Account, need: model.Room) -> None:
        """Undo a reservation."""
        if account.team:
            self.reserved_by_team[account.team] = self._reserved(account).minus(
                need
            )

    def _reserved(self, account: Account) -> model.Room:
        return self.reserved_by_team.get(account.team, model.Room())


def _limit(quota: presets.Quota) -> quotas.Resources:
    return quotas.Resources(
        quota.processors * MILLICORES_PER_CORE,
        quota.memory_mb,
        quota.accelerators,
    )


def _resources(room: model.Room) -> quotas.Resources:
    return quotas.Resources(
        room.processors_m, room.memory_mb, room.accelerators
    )
