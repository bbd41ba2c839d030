"""Logs the entries that a reader of the store skips."""

from absl import logging

# Limits what entries of other writers can add to the log of a process.
MAX_LINES = 200
MAX_REASON_CHARACTERS = 300


class SkippedEntries:
    """Logs the reason for each key once, however often it is read."""

    def __init__(self) -> None:
        self._logged: set[tuple[str, str]] = set()

    def log(
        self, key: str, reason: str, error: Exception | None = None
    ) -> None:
        """Log that an entry is skipped, with the traceback of an error."""
        line = (key, reason[:MAX_REASON_CHARACTERS])
        if line in self._logged or len(self._logged) >= MAX_LINES:
            return
        self._logged.add(line)
        logging.error('entry %r is skipped: %s', *line, exc_info=error)

    def log_error(self, key: str, error: Exception) -> None:
        """Log an entry that is skipped since it raised an error."""
        self.log(key, f'{type(error).__name__}: {error}', error)
