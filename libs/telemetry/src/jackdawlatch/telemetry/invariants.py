"""What must always hold, checked while the program runs."""

from absl import logging

from jackdawlatch.telemetry import meters


class InvariantViolatedError(AssertionError):
    """Something that must always hold did not."""


class Invariants:
    """Checks that raise in tests and are counted in production."""

    def __init__(self, meters_of_process: meters.Meters, strict: bool) -> None:
        self._meters = meters_of_process
        self._strict = strict
        self.violations = 0

    def check(self, holds: bool, name: str, detail: str = '') -> None:
        """Count a violation; raise ``InvariantViolatedError`` if strict."""
        if holds:
            return
        self.violations += 1
        self._meters.count('invariant_violations', invariant=name)
        logging.error('invariant %s violated: %s', name, detail)
        if self._strict:
            raise InvariantViolatedError(f'{name}: {detail}')
