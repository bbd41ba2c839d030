"""Racing stewards and operators under faults, against a simple oracle."""

import asyncio

import hypothesis
import steward_fleet
from hypothesis import stateful
from hypothesis import strategies as some

from jackdawlatch.testing import functions

HOSTS = some.sampled_from([f'h{r}{n}' for r in range(3) for n in range(4)])
POOLS = some.sampled_from((*steward_fleet.POOLS, steward_fleet.SPARE))
WHICH = some.integers(0, 1)
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Racing(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.fleet = steward_fleet.Fleet()
        self._do(self.fleet.settle(passes=4))

    def _do(self, *works):
        async def together():
            await asyncio.gather(*works)

        self.loop.run_until_complete(together())
        self.fleet.oracle.check()

    @stateful.rule(which=WHICH, seconds=some.sampled_from((0, 1, 35, 120)))
    def pass_time(self, which, seconds):
        self.fleet.clock.advance(seconds)
        self._do(self.fleet.run(which=which))

    @stateful.rule(host=HOSTS, pool=POOLS, reboot=some.booleans())
    def move(self, host, pool, reboot):
        self._do(self.fleet.operators.move(host, pool, reboot))

    @stateful.rule(host=HOSTS, other=HOSTS, third=HOSTS)
    def race(self, host, other, third):
        fleet = self.fleet
        rival = steward_fleet.operators.Operators(
            fleet.store, steward_fleet.SHARD, fleet.clock
        )
        self._do(
            fleet.operators.drain(host),
            rival.drain(other),
            rival.move(third, steward_fleet.SPARE),
            *(
                one.run_pass(fleet.configuration, fleet.policy)
                for one in fleet.stewards
            ),
        )

    @stateful.rule(which=WHICH, passes=some.integers(1, 4), host=HOSTS)
    def pause_before_write(self, which, passes, host):
        """Let a steward wake with a write that others have overtaken."""
        fleet = self.fleet

        async def overtake():
            fleet.store.before_put = None
            await fleet.run(passes, step_s=20, which=1 - which)
            await fleet.operators.drain(host)

        fleet.store.before_put = overtake
        self._do(fleet.run(which=which))
        fleet.store.before_put = None

    @stateful.rule(pool=some.sampled_from(('', *steward_fleet.POOLS)))
    def start_wave(self, pool):
        if len(self.fleet.value.waves_by_id) < 3:
            self._do(self.fleet.operators.start_wave(pool))

    @stateful.rule(halt=some.booleans(), data=some.data())
    def halt_wave(self, halt, data):
        waves = sorted(self.fleet.value.waves_by_id)
        if waves:
            wave = waves[data.draw(some.integers(0, len(waves) - 1))]
            operators = self.fleet.operators
            change = operators.halt_wave if halt else operators.resume_wave
            self._do(change(wave))

    @stateful.rule(host=HOSTS, up=some.booleans())
    def fail_host(self, host, up):
        platform = self.fleet.platform
        (platform.recover if up else platform.fail)(host)

    @stateful.rule(rack=some.integers(0, 2))
    def fail_rack(self, rack):
        for number in range(4):
            self.fleet.platform.fail(f'h{rack}{number}')

    @stateful.rule(away=some.booleans())
    def publish(self, away):
        self.fleet.platform.publish()
        self.fleet.platform.away = away

    @stateful.rule(host=HOSTS, in_use=some.integers(0, 3))
    def load(self, host, in_use):
        machine = self.fleet.platform.machines_by_id[host]
        accepts = machine.up and not machine.leaving
        machine.in_use = in_use if accepts else min(in_use, machine.in_use)

    @stateful.rule(down=some.booleans(), lost=some.integers(0, 2))
    def store_fault(self, down, lost):
        self.fleet.store.down = down
        self.fleet.store.lose_replies = lost

    @stateful.rule(name=some.sampled_from(('ordinary', 'peak')))
    def use_preset(self, name):
        self.fleet.configure(name)

    def teardown(self):
        try:
            self._recover()
        finally:
            self.loop.close()

    def _recover(self):
        """Everything must come right once nothing fails any more."""
        fleet = self.fleet
        fleet.store.down = False
        fleet.store.lose_replies = 0
        fleet.platform.away = False
        for host, machine in fleet.platform.machines_by_id.items():
            fleet.platform.recover(host)
            machine.in_use = 0
        fleet.configure('ordinary')
        for wave in fleet.value.waves_by_id:
            self._do(fleet.operators.resume_wave(wave))
        self._do(fleet.settle(passes=250, step_s=20))
        value = fleet.value
        for wave in value.waves_by_id.values():
            assert not wave.remaining, (wave, value.assignments_by_host)
        for pool in steward_fleet.POOLS:
            assert len(steward_fleet.serving(value, pool)) == 4, pool
        assert len(steward_fleet.serving(value, steward_fleet.SPARE)) == 4


async def test_racing_stewards_and_operators() -> None:
    await asyncio.to_thread(
        stateful.run_state_machine_as_test, Racing, settings=SETTINGS
    )


load_tests = functions.loader(__name__)
