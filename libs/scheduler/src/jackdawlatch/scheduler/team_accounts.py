"""What the runs of each team hold on all workers, and may hold."""

import dataclasses
import typing

from jackdawlatch.jobs import model, queues
from jackdawlatch.model import presets
from jackdawlatch.policy import claims, quotas

if typing.TYPE_CHECKING:
    from jackdawlatch.scheduler import tasks

NO_TEAM = ''
MILLICORES_PER_CORE = 1000


class Account:
    """The capacity that the runs of one team hold, and its quota.

    A run counts from its placement until it is certain that it does not run.
    ``limit`` is None while a configuration that names the team may be in force
    that this leader does not have yet: then none of its tasks is started.
    """

    def __init__(self, team: str = NO_TEAM) -> None:
        self.team = team
        self.held = model.Room()
        self.limit = None if team else quotas.UNLIMITED

    def add(self, room: model.Room) -> None:
        """Count a run."""
        self.held = self.held.plus(room)

    def remove(self, room: model.Room) -> None:
        """Stop counting a run."""
        self.held = self.held.minus(room)

    def configure(self, catalog: queues.Catalog, version: int) -> None:
        """Apply the quota in force.

        ``version`` is the configuration by which a job of the team was accepted.
        A team that was removed since keeps its last quota, as far as this leader
        knows it.
        """
        team = catalog.teams_by_name.get(self.team)
        if team is not None:
            self.limit = _limit(team.quota)
        elif catalog.version >= max(version, queues.NO_VERSION + 1):
            self.limit = self.limit or quotas.UNLIMITED


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

    def claim(self, job: model.Job, catalog: queues.Catalog) -> Claim:
        """Return the claim of a job, by the time in its record.

        Jobs without a team, or with one that is not configured, are not limited
        in number.
        """
        account = self._by_team.setdefault(job.team, Account(job.team))
        account.configure(catalog, job.version)
        team = catalog.teams_by_name.get(job.team)
        if team is None:
            return Claim(account)
        within_share = self._claims.claim(
            team.name, team.weight, job.accepted_s
        )
        return Claim(account, within_share)


class Allowances:
    """What each team may still start within one planning round."""

    def __init__(self) -> None:
        self._held_by_team: dict[str, model.Room] = {}

    def admits(self, account: Account, need: model.Room) -> bool:
        """Whether the quota of a team has room for one more task."""
        if account.limit is None or account.limit == quotas.UNLIMITED:
            return account.limit is not None
        return quotas.admits(
            account.limit, _resources(self._held(account)), _resources(need)
        )

    def startable_count(self, state: 'tasks.StepState') -> int:
        """Return how many waiting tasks of a step may start; gangs start whole."""
        job = state.tasks[0].job
        account = job.claim.account
        waiting = state.waiting_count
        fitting = waiting
        if account.limit != quotas.UNLIMITED:
            fitting = self._fitting_count(account, state.step.room, waiting)
        return 0 if state.step.gang and fitting < waiting else fitting

    def reserve(self, account: Account, need: model.Room) -> None:
        """Count a task that is placed in this round."""
        if account.limit != quotas.UNLIMITED:
            self._held_by_team[account.team] = self._held(account).plus(need)

    def release(self, account: Account, need: model.Room) -> None:
        """Undo a reservation."""
        if account.limit != quotas.UNLIMITED:
            self._held_by_team[account.team] = self._held(account).minus(need)

    def _fitting_count(
        self, account: Account, need: model.Room, wanted: int
    ) -> int:
        if account.limit is None:
            return 0
        return quotas.fitting_count(
            account.limit,
            _resources(self._held(account)),
            _resources(need),
            wanted,
        )

    def _held(self, account: Account) -> model.Room:
        return self._held_by_team.get(account.team, account.held)


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
