"""Checks of the teams and keys of a configuration."""

import collections
from collections.abc import Iterable, Iterator

from jackdawlatch.config import findings
from jackdawlatch.model import teams

SHOWN_KEY_CHARACTERS = 4


def check(
    section: str, declared: Iterable[teams.Team]
) -> Iterator[findings.Finding]:
    """Yield what is wrong with the teams that a section lists."""
    holders_by_key: dict[str, set[str]] = collections.defaultdict(set)
    for index, team in enumerate(declared):
        path = f'{section}[{index}]'
        yield from _check_team(path, team)
        for key in team.keys:
            others = holders_by_key[key] - {team.name}
            if others:
                yield findings.error(
                    path,
                    f'{team.name!r} has key {mask(key)!r} of {min(others)!r}',
                )
            holders_by_key[key].add(team.name)


def mask(key: str) -> str:
    """Return the first characters of a key, at most half of it."""
    return f'{key[: min(SHOWN_KEY_CHARACTERS, len(key) // 2)]}...'


def _check_team(path: str, team: teams.Team) -> Iterator[findings.Finding]:
    if not team.keys:
        yield findings.warning(path, f'{team.name!r} has no key')
    if team.weight <= 0:
        yield findings.error(
            path, f'{team.name!r}: expected a weight above 0, not {team.weight}'
        )
    if any(not key or key != key.strip() for key in team.keys):
        yield findings.error(
            path, f'{team.name!r} has a key that is empty or has spaces'
        )
