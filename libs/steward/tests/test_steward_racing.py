"""Concurrent stewards and operators under faults, checked by an oracle."""

import asyncio

import hypothesis
import steward_fleet
from hypothesis import stateful  # noqa: WPS458 settings are no module.
from hypothesis import strategies as st

from jackdawlatch.testing import functions

HOSTS = st.sampled_from(
    [f'h{rack}{number}' for rack in range(3) for number in range(4)]
)
POOLS = st.sampled_from((*steward_fleet.POOLS, steward_fleet.SPARE))
WHICH = st.integers(0, 1)
# Shrinking a long run takes minutes; the seed, which hypothesis derives from
# the source text of the class below, repeats the run without it.
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    stateful_step_count=40,
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Racing(stateful.RuleBasedStateMachine):  # noqa: WPS214 one a fault.
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.fleet = steward_fleet.Fleet()
        self._run(self.fleet.settle(passes=4))

    @stateful.initialize(policy=st.sampled_from(('hysteresis', 'lazy')))
    def choose_policy(self, policy):
        policies_by_name = steward_fleet.spares.POLICIES_BY_NAME
        self.fleet.policy = policies_by_name[policy](30)

    @stateful.rule(
        which=WHICH,
        passes=st.integers(1, 6),
        step_s=st.sampled_from((1, 10, 45)),
    )
    def pass_time(self, which, passes, step_s):
        self._run(self.fleet.run(passes, step_s, which))

    @stateful.rule(host=HOSTS, pool=POOLS, reboot=st.booleans())
    def move(self, host, pool, reboot):
        self._run(self.fleet.operators.move(host, pool, reboot))

    @stateful.rule(host=HOSTS, other=HOSTS, third=HOSTS)
    def race(self, host, other, third):
        fleet = self.fleet
        rival = steward_fleet.operators.Operators(
            fleet.store, steward_fleet.SHARD, fleet.clock
        )
        self._run(
            fleet.operators.drain(host),
            rival.drain(other),
            rival.move(third, steward_fleet.SPARE),
            fleet.run_pass(0),
            fleet.run_pass(1, seen=False),
        )

    @stateful.rule(which=WHICH, passes=st.integers(1, 4), host=HOSTS)
    def pause_before_write(self, which, passes, host):
        """Let a steward wake with a write that others have overtaken."""
        fleet = self.fleet

        async def overtake():
            fleet.store.before_put = None
            await fleet.run(passes, step_s=20, which=1 - which)
            await fleet.operators.drain(host)

        fleet.store.before_put = overtake
        self._run(fleet.run(which=which))
        fleet.store.before_put = None

    @stateful.rule(pool=st.sampled_from(('', *steward_fleet.POOLS)))
    def start_wave(self, pool):
        if len(self.fleet.value.waves_by_id) < 3:
            self._run(self.fleet.operators.start_wave(pool))

    @stateful.rule(halt=st.booleans(), data=st.data())
    def halt_wave(self, halt, data):
        waves = sorted(self.fleet.value.waves_by_id)
        if waves:
            wave = waves[data.draw(st.integers(0, len(waves) - 1))]
            operators = self.fleet.operators
            change = operators.halt_wave if halt else operators.resume_wave
            self._run(change(wave))

    @stateful.rule(host=HOSTS, up=st.booleans())
    def fail_host(self, host, up):
        self._fail(host, up)

    @stateful.rule(rack=st.integers(0, 2), up=st.booleans())
    def fail_rack(self, rack, up):
        for number in range(4):
            self._fail(f'h{rack}{number}', up)

    @stateful.rule(missing=st.sets(HOSTS, max_size=4))
    def publish(self, missing):
        self.fleet.platform.publish(missing)

    @stateful.rule(which=WHICH, step_s=st.sampled_from((1, 40)))
    def list_away(self, which, step_s):
        self.fleet.platform.away = True
        self._run(self.fleet.run(3, step_s, which))
        self.fleet.platform.away = False

    @stateful.rule(in_use=st.integers(0, 3))
    def load(self, in_use):
        for machine in self.fleet.platform.machines_by_id.values():
            accepts = machine.up and not machine.leaving
            machine.in_use = in_use if accepts else min(in_use, machine.in_use)

    @stateful.rule(which=WHICH)
    def store_down(self, which):
        self.fleet.store.down = True
        self._run(self.fleet.run(3, 10, which))
        self.fleet.store.down = False

    @stateful.rule(lost=st.integers(0, 2))
    def lose_replies(self, lost):
        self.fleet.store.lose_replies = lost

    @stateful.rule(name=st.sampled_from(('ordinary', 'peak')))
    def use_preset(self, name):
        self.fleet.configure(name)

    def teardown(self):
        try:
            self._recover()
        finally:
            self.loop.close()

    def _run(self, *works):
        async def together():
            await asyncio.gather(*works)

        self.loop.run_until_complete(together())
        self.fleet.oracle.check()

    def _fail(self, host, up):
        platform = self.fleet.platform
        (platform.recover if up else platform.fail)(host)

    def _recover(self):
        """Everything must come right once nothing fails any more."""
        fleet = self.fleet
        fleet.store.lose_replies = 0
        for host, machine in fleet.platform.machines_by_id.items():
            fleet.platform.recover(host)
            machine.in_use = 0
        fleet.configure('ordinary')
        for wave in fleet.value.waves_by_id:
            self._run(fleet.operators.resume_wave(wave))
        for _ in range(30):
            self._run(fleet.settle(passes=10, step_s=20))
            if fleet.settled():
                return
        raise AssertionError(f'not settled: {fleet.value}')


async def test_racing_stewards_and_operators() -> None:
    await asyncio.to_thread(
        stateful.run_state_machine_as_test, Racing, settings=SETTINGS
    )


load_tests = functions.loader(__name__)
