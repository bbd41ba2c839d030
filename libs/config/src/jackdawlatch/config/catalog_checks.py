"""Checks of a configuration of the unified daemon before it is sent."""

import dataclasses
from collections.abc import Iterable, Iterator

from jackdawlatch.config import findings, team_checks
from jackdawlatch.jobs import queues
from jackdawlatch.model import teams

# The scheduler orders the jobs of queues that were removed at priority 99.
MAX_PRIORITY = 98

Found = Iterator[findings.Finding]
Named = queues.Queue | queues.Service | teams.Team


@dataclasses.dataclass(frozen=True)
class Sections:
    """The names of the lists in the file, for the paths of findings."""

    queues: str = 'queues'
    services: str = 'services'
    teams: str = 'teams'


def check(
    catalog: queues.Catalog,
    sections: Sections,
    in_force: queues.Catalog | None = None,
) -> Found:
    """Yield what is wrong with a configuration or has no effect.

    Without ``in_force`` any version above 0 will do.
    """
    declared = catalog.declared
    oldest = in_force.version if in_force else queues.NO_VERSION
    if catalog.version <= oldest:
        yield findings.error(
            'version', f'{catalog.version} is not above {oldest}: never applied'
        )
    for section, named in (
        (sections.queues, declared.queues),
        (sections.services, declared.services),
        (sections.teams, declared.teams),
    ):
        yield from _check_names(section, named)
    yield from _check_routing(sections.queues, declared.queues)
    for index, queue in enumerate(declared.queues):
        yield from _check_queue(f'{sections.queues}[{index}]', queue, catalog)
    yield from _check_services(sections.services, declared)
    yield from team_checks.check(sections.teams, declared.teams)
    if in_force and in_force.requires_keys and not catalog.requires_keys:
        yield findings.warning(
            sections.teams, 'missing: calls no longer need a key'
        )


def _check_names(section: str, named: Iterable[Named]) -> Found:
    seen: set[str] = set()
    for index, one in enumerate(named):
        if one.name in seen:
            yield findings.error(
                f'{section}[{index}]',
                f'the name {one.name!r} is taken: only the last entry counts',
            )
        seen.add(one.name)


def _check_routing(section: str, declared: Iterable[queues.Queue]) -> Found:
    """Yield queues that no path matches, or only paths of other queues."""
    first_by_address: dict[tuple[str, str], str] = {}
    for index, queue in enumerate(declared):
        path = f'{section}[{index}]'
        address = (queue.hostname, queue.prefix)
        first = first_by_address.setdefault(address, queue.name)
        if first != queue.name:
            yield findings.error(
                path,
                f'{queue.name!r} never matches: {first!r} has the same'
                f' host name and prefix',
            )
        if not queue.prefix.startswith('/') or set('?#') & set(queue.prefix):
            yield findings.error(
                path,
                f'{queue.name!r} accepts no job: expected a prefix that is a'
                f' path with a leading slash, not {queue.prefix!r}',
            )
        if not queue.hostname or ':' in queue.hostname:
            yield findings.error(
                path,
                f'{queue.name!r} never matches: expected a host name without'
                f' port, not {queue.hostname!r}',
            )


def _check_queue(
    path: str, queue: queues.Queue, catalog: queues.Catalog
) -> Found:
    service = catalog.services_by_name.get(queue.service)
    if service is None:
        yield findings.error(
            path, f'{queue.name!r}: service {queue.service!r} is not listed'
        )
    elif service.standby:
        yield findings.warning(
            path, f'{queue.name!r}: {queue.service!r} is a standby service'
        )
    if not 0 <= queue.priority <= MAX_PRIORITY:
        yield findings.error(
            path,
            f'{queue.name!r}: expected a priority of 0 to {MAX_PRIORITY},'
            f' not {queue.priority}',
        )
    if queue.max_attempts < 1:
        yield findings.error(
            path,
            f'{queue.name!r}: expected at least one attempt,'
            f' not {queue.max_attempts}',
        )
    if min(queue.slack_factor, queue.target_s) < 0:
        yield findings.error(
            path,
            f'{queue.name!r}: expected a slack factor and a target duration'
            ' that are not negative',
        )


def _check_services(section: str, declared: queues.Declared) -> Found:
    used = {queue.service for queue in declared.queues}
    standby = sorted({one.name for one in declared.services if one.standby})
    for index, service in enumerate(declared.services):
        if not service.standby and service.name not in used:
            yield findings.warning(
                f'{section}[{index}]', f'{service.name!r} has no queue'
            )
    if len(standby) > 1:
        yield findings.warning(
            section,
            f'several standby services, idle machines move only to'
            f' {standby[0]!r}: {", ".join(standby)}',
        )
