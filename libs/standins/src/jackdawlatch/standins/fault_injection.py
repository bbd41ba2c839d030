"""Sets faults in the stand-ins of a running deployment."""

from jackdawlatch.model import hosts, records
from jackdawlatch.standins import hostlist, keyvalue_faults, serving, testbed


async def set_store_faults(
    bed: testbed.Testbed, faults: keyvalue_faults.Faults
) -> None:
    """Replace the store's faults."""
    url = f'http://{serving.LOOPBACK}:{bed.deployment.store.port}'
    await bed.driver.post(f'{url}/-/faults', faults)


async def set_leaving(
    bed: testbed.Testbed, host: hosts.Host, leaving: bool
) -> None:
    """Start or end a host's drain, on its runner and in the host list."""
    action = 'drain' if leaving else 'resume'
    await bed.driver.post(f'{host.runner}/-/{action}', records.Record())
    liveness = hosts.Liveness.LEAVING if leaving else hosts.Liveness.LIVE
    url = f'http://{serving.LOOPBACK}:{bed.deployment.hosts.port}'
    await bed.driver.post(
        f'{url}/-/hosts/{host.id}', hostlist.Liveness(liveness=liveness)
    )
