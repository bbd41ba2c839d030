"""Waves over machines of which some hold lasting tasks."""

import dataclasses

from jackdawlatch.policy import wave_order
from jackdawlatch.testing import functions

DOWN_ROUNDS = 4
MAX_COUNT = 8


def test_idle_machines_go_down_first():
    due = [_machine('busy', 3), _machine('idle', 0), _machine('light', 1)]
    assert wave_order.choose(due, 2, MAX_COUNT) == ['idle', 'light']


def test_machines_with_lasting_tasks_are_vacated_ahead():
    idle = [_machine(f'idle{number}', 0) for number in range(9)]
    slow = [_machine(f'slow{number}', 2, lasting=2) for number in range(5)]
    chosen = wave_order.choose([*slow, *idle], MAX_COUNT, MAX_COUNT)
    assert chosen[:MAX_COUNT] == [one.id for one in idle[:MAX_COUNT]]
    assert chosen[MAX_COUNT:] == ['slow0', 'slow1']


def test_vacating_continues_with_the_same_machines():
    slow = [_machine(f'slow{number}', 2, lasting=2) for number in range(5)]
    slow[4] = dataclasses.replace(slow[4], cordoned=True)
    assert wave_order.choose(slow, 0, MAX_COUNT)[0] == 'slow4'


def test_machine_vacated_ahead_is_not_opened_again():
    vacated = dataclasses.replace(_machine('vacated', 0), cordoned=True)
    slow = [_machine(f'slow{number}', 2, lasting=2) for number in range(5)]
    idle = [_machine(f'idle{number}', 0) for number in range(9)]
    assert 'vacated' in wave_order.choose([*slow, *idle, vacated], 0, MAX_COUNT)
    assert wave_order.choose([*idle, vacated], 1, MAX_COUNT) == ['vacated']


def test_machine_whose_place_is_taken_is_not_opened():
    leaving = dataclasses.replace(_machine('leaving', 3), cordoned=True)
    idle = [_machine(f'idle{number}', 0) for number in range(9)]
    assert wave_order.choose([*idle, leaving], 1, MAX_COUNT)[1:] == ['leaving']


def test_wave_with_lasting_tasks_takes_few_rounds():
    """Replays 24 idle machines beside 6 from which one task leaves a round."""
    due = {f'i{number}': _machine(f'i{number}', 0) for number in range(24)}
    due |= {
        f's{number}': _machine(f's{number}', 1, lasting=1)
        for number in range(6)
    }
    down_rounds: dict[str, int] = {}
    rounds = 0
    while due:
        rounds += 1
        places = MAX_COUNT - sum(left > 0 for left in down_rounds.values())
        chosen = wave_order.choose(due.values(), places, MAX_COUNT)
        leaving = [name for name in chosen if due[name].lasting_count]
        vacant = [name for name in chosen if not due[name].run_count]
        for down in vacant[:places]:
            down_rounds[down] = DOWN_ROUNDS + 1
            due.pop(down)
        for vacated in leaving[:1]:
            due[vacated] = _machine(vacated, 0)
        down_rounds = {name: left - 1 for name, left in down_rounds.items()}
    # Four times the wave's places, each down for four rounds.
    assert rounds <= 4 * DOWN_ROUNDS + 1


def _machine(name: str, runs: int, lasting: int = 0) -> wave_order.DueMachine:
    return wave_order.DueMachine(name, runs, lasting, cordoned=False)


load_tests = functions.loader(__name__)
