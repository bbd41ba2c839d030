"""What a check of a configuration reports."""

import enum

from jackdawlatch.model import records


class Severity(enum.StrEnum):
    """Whether a configuration should not be sent because of a finding."""

    ERROR = 'error'
    WARNING = 'warning'


class Finding(records.Record, frozen=True, kw_only=True):
    """An entry that is wrong or has no effect; ``path`` names it."""

    severity: Severity
    path: str
    message: str

    def line(self) -> str:
        """Return the finding as one line of text."""
        location = f'{self.path}: ' if self.path else ''
        return f'{self.severity}: {location}{self.message}'


def error(path: str, message: str) -> Finding:
    """Return the finding of an entry that must be corrected."""
    return Finding(severity=Severity.ERROR, path=path, message=message)


def warning(path: str, message: str) -> Finding:
    """Return the finding of an entry that may be intended."""
    return Finding(severity=Severity.WARNING, path=path, message=message)
