"""The progress of maintenance waves."""

import typing
from collections.abc import Iterable

from returns import result

from jackdawlatch.jobs import stored
from jackdawlatch.scheduler import reports

if typing.TYPE_CHECKING:
    from jackdawlatch.scheduler import waves

# The answer to a maintenance request comes after the machine went down.
ANSWER_SLACK_S = 0.3
# How much later an unanswered maintenance request may still be carried out.
UNANSWERED_SLACK_S = 3.0


class Countdown:
    """Since when the duration of a wave counts, on the monotonic clock."""

    def __init__(self, now_s: float) -> None:
        self._began_s = now_s

    def elapsed_s(self, now_s: float) -> float:
        """Return the time since the wave began."""
        return now_s - self._began_s

    def restore(self, age_s: float, now_s: float) -> None:
        """Count from when an earlier leader saw the wave.

        An age that is too short, after a clock was set back, changes nothing.
        """
        self._began_s = min(self._began_s, now_s - age_s)


class WaveState:
    """The progress of a wave."""

    def __init__(self, wave: 'waves.Wave', now_s: float) -> None:
        self.wave = wave
        self.countdown = Countdown(now_s)
        self.begun: set[str] = set()
        self.refused: set[str] = set()
        self._rests_until_s_by_machine: dict[str, float] = {}
        self.up_s_by_machine: dict[str, float] = {}
        self.chosen_s_by_machine: dict[str, float] = {}
        self.cordoned: frozenset[str] = frozenset()
        self.reported_done: bool | None = None

    @property
    def remaining(self) -> list[str]:
        """The machines whose maintenance has not begun."""
        return [
            machine
            for machine in self.wave.machines
            if machine not in self.begun
        ]

    def due(self, now_s: float) -> list[str]:
        """Return the remaining machines that may be vacated now."""
        return [
            machine
            for machine in self.remaining
            if self._rests_until_s_by_machine.get(machine, 0) <= now_s
        ]

    def change(self, wave: 'waves.Wave') -> set[str]:
        """Replace the wave; return the machines that have left it.

        What was begun stays begun.
        """
        if wave == self.wave:
            return set()
        removed = set(self.wave.machines).difference(wave.machines)
        self.wave = wave
        self.cordoned -= removed
        if self.remaining and self.reported_done:
            # Its status has to be reported again.
            self.reported_done = None
        return removed

    def rest(self, machine: str, until_s: float) -> None:
        """Leave a machine to the tasks until a time."""
        self._rests_until_s_by_machine[machine] = until_s

    def chosen_since(self, machine: str, since_s: float) -> bool:
        """Whether a machine is being vacated since then, or earlier."""
        chosen_s = self.chosen_s_by_machine.get(machine)
        return chosen_s is not None and chosen_s <= since_s

    def slots(self, now_s: float) -> int:
        """Return how many more machines may go down now."""
        down = sum(up_s > now_s for up_s in self.up_s_by_machine.values())
        return max(0, self.wave.max_count - down)

    def unanswered(self, now_s: float) -> list[str]:
        """Return the machines that a request without answer may take down."""
        return [
            machine
            for machine in self.remaining
            if self.up_s_by_machine.get(machine, 0) > now_s
        ]

    def record_chosen(self, chosen: Iterable[str], now_s: float) -> None:
        """Record since when each chosen machine is being vacated."""
        self.chosen_s_by_machine = {
            machine: self.chosen_s_by_machine.get(machine, now_s)
            for machine in chosen
        }

    def restore(self, maintenance: stored.Maintenance, now_s: float) -> None:
        """Restore a request of an earlier leader."""
        if maintenance.begun:
            self.begun.add(maintenance.machine)
        up_s = now_s + maintenance.left_s
        self.up_s_by_machine[maintenance.machine] = up_s

    def urgent(self, now_s: float, round_s: float) -> bool:
        """Whether the wave would miss its deadline by waiting for less load."""
        rounds = -(-len(self.remaining) // max(1, self.wave.max_count))
        needed_s = (rounds + 1) * round_s
        return self.countdown.elapsed_s(now_s) + needed_s > self.wave.duration_s

    def record_outcome(
        self,
        machine: str,
        begun: result.Result[None, reports.MachineFailure],
        up_s: float,
    ) -> None:
        """Record the answer to a request; ``up_s`` is when maintenance ends."""
        self.refused.discard(machine)
        if isinstance(begun, result.Success):
            self.begun.add(machine)
            self.cordoned -= {machine}
            self.up_s_by_machine[machine] = up_s + ANSWER_SLACK_S
        elif begun.failure().refused:
            self.refused.add(machine)
        else:
            # The maintenance may have begun all the same, or may begin soon.
            self.up_s_by_machine[machine] = up_s + UNANSWERED_SLACK_S
