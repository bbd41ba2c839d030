"""Failures that name an invalid field and describe a valid value."""

from collections.abc import Iterable

from jackdawlatch.model import failures


def invalid(path: str, expected: str, hint: str = '') -> failures.Invalid:
    """Return the failure of a field; ``expected`` describes a valid value."""
    return failures.Invalid(
        message=f'{path}: expected {expected}',
        path=path,
        expected=expected,
        hint=hint,
    )


def one_of(names: Iterable[str]) -> str:
    """Return the description of a field that must hold one of the names."""
    listed = ', '.join(sorted(names))
    return f'one of {listed}' if listed else 'a defined name; none is defined'
