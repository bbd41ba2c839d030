from hypothesis import stateful, strategies

from jackdawlatch.routing import health
from jackdawlatch.testing import functions

SETTINGS = stateful.Settings(
    derandomize=True, max_examples=80, stateful_step_count=80, deadline=None
)
HOSTS = tuple(f'runner-{number}' for number in range(6))


class HealthMachine(stateful.RuleBasedStateMachine):
    """Applies outcomes, probes and resizes of the pool in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.health = health.Health(0.34)
        self.now_s: float = 0
        self.hosts: tuple[str, ...] = HOSTS
        self.health.set_hosts(HOSTS)

    @stateful.rule(
        host=strategies.sampled_from(HOSTS),
        succeeded=strategies.booleans(),
        times=strategies.integers(1, 20),
    )
    def record(self, host: str, succeeded: bool, times: int) -> None:
        for _ in range(times):
            self.health.record(host, succeeded, self.now_s, self.now_s)

    @stateful.rule()
    def all_fail(self) -> None:
        for host in HOSTS * 10:
            self.health.record(host, False, self.now_s, self.now_s)

    @stateful.rule(count=strategies.integers(0, len(HOSTS)))
    def resize(self, count: int) -> None:
        self.hosts = HOSTS[:count]
        self.health.set_hosts(self.hosts)

    @stateful.rule()
    def probe(self) -> None:
        for host in self.health.due_for_probe(self.now_s):
            assert not self.health.is_usable(host)
            self.health.start_probe(host, self.now_s)
            assert host not in self.health.due_for_probe(self.now_s)

    @stateful.rule(seconds=strategies.floats(min_value=0, max_value=40))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @stateful.invariant()
    def ejected_hosts_stay_within_the_cap(self) -> None:
        usable = [host for host in self.hosts if self.health.is_usable(host)]
        ejected = len(self.hosts) - len(usable)
        assert ejected <= 0.34 * len(self.hosts)
        assert usable or not self.hosts


def test_ejection_never_exceeds_the_cap() -> None:
    stateful.run_state_machine_as_test(HealthMachine, settings=SETTINGS)


def test_runner_is_ejected_until_a_probe_succeeds() -> None:
    pool_health = health.Health(0.34)
    pool_health.set_hosts(HOSTS)
    for _ in range(10):
        pool_health.record(HOSTS[0], False, 0, 0)
    assert pool_health.ejected == {HOSTS[0]}
    assert not pool_health.due_for_probe(0.5)
    assert pool_health.due_for_probe(1) == [HOSTS[0]]
    pool_health.start_probe(HOSTS[0], 1)
    pool_health.record(HOSTS[0], True, 0, 1)
    assert not pool_health.is_usable(HOSTS[0])
    pool_health.record(HOSTS[0], False, 1, 1)
    assert not pool_health.due_for_probe(2.5)
    pool_health.start_probe(HOSTS[0], 3)
    pool_health.record(HOSTS[0], True, 3, 3)
    assert pool_health.is_usable(HOSTS[0])


load_tests = functions.loader(__name__)
