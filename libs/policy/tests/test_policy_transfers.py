"""Moves of machines between services, and a replay of demand by turns."""

from jackdawlatch.policy import transfers
from jackdawlatch.testing import functions

SERVICES = ('a', 'b', 'c')
MACHINES = 30
LEAST = 2
TURN_S = 8
STEP_S = 0.2
MOVE_S = 1.5


def test_service_that_lacks_most_is_supplied_first():
    fleet = transfers.Fleet(
        idle=[_idle('m1', 'a'), _idle('m2', 'a')],
        standby=['s1'],
        surplus_by_service={'a': 2, 'b': -1, 'c': -5},
    )
    assert transfers.supply(fleet) == [
        transfers.Transfer('m1', 'c'),
        transfers.Transfer('m2', 'c'),
        transfers.Transfer('s1', 'c'),
    ]


def test_no_service_gives_more_than_its_surplus():
    idle = [_idle(f'm{number}', 'a') for number in range(5)]
    fleet = transfers.Fleet(idle, [], {'a': 2, 'b': -4})
    assert len(transfers.supply(fleet)) == 2
    assert not transfers.supply(transfers.Fleet(idle, [], {'a': 0, 'b': -4}))


def test_machines_that_help_no_waiting_step_are_moved():
    idle = [_idle('m1', 'a'), _idle('m2', 'a'), _idle('m3', 'a')]
    surplus = {'a': 9, 'b': -2}
    lacked = transfers.Lacked([{'m1', 'm2'}, {'m2'}], missing=2)
    assert _moved(idle, surplus, lacked) == ['m2', 'm1']
    lacked = transfers.Lacked([set(), {'m3'}], missing=2)
    assert _moved(idle, surplus, lacked) == ['m3']
    lacked = transfers.Lacked([set()], missing=1)
    assert _moved(idle, surplus, lacked) == ['m1']


def test_machine_that_has_just_become_idle_stays():
    idle = [_idle('m1', 'a', idle_s=transfers.TRANSFER_IDLE_S / 2)]
    assert not transfers.supply(transfers.Fleet(idle, [], {'a': 1, 'b': -1}))


def test_only_spare_machines_go_to_standby():
    idle = [_idle(f'm{number}', 'a') for number in range(5)]
    fleet = transfers.Fleet(idle, [], {'a': 4})
    assert len(transfers.retire(fleet, 3, 'off')) == 3
    assert len(transfers.retire(fleet, 9, 'off')) == 4
    assert not transfers.retire(fleet, -1, 'off')


def test_idle_machines_follow_demand_by_turns():
    """Replays three turns: the fleet follows each within a move's time."""
    service_by_machine = {
        f'm{number}': SERVICES[number % len(SERVICES)]
        for number in range(MACHINES)
    }
    arrival_s_by_machine: dict[str, float] = {}
    for turn, wanting in enumerate(SERVICES):
        for step in range(int(TURN_S / STEP_S)):
            now_s = turn * TURN_S + step * STEP_S
            present = {
                machine: service
                for machine, service in service_by_machine.items()
                if arrival_s_by_machine.get(machine, 0) <= now_s
            }
            for moved in _supplied(present, service_by_machine, wanting):
                service_by_machine[moved.machine] = moved.service
                arrival_s_by_machine[moved.machine] = now_s + MOVE_S
            if step * STEP_S > MOVE_S + STEP_S:
                others = LEAST * (len(SERVICES) - 1)
                serving = list(present.values()).count(wanting)
                assert serving == MACHINES - others, (wanting, now_s)


def _supplied(
    present: dict[str, str], assigned: dict[str, str], wanting: str
) -> list[transfers.Transfer]:
    counts = {
        service: list(assigned.values()).count(service) for service in SERVICES
    }
    demand = {
        service: MACHINES if service == wanting else LEAST
        for service in SERVICES
    }
    idle = [
        _idle(machine, service)
        for machine, service in present.items()
        if service != wanting
    ]
    surplus = {
        service: counts[service] - demand[service] for service in SERVICES
    }
    return transfers.supply(transfers.Fleet(idle, [], surplus))


def _moved(
    idle: list[transfers.IdleMachine],
    surplus: dict[str, int],
    lacked: transfers.Lacked,
) -> list[str]:
    fleet = transfers.Fleet(idle, [], surplus, {'b': lacked})
    return [transfer.machine for transfer in transfers.supply(fleet)]


def _idle(name: str, service: str, idle_s: float = 9) -> transfers.IdleMachine:
    return transfers.IdleMachine(name, service, idle_s)


load_tests = functions.loader(__name__)
