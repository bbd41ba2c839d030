"""Failures that name a field and what it should hold."""

from collections.abc import Iterable

from jackdawlatch.model import failures


def invalid(path: str, expected: str, hint: str = '') -> failures.Invalid:
    """Return a failure that names a field and what it should hold."""
    return failures.Invalid(
        message=f'{path}: expected {expected}',
        path=path,
        expected=expected,
        hint=hint,
    )


def one_of(names: Iterable[str]) -> str:
    """Return the expectation that a field holds one of these names."""
    listed = ', '.join(sorted(names))
    return f'one of {listed}' if listed else 'a name, but there is none yet'
