"""Counts and logs the calls that an entry refuses, by team."""

from jackdawlatch.telemetry import decisions, meters

# The number of teams that a configuration is sized for.
MAX_TEAMS = 110
# The team of a call is not known if its key is not.
UNKNOWN_TEAM = 'unknown'


class Refusals:
    """The refused calls of a process."""

    def __init__(
        self, log: decisions.DecisionLog, instruments: meters.Meters
    ) -> None:
        self._log = log
        self._meters = instruments
        self._labels = meters.BoundedLabels(MAX_TEAMS)

    def count(self, team: str, reason: str) -> None:
        """Count a refused call; its line is written elsewhere."""
        label = self._labels.label(team) if team else UNKNOWN_TEAM
        self._meters.count('team_refusals', team=label, reason=reason)

    def note_key(
        self, request_id: str, queue: str, version: int, reason: str
    ) -> None:
        """Count and log a call whose key names no team."""
        self.count('', reason)
        self._log.note(
            'key-refused',
            request=request_id,
            queue=queue,
            team='',
            version=version,
            reason=reason,
        )
