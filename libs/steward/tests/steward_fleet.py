"""A simulated fleet with faults, and an oracle that checks its versions."""

import asyncio
import dataclasses

import spare_checks
from returns import result

from jackdawlatch.membership import editor, operators, shards, spares
from jackdawlatch.model import clocks, failures, hosts, keys, presets, records
from jackdawlatch.standins import fakes
from jackdawlatch.steward import fleet_client, pass_runner

REBOOT_S = 40
SHARD = 'main'
POOLS = ('courier', 'desk')
SPARE = spare_checks.SPARE
WORKING = (hosts.Phase.DRAINING, hosts.Phase.REBOOTING)
LIVE = hosts.Liveness.LIVE
ACTIVE = hosts.Phase.ACTIVE


def preset(name, wanted, budget):
    return presets.Preset(
        name=name,
        pools_by_name={
            'courier': presets.PoolTarget(hosts=wanted, max_unavailable=1),
            'desk': presets.PoolTarget(hosts=wanted, max_unavailable=budget),
            SPARE: presets.PoolTarget(hosts=4),
        },
    )


def configuration(in_force='ordinary', budget=2):
    return presets.Configuration(
        version=1,
        in_force=in_force,
        pools_by_name={
            name: presets.Pool(name=name, spare=name == SPARE)
            for name in (*POOLS, SPARE)
        },
        presets_by_name={
            'ordinary': preset('ordinary', 4, budget),
            'peak': preset('peak', 5, budget),
        },
    )


@dataclasses.dataclass
class Machine:
    host: hosts.Host
    up: bool = True
    up_from_s: float = 0
    leaving: bool = False
    in_use: int = 0
    reboots: int = 0


class Platform(fleet_client.FleetClient):
    """Simulated hosts; their list changes only when it is published."""

    def __init__(self, clock, racks=3, per_rack=4):
        self.clock = clock
        self.away = False
        self.interrupted = []
        self.before_state = None
        self.machines_by_id = {}
        for rack in range(racks):
            for number in range(per_rack):
                host = hosts.Host(
                    id=f'h{rack}{number}', zone=f'z{rack // 2}', rack=f'r{rack}'
                )
                self.machines_by_id[host.id] = Machine(host)
        self.publish()

    def publish(self, missing=()):
        self._listed = tuple(
            records.replace(
                machine.host,
                liveness=LIVE if self.up(machine) else hosts.Liveness.DEAD,
            )
            for machine in self.machines_by_id.values()
            if machine.host.id not in missing
        )

    def up(self, machine):
        return machine.up and self.clock.wall_s() >= machine.up_from_s

    async def list_hosts(self):
        await asyncio.sleep(0)
        if self.away:
            return result.Failure(failures.Problem(message='away'))
        return result.Success(self._listed)

    async def state(self, host):
        await asyncio.sleep(0)
        if self.before_state:
            await self.before_state()
        machine = self.machines_by_id[host.id]
        if not self.up(machine):
            return result.Failure(failures.Problem(message='down'))
        return result.Success(
            fleet_client.HostState(
                in_use=machine.in_use, leaving=machine.leaving
            )
        )

    async def drain(self, host):
        self.machines_by_id[host.id].leaving = True
        return result.Success(None)

    async def resume(self, host):
        self.machines_by_id[host.id].leaving = False
        return result.Success(None)

    async def reboot(self, host):
        machine = self.machines_by_id[host.id]
        if machine.in_use and self.up(machine):
            self.interrupted.append(host.id)
        machine.reboots += 1
        self._restart(machine)
        machine.up_from_s = self.clock.wall_s() + REBOOT_S
        return result.Success(None)

    def fail(self, host):
        self.machines_by_id[host].up = False

    def recover(self, host):
        machine = self.machines_by_id[host]
        if not machine.up:
            self._restart(machine)
        machine.up = True

    def _restart(self, machine):
        machine.leaving = False
        machine.in_use = 0


