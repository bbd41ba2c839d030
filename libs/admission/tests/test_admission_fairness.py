import heapq
import itertools
import random
import types

from jackdawlatch.admission import fair, policies, tickets
from jackdawlatch.model import presets, shares, work
from jackdawlatch.testing import functions

SLOTS = 8
MAX_HOLD_S = 0.5
RUN_S = 60.0
CHECK_S = 10.0
SEEDS = range(5)
WEIGHTS_BY_TEAM = types.MappingProxyType(
    {'desk': 4.0, 'courier': 2.0, 'ledger': 1.0}
)
KINDS = tuple(
    work.Kind(service='match', team=team, urgency=urgency)
    for team in WEIGHTS_BY_TEAM
    for urgency in (work.Urgency.URGENT, work.Urgency.BATCH)
)
PRESET = presets.Preset(
    name='test',
    shares=tuple(
        presets.Share(team=team, weight=weight)
        for team, weight in WEIGHTS_BY_TEAM.items()
    ),
)


class Run:
    """Keeps some kinds backlogged and the slots full, in virtual time."""

    def __init__(self, seed: int, kinds: tuple[work.Kind, ...]) -> None:
        self.random = random.Random(seed)
        self.kinds = kinds
        self.policy = policies.create(PRESET, SLOTS)
        self.now_s: float = 0
        self.ends: list[tuple[float, int, work.Kind, float]] = []
        self.used_s_by_kind: dict[work.Kind, float] = dict.fromkeys(KINDS, 0)
        self.max_hold_s = MAX_HOLD_S
        self.numbers = itertools.count()
        # Each kind's true hold times differ tenfold and more.
        self.mean_s_by_kind = {
            kind: self.random.choice((0.04, 0.1, 0.4)) for kind in KINDS
        }

    def step(self) -> None:
        """Fill the queues and the slots, then let the next hold end."""
        for waiting in self.kinds:
            while self.policy.queues.length(waiting) < SLOTS:
                self._offer(waiting)
        while len(self.ends) < SLOTS:
            self._grant()
        self.now_s, _, kind, granted_s = heapq.heappop(self.ends)
        self.policy.finished(kind, granted_s, self.now_s)
        self.used_s_by_kind[kind] += self.now_s - granted_s

    def until(self, end_s: float) -> dict[work.Kind, float]:
        """Run until a time; return the slot-seconds used since the last."""
        before = dict(self.used_s_by_kind)
        while self.now_s < end_s:
            self.step()
        return {
            kind: self.used_s_by_kind[kind] - before[kind] for kind in KINDS
        }

    def _offer(self, kind: work.Kind) -> None:
        ticket = tickets.Ticket(
            id=str(next(self.numbers)), kind=kind, deadline_s=1e9
        )
        self.policy.offer(ticket, self.now_s)

    def _grant(self) -> None:
        ticket = self.policy.next(self.now_s)
        assert ticket
        mean_s = self.mean_s_by_kind[ticket.kind]
        hold_s = min(self.max_hold_s, self.random.expovariate(1 / mean_s))
        end_s = self.now_s + hold_s
        heapq.heappush(
            self.ends, (end_s, next(self.numbers), ticket.kind, self.now_s)
        )


def _bound_s(weight: float) -> float:
    # Virtual times of backlogged kinds stay within the lead of the urgent
    # and one hold in every slot; a window has that lag at both its ends.
    lightest = min(WEIGHTS_BY_TEAM.values())
    spread_s = fair.URGENT_LEAD_S + SLOTS * MAX_HOLD_S / lightest
    return 2 * weight * spread_s


def test_backlogged_kinds_get_their_share() -> None:
    for seed in SEEDS:
        _check_shares(seed, KINDS)


def test_share_of_absent_kinds_is_lent_by_weight() -> None:
    for seed in SEEDS:
        _check_shares(seed, KINDS[:3])


def _check_shares(seed: int, kinds: tuple[work.Kind, ...]) -> None:
    run = Run(seed, kinds)
    for window in range(int(RUN_S / CHECK_S)):
        used_s_by_kind = run.until((window + 1) * CHECK_S)
        for kind in kinds:
            assert used_s_by_kind[kind] >= _least_s(kinds, kind, CHECK_S)
    for kind in kinds:
        assert run.used_s_by_kind[kind] >= _least_s(kinds, kind, RUN_S)


def test_idle_time_earns_no_credit() -> None:
    run = Run(1, KINDS[:4])
    run.until(10)
    run.kinds = KINDS[:3]
    run.until(160)
    run.kinds = KINDS[:4]
    used_s_by_kind = run.until(180)
    for kind in run.kinds:
        assert used_s_by_kind[kind] >= _least_s(run.kinds, kind, 20)


def test_debt_of_overlong_holds_is_bounded() -> None:
    run = Run(2, KINDS[:2])
    run.until(10)
    debtor = KINDS[0]
    for _ in range(SLOTS):
        run.policy.granted(debtor, run.now_s - 300)
        run.policy.finished(debtor, run.now_s - 300, run.now_s, typical=False)
    _drain(run)
    used_s_by_kind = run.until(run.now_s + 20)
    slack_s = WEIGHTS_BY_TEAM[debtor.team] * fair.MAX_DEBT_S
    least_s = _least_s(run.kinds, debtor, 20) - slack_s
    assert used_s_by_kind[debtor] >= least_s


def test_held_slots_are_charged_before_release() -> None:
    stuck = KINDS[3]
    run = Run(3, (KINDS[1], stuck))
    run.until(10)
    run.mean_s_by_kind[stuck] = 1e9
    run.max_hold_s = 1e9
    run.until(20)
    fair_slots = SLOTS * 2 / 6
    assert run.policy.held(stuck) <= fair_slots + 2


def _drain(run: Run) -> None:
    for ticket in tuple(run.policy.queues):
        run.policy.cancel(ticket.id)


def _least_s(
    kinds: tuple[work.Kind, ...], kind: work.Kind, window_s: float
) -> float:
    weights = shares.Weights(PRESET.shares)
    weight = weights.weight(kind)
    total = sum(weights.weight(each) for each in kinds)
    return SLOTS * window_s * weight / total - _bound_s(weight)


load_tests = functions.loader(__name__)
