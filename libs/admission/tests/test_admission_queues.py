import itertools

from hypothesis import stateful, strategies
from returns import result

from jackdawlatch.admission import deadlines, policies, tickets
from jackdawlatch.model import presets, work
from jackdawlatch.testing import functions

SETTINGS = stateful.Settings(
    derandomize=True, max_examples=60, stateful_step_count=60, deadline=None
)
QUEUE_LIMIT = 5
KINDS = tuple(
    work.Kind(service='match', team=team, urgency=urgency)
    for team in ('desk', 'courier')
    for urgency in work.Urgency
)


class QueueMachine(stateful.RuleBasedStateMachine):
    """Drives a policy beside a plain list of the tickets that wait."""

    policy_name = 'fair'

    def __init__(self) -> None:
        super().__init__()
        preset = presets.Preset(
            name='test', admission=self.policy_name, queue_limit=QUEUE_LIMIT
        )
        self.policy = policies.create(preset, capacity=4)
        self.now_s: float = 0
        self.numbers = itertools.count()
        self.waiting: list[tickets.Ticket] = []
        self.held: list[tuple[tickets.Ticket, float]] = []
        self.seen: set[str] = set()

    @stateful.rule(
        kind=strategies.sampled_from(KINDS),
        budget_s=strategies.floats(min_value=-1, max_value=20),
    )
    def offer(self, kind: work.Kind, budget_s: float) -> None:
        ticket = tickets.Ticket(
            id=str(next(self.numbers)),
            kind=kind,
            deadline_s=self.now_s + budget_s,
        )
        offered = self.policy.offer(ticket, self.now_s)
        same = [each for each in self.waiting if each.kind == kind]
        if isinstance(offered, result.Success):
            assert budget_s > 0
            assert len(same) < QUEUE_LIMIT
            self.waiting.append(ticket)
            return
        refusal = offered.failure()
        if isinstance(refusal, tickets.QueueFull):
            assert len(same) == QUEUE_LIMIT
        if isinstance(refusal, tickets.DeadlineUnmet):
            assert same
            assert refusal.retry_after_s > 0

    @stateful.rule()
    def grant(self) -> None:
        ticket = self.policy.next(self.now_s)
        live = [each for each in self.waiting if each.deadline_s > self.now_s]
        if ticket is None:
            assert not live
            return
        oldest = [each for each in live if each.kind == ticket.kind][0]
        assert ticket == oldest
        assert ticket.id not in self.seen
        self.seen.add(ticket.id)
        self.waiting.remove(ticket)
        self.held.append((ticket, self.now_s))

    @stateful.rule(number=strategies.integers(0, 9))
    def finish(self, number: int) -> None:
        if number >= len(self.held):
            return
        ticket, granted_s = self.held.pop(number)
        self.policy.finished(ticket.kind, granted_s, self.now_s)

    @stateful.rule(number=strategies.integers(0, 60))
    def cancel(self, number: int) -> None:
        found = [each for each in self.waiting if each.id == str(number)]
        assert self.policy.cancel(str(number)) == bool(found)
        self.waiting = [each for each in self.waiting if each not in found]

    @stateful.rule(seconds=strategies.floats(min_value=0, max_value=5))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @stateful.rule()
    def expire(self) -> None:
        dropped = self.policy.expire(self.now_s)
        late = [each for each in self.waiting if each.deadline_s <= self.now_s]
        assert sorted(each.id for each in dropped) == sorted(
            each.id for each in late
        )
        self.waiting = [each for each in self.waiting if each not in late]

    @stateful.invariant()
    def nothing_is_lost(self) -> None:
        kept = {ticket.id for ticket in self.policy.queues}
        expired = {
            each.id for each in self.waiting if each.deadline_s <= self.now_s
        }
        assert kept | expired == {each.id for each in self.waiting}


class FifoMachine(QueueMachine):
    policy_name = 'fifo'


class StrictMachine(QueueMachine):
    policy_name = 'strict'


def test_fair_queue_agrees_with_a_list() -> None:
    stateful.run_state_machine_as_test(QueueMachine, settings=SETTINGS)


def test_fifo_queue_agrees_with_a_list() -> None:
    stateful.run_state_machine_as_test(FifoMachine, settings=SETTINGS)


def test_strict_queue_agrees_with_a_list() -> None:
    stateful.run_state_machine_as_test(StrictMachine, settings=SETTINGS)


def test_cancelled_tickets_leave_no_deadlines() -> None:
    kept = deadlines.Deadlines()
    for number in range(10_000):
        kept.add(tickets.Ticket(id=str(number), kind=KINDS[0], deadline_s=1e9))
        kept.sweep({'0'})
    assert len(kept) <= deadlines.SWEEP_MINIMUM + 2


load_tests = functions.loader(__name__)
