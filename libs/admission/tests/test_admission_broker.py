import dataclasses
import itertools
import random

from hypothesis import stateful, strategies
from returns import result

from jackdawlatch.admission import broker, tickets
from jackdawlatch.model import presets, records, work
from jackdawlatch.testing import functions

SETTINGS = stateful.Settings(
    derandomize=True, max_examples=80, stateful_step_count=80, deadline=None
)
HOSTS = ('runner-1', 'runner-2')
SLOTS = 2
ENTRIES = ('entry-1', 'entry-2', 'entry-3')
KINDS = tuple(
    work.Kind(service='match', urgency=urgency) for urgency in work.Urgency
)
PRESET = presets.Preset(name='test', ejection_cap=0)


@dataclasses.dataclass
class Entry:
    """What an entry knows: its broker, and the slots that it holds."""

    broker: broker.Broker
    held_by_id: dict[str, tickets.Grant] = dataclasses.field(
        default_factory=dict
    )
    done: set[str] = dataclasses.field(default_factory=set)


class BrokerMachine(stateful.RuleBasedStateMachine):
    """Entries that die, lost messages, two brokers; runners that refuse."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0
        self.numbers = itertools.count()
        self.brokers = [_new_broker(), _new_broker()]
        self.entries_by_id = {name: Entry(self.brokers[0]) for name in ENTRIES}
        self.running: list[tickets.Grant] = []
        self.sent: set[str] = set()

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES),
        kind=strategies.sampled_from(KINDS),
        budget_s=strategies.sampled_from((0.5, 3, 30)),
    )
    def ask(self, name: str, kind: work.Kind, budget_s: float) -> None:
        ticket = tickets.Ticket(
            id=str(next(self.numbers)),
            kind=kind,
            deadline_s=self.now_s + budget_s,
            entry=name,
        )
        self.entries_by_id[name].broker.request_slot(ticket, self.now_s)

    @stateful.rule(
        number=strategies.integers(0, 1),
        lost=strategies.booleans(),
    )
    def turn(self, number: int, lost: bool) -> None:
        turning = self.brokers[number]
        turned = turning.allocate(self.now_s)
        _check_turn(turning, turned, self.now_s)
        for grant in turned.grants:
            if not lost:
                self._receive(turning, grant)

    @stateful.rule(number=strategies.integers(0, 3), lost=strategies.booleans())
    def finish(self, number: int, lost: bool) -> None:
        if number >= len(self.running):
            return
        grant = self.running.pop(number)
        entry = self.entries_by_id[grant.ticket.entry]
        held = entry.held_by_id.pop(grant.ticket.id, None)
        if held and not lost:
            answered = tickets.Outcome.ANSWERED
            entry.broker.release(grant.ticket.id, answered, self.now_s)

    @stateful.rule(name=strategies.sampled_from(ENTRIES))
    def replace_entry(self, name: str) -> None:
        for each in self.brokers:
            each.drop_entry(name, self.now_s)
        self.entries_by_id[name] = Entry(self.entries_by_id[name].broker)

    @stateful.rule(
        name=strategies.sampled_from(ENTRIES), number=strategies.integers(0, 1)
    )
    def change_broker(self, name: str, number: int) -> None:
        entry = self.entries_by_id[name]
        entry.broker = self.brokers[number]
        self._resync(name)

    @stateful.rule(number=strategies.integers(0, 1))
    def replace_broker(self, number: int) -> None:
        lost = self.brokers[number]
        self.brokers[number] = _new_broker()
        for entry in self.entries_by_id.values():
            if entry.broker is lost:
                entry.broker = self.brokers[number]

    @stateful.rule(seconds=strategies.sampled_from((0.01, 0.3, 1.1)))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    def teardown(self) -> None:
        """Check that no slot is lost for good."""
        while self.running:
            self.finish(0, lost=True)
        # By now every ticket has expired, and no grant is in transit.
        self.now_s += 60
        for each in self.brokers:
            each.allocate(self.now_s)
            for name in ENTRIES:
                each.resync(name, (), self.now_s)
            self._check_recovered(each)

    def _check_recovered(self, one: broker.Broker) -> None:
        assert not len(one.held)
        assert not len(one.policy.queues)
        for name in ENTRIES * 2:
            ticket = tickets.Ticket(
                id=str(next(self.numbers)),
                kind=KINDS[0],
                deadline_s=self.now_s + 60,
                entry=name,
            )
            assert isinstance(
                one.request_slot(ticket, self.now_s), result.Success
            )
        granted = one.allocate(self.now_s).grants
        assert len(granted) == SLOTS * len(HOSTS)

    def _receive(self, giver: broker.Broker, grant: tickets.Grant) -> None:
        entry = self.entries_by_id[grant.ticket.entry]
        ticket_id = grant.ticket.id
        if entry.broker is not giver or ticket_id in entry.done:
            giver.release(ticket_id, tickets.Outcome.UNUSED, self.now_s)
            return
        assert ticket_id not in self.sent
        self.sent.add(ticket_id)
        entry.done.add(ticket_id)
        busy = [each for each in self.running if each.host == grant.host]
        if len(busy) >= SLOTS:
            giver.release(ticket_id, tickets.Outcome.BUSY, self.now_s)
            return
        self.running.append(grant)
        entry.held_by_id[ticket_id] = grant

    def _resync(self, name: str) -> None:
        entry = self.entries_by_id[name]
        entry.broker.resync(name, entry.held_by_id.values(), self.now_s)
        known = {grant.ticket.id: grant for grant in entry.broker.held}
        for ticket_id, grant in entry.held_by_id.items():
            assert known[ticket_id] == grant
            assert ticket_id not in entry.broker.policy.queues


def _new_broker() -> broker.Broker:
    made = broker.Broker(PRESET, random.Random(1))
    made.replace_runners(dict.fromkeys(HOSTS, SLOTS))
    return made


def _check_turn(
    turned: broker.Broker, turn: broker.Allocation, now_s: float
) -> None:
    held_by_host = {host: 0 for host in HOSTS}
    for grant in turned.held:
        held_by_host[grant.host] += 1
    for granted in turn.grants:
        assert granted.ticket.deadline_s > now_s
        assert held_by_host[granted.host] <= SLOTS
    for dropped in turn.dropped:
        assert dropped.deadline_s <= now_s
    if len(turned.policy.queues):
        assert not turned.runners.slots.candidates(now_s)


def test_broker_survives_lost_entries_and_brokers() -> None:
    stateful.run_state_machine_as_test(BrokerMachine, settings=SETTINGS)


def test_asking_again_sends_the_same_grant() -> None:
    slot_broker = _small_broker()
    for _ in range(2):
        assert slot_broker.request_slot(_ticket('a'), 0) == result.Success(None)
    first = slot_broker.allocate(0).grants
    slot_broker.request_slot(_ticket('a'), 1)
    assert slot_broker.allocate(1).grants == first


def test_slots_of_a_lost_entry_are_freed_in_time() -> None:
    slot_broker = _small_broker()
    slot_broker.policy.times.observe(KINDS[0], 60)
    for name in ('a', 'b'):
        slot_broker.request_slot(_ticket(name), 0)
    slot_broker.request_slot(_ticket('c', entry='other'), 0)
    slot_broker.allocate(0)
    slot_broker.drop_entry('e', 0)
    assert not slot_broker.allocate(broker.LOST_ENTRY_HOLD_S / 2).grants
    granted = slot_broker.allocate(broker.LOST_ENTRY_HOLD_S).grants
    assert [grant.ticket.id for grant in granted] == ['c']


def test_entry_that_comes_back_keeps_its_slots() -> None:
    slot_broker = _small_broker()
    slot_broker.policy.times.observe(KINDS[0], 60)
    slot_broker.request_slot(_ticket('a'), 0)
    granted = slot_broker.allocate(0).grants
    slot_broker.drop_entry('e', 0)
    slot_broker.resync('e', granted, 1)
    slot_broker.allocate(5)
    assert tuple(slot_broker.held) == granted


def test_grant_on_its_way_outlasts_a_resync() -> None:
    slot_broker = _small_broker()
    slot_broker.request_slot(_ticket('a'), 0)
    granted = slot_broker.allocate(0).grants
    slot_broker.resync('e', (), broker.RESYNC_GRACE_S / 2)
    assert tuple(slot_broker.held) == granted
    slot_broker.resync('e', (), broker.RESYNC_GRACE_S)
    assert not len(slot_broker.held)


def test_reported_slot_needs_no_second_grant() -> None:
    slot_broker = _small_broker()
    slot_broker.request_slot(_ticket('a'), 0)
    reported = tickets.Grant(ticket=_ticket('a'), host='runner-1', granted_s=0)
    slot_broker.resync('e', (reported,), 0)
    assert not slot_broker.allocate(0).grants
    assert slot_broker.policy.held(KINDS[0]) == 1


def _small_broker() -> broker.Broker:
    slot_broker = broker.Broker(PRESET, random.Random(1))
    slot_broker.replace_runners({'runner-1': 1})
    return slot_broker


def _ticket(name: str, entry: str = 'e') -> tickets.Ticket:
    return tickets.Ticket(id=name, kind=KINDS[0], deadline_s=999, entry=entry)


def test_preset_change_keeps_tickets_and_held_slots() -> None:
    slot_broker = _small_broker()
    for name in ('a', 'b'):
        slot_broker.request_slot(_ticket(name), 0)
    slot_broker.allocate(0)
    slot_broker.set_preset(presets.Preset(name='peak', admission='strict'))
    slot_broker.release('a', tickets.Outcome.ANSWERED, 1)
    granted = slot_broker.allocate(1).grants
    assert [grant.ticket.id for grant in granted] == ['b']
    slot_broker.set_preset(PRESET)
    assert slot_broker.policy.held(KINDS[0]) == 1


def test_runner_that_fails_fast_attracts_no_work() -> None:
    slot_broker = broker.Broker(presets.Preset(name='test'), random.Random(1))
    slot_broker.replace_runners({f'runner-{number}': 8 for number in range(6)})
    failing = 'runner-0'
    failed = 0
    ends: list[tuple[float, tickets.Grant]] = []
    for step in range(20_000):
        now_s = step / 1000
        for _ in range(2):
            ticket = tickets.Ticket(
                id=str(step), kind=KINDS[1], deadline_s=now_s + 5
            )
            slot_broker.request_slot(ticket, now_s)
        while ends and ends[0][0] <= now_s:
            answered = tickets.Outcome.ANSWERED
            slot_broker.release(ends.pop(0)[1].ticket.id, answered, now_s)
        for grant in slot_broker.allocate(now_s).grants:
            if grant.host == failing:
                failed += 1
                slot_broker.release(
                    grant.ticket.id, tickets.Outcome.FAILED, now_s
                )
            else:
                ends.append((now_s + 0.03, grant))
    assert failed < 0.01 * 20_000


def test_avoided_host_is_used_only_as_a_last_resort() -> None:
    slot_broker = broker.Broker(PRESET, random.Random(1))
    slot_broker.replace_runners({'runner-1': 1, 'runner-2': 1})
    for name in ('a', 'b'):
        slot_broker.request_slot(
            records.replace(_ticket(name), avoid=('runner-1',)), 0
        )
    granted = slot_broker.allocate(0).grants
    assert [grant.host for grant in granted] == ['runner-2', 'runner-1']


load_tests = functions.loader(__name__)
