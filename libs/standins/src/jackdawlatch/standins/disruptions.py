"""What goes wrong in a soak: one seeded disruption after another."""

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
MAX_WAVES = 1_000_000


class Disruption(abc.ABC):
    """Something that goes wrong, and is mended before it returns."""

    @abc.abstractmethod
    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Disrupt; return to whom it was done."""


class KilledDaemon(Disruption):
    """A daemon is killed and started anew with empty memory."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Kill one daemon."""
        name = rng.choice(bed.daemon_names)
        async with bed.driver.lock(name), outage_log.record(name):
            bed.driver.kill(name)
            await asyncio.sleep(rng.uniform(0, SHORT_S))
            await bed.driver.start((name,))
        return name


class PausedDaemon(Disruption):
    """A daemon is paused for longer than its lease, and wakes."""

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
    """The store is down, in one of several ways."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Take the store away for a while."""
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
    """All runners and workers of one rack are killed, and come back."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Kill the processes of one rack."""
        rack = rng.choice(bed.deployment.racks).name
        names = (f'runners-{rack}', f'workers-{rack}')
        # Both locks are always taken in the same order.
        async with bed.driver.lock(names[0]), bed.driver.lock(names[1]):
            async with outage_log.record(rack):
                for name in names:
                    bed.driver.kill(name)
                await asyncio.sleep(rng.uniform(0, LONG_S))
                await bed.driver.start(names)
        return rack


class LeavingTarget(Disruption):
    """A runner begins to leave, and the list of hosts tells of it late."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Let one host leave for a while."""
        host = rng.choice(bed.deployment.hosts.hosts)
        await fault_injection.set_leaving(bed, host, leaving=True)
        await asyncio.sleep(rng.uniform(SHORT_S, LONG_S))
        await fault_injection.set_leaving(bed, host, leaving=False)
        return host.id


class RollingReplacement(Disruption):
    """Every entry in turn is stopped gracefully and started anew."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Replace all entries."""
        names = bed.driver.names('entry')
        for name in names:
            async with bed.driver.lock(name):
                if not await bed.driver.stop(name, STOP_TIMEOUT_S):
                    return f'{name} did not stop'
                await bed.driver.start((name,))
        return ', '.join(names)


class Wave(Disruption):
    """Operators start a maintenance wave over one pool."""

    async def run(
        self,
        bed: testbed.Testbed,
        rng: random.Random,
        outage_log: outages.OutageLog,
    ) -> str:
        """Start a wave, and leave it to the stewards."""
        pool = rng.choice(bed.profile.services)
        name = f'wave-{rng.randint(0, MAX_WAVES)}'
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
