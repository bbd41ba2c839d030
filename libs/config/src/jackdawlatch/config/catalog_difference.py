"""The difference between two configurations of the unified daemon."""

from collections.abc import Iterator
from typing import Any

import msgspec

from jackdawlatch.config import catalog_checks, difference, team_checks
from jackdawlatch.jobs import queues
from jackdawlatch.model import teams


def between(
    before: queues.Catalog,
    after: queues.Catalog,
    sections: catalog_checks.Sections,
) -> difference.Difference:
    """Return the changes from ``before`` to ``after``.

    Fields have the product's names, and entries are identified by their names.
    Keys of teams are listed apart, by their first characters.
    """
    pair = difference.ValuePair(
        _fields(before, sections), _fields(after, sections)
    )
    return (
        *difference.changes('', pair),
        *_key_changes(before, after, sections),
    )


def _fields(
    catalog: queues.Catalog, sections: catalog_checks.Sections
) -> dict[str, Any]:
    return {
        sections.queues: msgspec.to_builtins(catalog.queues_by_name),
        sections.services: msgspec.to_builtins(catalog.services_by_name),
        sections.teams: {
            name: {
                'weight': team.weight,
                'quota': msgspec.to_builtins(team.quota),
            }
            for name, team in catalog.teams_by_name.items()
        },
        'requires_keys': catalog.requires_keys,
    }


def _key_changes(
    before: queues.Catalog,
    after: queues.Catalog,
    sections: catalog_checks.Sections,
) -> Iterator[difference.FieldChange]:
    nobody = teams.Team(name='')
    for name in sorted({*before.teams_by_name, *after.teams_by_name}):
        path = f'{sections.teams}.{name}.keys'
        former = set(before.teams_by_name.get(name, nobody).keys)
        current = set(after.teams_by_name.get(name, nobody).keys)
        for removed in sorted(former - current):
            yield difference.FieldChange(
                path=path,
                type=difference.ChangeType.REMOVED,
                before=team_checks.mask(removed),
            )
        for added in sorted(current - former):
            yield difference.FieldChange(
                path=path,
                type=difference.ChangeType.ADDED,
                after=team_checks.mask(added),
            )