class Fleet:
    """Two stewards, operators and a platform that share one store."""

    def __init__(self, policy='hysteresis', budget=2, racks=3, per_rack=4):
        self.clock = clocks.ManualClock(1000)
        self.store = fakes.FakeStore(self.clock)
        self.platform = Platform(self.clock, racks, per_rack)
        self.budget = budget
        self.policy = spares.POLICIES_BY_NAME[policy](30)
        self.stewards = [
            pass_runner.Steward(
                editor.Editor(self.store, SHARD, self.clock),
                self.platform,
                self.clock,
                is_leader=lambda: True,
            )
            for _ in range(2)
        ]
        self.operators = operators.Operators(self.store, SHARD, self.clock)
        self.oracle = Oracle(self)
        self.configure('ordinary')

    def configure(self, in_force, budget=None):
        allowed = self.budget if budget is None else budget
        self.configuration = configuration(in_force, allowed)
        key = keys.CONFIG
        entry = self.store.content.get(key)
        revision = entry.revision if entry else 0
        stored = records.encode(self.configuration)
        self.store.content.put(key, stored, revision, '')

    @property
    def value(self):
        entry = self.store.content.get(shards.key(SHARD))
        if entry is None:
            return shards.Shard()
        return records.decode(entry.value, shards.Shard)

    def phase(self, host):
        return self.value.assignments_by_host[host].phase

    async def run(self, passes=1, step_s=1, which=0):
        for _ in range(passes):
            await self.run_pass(which)
            self.oracle.check()
            self.clock.advance(step_s)

    async def run_pass(self, which=0, seen=True):
        entry = self.store.content.get(shards.key(SHARD))
        return await self.stewards[which].run_pass(
            self.configuration,
            self.policy,
            entry.revision if entry and seen else 0,
        )

    async def settle(self, passes=40, step_s=5, which=0):
        """Run passes with a current host list before each one."""
        for _ in range(passes):
            self.platform.publish()
            await self.run(step_s=step_s, which=which)

    def settled(self):
        """Return whether all waves are done and all pools have their size."""
        value = self.value
        remaining = [wave.remaining for wave in value.waves_by_id.values()]
        sizes = [len(serving(value, pool)) for pool in (*POOLS, SPARE)]
        # A lazy policy may leave a surplus host in its pool.
        exact = self.policy.keeps_surplus(4, 0) or max(sizes) == 4
        whole = min(sizes[:2]) >= 4 and sum(sizes) == 12 and exact
        return whole and not any(remaining)


class Oracle:
    """Checks every stored version against the one before it, by counting."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.revision = 0
        self.before = shards.Shard()
        self.moves = 0

    def check(self):
        prefix = shards.key(SHARD)
        changes = self.fleet.store.content.changes(prefix, self.revision)
        self.revision = changes.revision
        for entry in changes.entries:
            after = records.decode(entry.value, shards.Shard)
            assert after.version == self.before.version + 1
            self._check_hosts(after)
            for pool in POOLS:
                self._check_budget(pool, after)
            self._check_waves(after)
            self.before = after
        assert not self.fleet.platform.interrupted

    def _check_hosts(self, after):
        assert after.hosts_by_id.keys() == after.assignments_by_host.keys()
        for host, now in after.assignments_by_host.items():
            was = self.before.assignments_by_host.get(host)
            if was is None or was.pool == now.pool:
                continue
            self.moves += 1
            failed = after.hosts_by_id[host].liveness is not LIVE
            assert failed or _has_left(was, now)
            assert now.phase is hosts.Phase.JOINING

    def _check_budget(self, pool, after):
        planned_out = {
            host
            for host in active(self.before, pool) - active(after, pool)
            if listed_live(after, host)
        }
        if not planned_out:
            return
        targets = self.fleet.configuration.preset.pools_by_name
        target = targets[pool]
        lacking = target.hosts - len(serving(after, pool))
        assert lacking <= target.max_unavailable, (pool, lacking, planned_out)

    def _check_waves(self, after):
        zones_by_pool = {}
        for host, now in after.assignments_by_host.items():
            if now.wave and now.phase in WORKING and not now.next_pool:
                zone = after.hosts_by_id[host].zone
                zones_by_pool.setdefault(now.pool, []).append(zone)
        for pool, zones in zones_by_pool.items():
            assert len(set(zones)) == 1, (pool, zones)
        now_s = self.fleet.clock.wall_s()
        spare_checks.check(self.before, after, now_s)
        for wave in after.waves_by_id.values():
            assert len({*wave.done, *wave.remaining}) == _size(wave)


def _size(wave):
    return len(wave.done) + len(wave.remaining)


def _has_left(was, now):
    return was.phase in WORKING and was.next_pool == now.pool


def active(value, pool):
    return {
        host
        for host, where in value.assignments_by_host.items()
        if where.pool == pool and where.phase is ACTIVE
    }


def listed_live(value, host):
    described = value.hosts_by_id.get(host)
    return described is not None and described.liveness is LIVE


def known_live(value, host):
    return listed_live(value, host) and host not in value.unknown_hosts


def serving(value, pool):
    return {host for host in active(value, pool) if known_live(value, host)}
