"""Surplus machines are kept free for others, but only for a limited time."""

import collections

from jackdawlatch.policy import transfers, withholding
from jackdawlatch.testing import functions

STEP_S = 0.2
# Ready work may wait this long beside free capacity.
ALLOWED_WAIT_S = 3


def test_service_with_a_surplus_is_vacated_for_another():
    machines = [_machine('m0'), _machine('m1', run_count=2)]
    assert transfers.vacate(machines, {'a': 1, 'b': -9}, missing=9) == machines
    assert not transfers.vacate(machines, {'a': 0, 'b': -9}, missing=9)


def test_machine_with_lasting_runs_is_not_vacated():
    machines = [_machine('m0', lasting_count=1), _machine('m1')]
    chosen = transfers.vacate(machines, {'a': 2, 'b': -2}, missing=2)
    assert [machine.id for machine in chosen] == ['m1']


def test_late_demand_alone_withholds_nothing():
    machines = [_machine('m0'), _machine('m1')]
    assert not transfers.vacate(machines, {'a': 2, 'b': -2}, missing=0)


def test_idle_machine_that_cannot_move_is_released():
    assert _longest_withheld_s(run_count=0) < ALLOWED_WAIT_S


def test_machine_that_never_becomes_idle_is_released():
    longest_s = _longest_withheld_s(run_count=1)
    assert longest_s <= withholding.MAX_WITHHELD_S


def _longest_withheld_s(run_count: int) -> float:
    """Replay a service that lacks machines all day, while no move succeeds."""
    machines = [_machine(f'm{number}', run_count) for number in range(4)]
    kept_free = withholding.Withholding()
    since_s_by_machine: dict[str, float] = {}
    withheld_counts: collections.Counter[str] = collections.Counter()
    longest_s: float = 0
    for step in range(300):
        now_s = step * STEP_S
        candidates = [
            machine
            for machine in machines
            if kept_free.may_withhold(machine.id, now_s)
        ]
        chosen = transfers.vacate(candidates, {'a': 2, 'b': -2}, missing=2)
        kept_free.replace(chosen, now_s)
        withheld = frozenset(kept_free.machines)
        withheld_counts.update(withheld - since_s_by_machine.keys())
        since_s_by_machine = {
            machine: since_s_by_machine.get(machine, now_s)
            for machine in withheld
        }
        for since_s in since_s_by_machine.values():
            longest_s = max(longest_s, now_s - since_s)
    # Each of them is tried again after a rest.
    assert min(withheld_counts[machine.id] for machine in machines) > 1
    return longest_s


def _machine(
    name: str, run_count: int = 0, lasting_count: int = 0
) -> transfers.BusyMachine:
    return transfers.BusyMachine(name, 'a', run_count, lasting_count)


load_tests = functions.loader(__name__)
