"""Switches the stand-ins of a running deployment."""

from jackdawlatch.model import hosts, records
from jackdawlatch.standins import bench, hostlist, keyvalue_faults, serving


async def store(on: bench.Bench, faults: keyvalue_faults.Faults) -> None:
    """Put faults of the store in force."""
    url = f'http://{serving.LOOPBACK}:{on.deployment.store.port}'
    await on.driver.switch(f'{url}/-/faults', faults)


async def leave(on: bench.Bench, host: hosts.Host, leaving: bool) -> None:
    """Let a host begin to leave, or come back."""
    action = 'drain' if leaving else 'resume'
    await on.driver.switch(f'{host.runner}/-/{action}', records.Record())
    liveness = hosts.Liveness.LEAVING if leaving else hosts.Liveness.LIVE
    url = f'http://{serving.LOOPBACK}:{on.deployment.hosts.port}'
    await on.driver.switch(
        f'{url}/-/hosts/{host.id}', hostlist.Liveness(liveness=liveness)
    )
