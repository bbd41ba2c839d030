"""The platform's load balancer: sends callers to ready entries."""

import asyncio

from jackdawlatch.backends import exchange
from jackdawlatch.standins import serving, testbed

PERIOD_S = 0.2
PROBE_TIMEOUT_S = 0.5


class LoadBalancer:
    """Polls the readiness of every entry and updates the caller's list."""

    def __init__(self, bed: testbed.Testbed) -> None:
        self._caller = bed.caller
        self._probes_by_entry = {
            f'http://{entry.http_address}': (
                f'http://{entry.operations_address}/readyz'
            )
            for entry in bed.deployment.entries_by_name.values()
        }
        self._client = exchange.Client()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            entries = tuple(self._probes_by_entry)
            ready = await asyncio.gather(
                *(self._is_ready(entry) for entry in entries)
            )
            self._caller.ready_entries = tuple(
                entry
                for entry, is_ready in zip(entries, ready, strict=True)
                if is_ready
            )
            await asyncio.sleep(PERIOD_S)

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def _is_ready(self, entry: str) -> bool:
        answered = await self._client.send(
            exchange.Outgoing(
                self._probes_by_entry[entry],
                timeout_s=PROBE_TIMEOUT_S,
                connect_timeout_s=PROBE_TIMEOUT_S,
            )
        )
        status = answered.map(lambda reply: reply.status).value_or(0)
        return status == serving.OK_STATUS
