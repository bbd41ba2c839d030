"""Checks of invariants at run time."""

from absl import logging

from jackdawlatch.telemetry import meters


class InvariantViolatedError(AssertionError):
    """An invariant was violated."""


class Invariants:
    """Counts and logs violated invariants.

    With ``strict``, as in tests, a violation also raises.
    """

    def __init__(self, process_meters: meters.Meters, strict: bool) -> None:
        self._meters = process_meters
        self._strict = strict
        self.violations = 0

    def check(self, holds: bool, name: str, detail: str = '') -> None:
        """Record a violation unless ``holds``.

        Raises ``InvariantViolatedError`` on a violation if strict.
        """
        if holds:
            return
        self.violations += 1
        self._meters.count('invariant_violations', invariant=name)
        logging.error('invariant %s violated: %s', name, detail)
        if self._strict:
            raise InvariantViolatedError(f'{name}: {detail}')
