"""The disruptions of a soak, with parameters from a seeded generator."""

import abc
import asyncio
import random
import types
from collections.abc import Mapping

from jackdawlatch.standins import (
    fault_injection,
    keyvalue_faults,
    outages,
    testbed,
)

PAUSED_S = 9.0
SHORT_S = 3.0
LONG_S = 8.0
REBOOT_S = 2.0
STOP_TIMEOUT_S = 25.0
MAX_SLOW_MS = 400
MAX_WAVE_NUMBER = 1_000_000


class Disruption(abc.ABC):
    """A fault that is removed again before ``run`` returns."""

    @abc.abstractmethod
    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Disrupt the deployment; return what was affected, for the log."""


class KilledDaemon(Disruption):
    """A daemon is killed and restarted with empty memory."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Kill and restart one daemon."""
        name = rng.choice(bed.daemon_names)
        async with bed.driver.lock(name), outage_log.record(name):
            bed.driver.kill(name)
            await asyncio.sleep(rng.uniform(0, SHORT_S))
            await bed.driver.start((name,))
        return name


class PausedDaemon(Disruption):
    """A daemon is paused for longer than its lease, then resumed."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Pause one daemon."""
        name = rng.choice(bed.daemon_names)
        async with bed.driver.lock(name), outage_log.record(name):
            bed.driver.pause(name)
            await asyncio.sleep(PAUSED_S)
            bed.driver.resume(name)
        return name


class StoreOutage(Disruption):
    """The store is down, with a random kind of outage."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Take the store down for a while."""
        outage = rng.choice(
            tuple(
                one
                for one in keyvalue_faults.Outage
                if one is not keyvalue_faults.Outage.NONE
            )
        )
        await fault_injection.set_store_faults(
            bed, keyvalue_faults.Faults(outage=outage)
        )
        await asyncio.sleep(rng.uniform(SHORT_S, LONG_S))
        await fault_injection.set_store_faults(bed, keyvalue_faults.Faults())
        return outage.value


class DegradedStore(Disruption):
    """The store is slow, and some of its replies are lost."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Degrade the store for a while."""
        faults = keyvalue_faults.Faults(
            slow_ms=rng.randint(0, MAX_SLOW_MS),
            lose_probability=rng.choice((0, 0.1, 0.5)),
            seed=rng.randint(0, MAX_SLOW_MS),
        )
        await fault_injection.set_store_faults(bed, faults)
        await asyncio.sleep(rng.uniform(SHORT_S, LONG_S))
        await fault_injection.set_store_faults(bed, keyvalue_faults.Faults())
        return f'{faults.slow_ms} ms, {faults.lose_probability} lost'


class LostRack(Disruption):
    """All runners and workers of one rack are killed and restarted."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Kill and restart the processes of one rack."""
        rack = rng.choice(bed.deployment.racks).name
        names = (f'runners-{rack}', f'workers-{rack}')
        # Always lock in the same order, to avoid a deadlock.
        async with bed.driver.lock(names[0]), bed.driver.lock(names[1]):
            async with outage_log.record(rack):
                for name in names:
                    bed.driver.kill(name)
                await asyncio.sleep(rng.uniform(0, LONG_S))
                await bed.driver.start(names)
        return rack


class LeavingTarget(Disruption):
    """A runner begins to leave; the host list shows it with a delay."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Drain one host for a while."""
        host = rng.choice(bed.deployment.hosts.hosts)
        await fault_injection.set_leaving(bed, host, leaving=True)
        await asyncio.sleep(rng.uniform(SHORT_S, LONG_S))
        await fault_injection.set_leaving(bed, host, leaving=False)
        return host.id


class RollingReplacement(Disruption):
    """Every entry in turn is stopped gracefully and restarted."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Restart all entries one by one."""
        names = bed.driver.names('entry')
        for name in names:
            async with bed.driver.lock(name):
                if not await bed.driver.stop(name, STOP_TIMEOUT_S):
                    return f'{name} did not stop within {STOP_TIMEOUT_S} s'
                await bed.driver.start((name,))
        return ', '.join(names)


class Wave(Disruption):
    """An operator starts a maintenance wave over one pool."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Start a wave; the stewards carry it out."""
        pool = rng.choice(bed.profile.services)
        name = f'wave-{rng.randint(0, MAX_WAVE_NUMBER)}'
        completed = await bed.operator.run(
            'wave', 'start', name, '--pool', pool
        )
        return f'{name} over {pool}: {completed.exit_status}'


DISRUPTIONS_BY_NAME: Mapping[str, Disruption] = types.MappingProxyType(
    {
        'killed daemon': KilledDaemon(),
        'paused daemon': PausedDaemon(),
        'store outage': StoreOutage(),
        'degraded store': DegradedStore(),
        'lost rack': LostRack(),
        'leaving target': LeavingTarget(),
        'rolling replacement': RollingReplacement(),
        'wave': Wave(),
    }
)
