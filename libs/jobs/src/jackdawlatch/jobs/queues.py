"""Queues and services of the configuration in force."""

import dataclasses
from collections.abc import Iterable, Mapping

from jackdawlatch.model import teams as model_teams

NO_VERSION = 0


@dataclasses.dataclass(frozen=True)
class Queue:
    """Jobs submitted under one path prefix of a host name.

    A lower ``priority`` goes first.  ``max_attempts`` limits the failures of a
    task that is not lasting.  ``advised`` queues need a ticket for each start.
    The latency objective of a job is ``slack_factor`` times its longest chain
    of estimated work, plus ``target_s``.  Calls for ``open`` queues need no key.
    """

    name: str
    hostname: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1
    target_s: float = 0
    advised: bool = False
    open: bool = False


@dataclasses.dataclass(frozen=True)
class Service:
    """A pool of hosts; those of a ``standby`` service are switched off."""

    name: str
    standby: bool = False
    enforces_room: bool = False


@dataclasses.dataclass(frozen=True)
class Declared:
    """All entries as they were listed, also several of the same name."""

    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[model_teams.Team, ...] = ()


class Catalog:
    """All queues, services and teams of one version of the configuration.

    Without ``teams``, which differs from an empty list of them, callers need no
    keys.
    """

    def __init__(
        self,
        version: int = NO_VERSION,
        queues: Iterable[Queue] = (),
        services: Iterable[Service] = (),
        teams: Iterable[model_teams.Team] | None = None,
    ) -> None:
        self.version = version
        self.requires_keys = teams is not None
        self.declared = Declared(
            tuple(queues), tuple(services), tuple(teams or ())
        )
        self.queues_by_name: Mapping[str, Queue] = {
            queue.name: queue for queue in self.declared.queues
        }
        self.services_by_name: Mapping[str, Service] = {
            service.name: service for service in self.declared.services
        }
        self.teams_by_name: Mapping[str, model_teams.Team] = {
            team.name: team for team in self.declared.teams
        }
        self._teams_by_key = {
            key: team
            for team in self.teams_by_name.values()
            for key in team.keys
        }
        self._service_names = frozenset(
            (
                *self.services_by_name,
                *(queue.service for queue in self.declared.queues),
            )
        )
        self._by_hostname: dict[str, list[Queue]] = {}
        for queue in sorted(
            self.queues_by_name.values(), key=_prefix_length, reverse=True
        ):
            self._by_hostname.setdefault(queue.hostname, []).append(queue)

    def standby_services(self) -> set[str]:
        """Return the services whose machines are switched off."""
        return {one.name for one in self._services() if one.standby}

    def serving_services(self) -> set[str]:
        """Return the services whose machines run."""
        return {one.name for one in self._services() if not one.standby}

    def names_service(self, name: str) -> bool:
        """Whether a service is listed, or has a queue."""
        return name in self._service_names

    def find(self, hostname: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path``."""
        for queue in self._by_hostname.get(hostname, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def team_of_key(self, key: str) -> model_teams.Team | None:
        """Return the team that holds a key, None if no team does."""
        return self._teams_by_key.get(key)

    def _services(self) -> Iterable[Service]:
        return self.services_by_name.values()


def _prefix_length(queue: Queue) -> int:
    return len(queue.prefix)
