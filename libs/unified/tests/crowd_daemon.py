"""The daemon's process, with the memory and descriptors that it uses."""

import json
import os
import pathlib
import re
import sys
from typing import Any

import crowd_clients
import unified_bench

from jackdawlatch.backends import exchange
from jackdawlatch.standins import processes
from jackdawlatch.testing import waiting
from jackdawlatch.unified import settings as unified_settings

KILOBYTE = 1024


class Daemon:
    """The daemon's process, its addresses and what it uses."""

    def __init__(
        self,
        process: processes.Process,
        settings: unified_settings.Unified,
    ) -> None:
        self.process = process
        self._memory_mb = settings.host.memory_mb
        self._descriptors = settings.host.descriptors
        self.front = int(settings.front_address.rpartition(':')[2])
        self.ready = int(settings.ready_address.rpartition(':')[2])
        self.metrics = settings.metrics_port
        self.peak_mb: float = 0
        self.peak_descriptors = 0
        self._client = exchange.Client(4)

    def sample(self) -> None:
        """Update the peaks; unread bytes of connections count as memory."""
        proc = pathlib.Path('/proc') / str(self.process.pid)
        status = (proc / 'status').read_text()
        resident_kb = re.search(r'VmHWM:\s+(\d+)', status)[1]
        used_mb = int(resident_kb) / KILOBYTE + self._unread_mb(proc)
        self.peak_mb = max(self.peak_mb, used_mb)
        self.peak_descriptors = max(
            self.peak_descriptors, len(list((proc / 'fd').iterdir()))
        )

    async def answers(self) -> bool:
        """Return whether an ordinary job is accepted over a new connection."""
        return await self._succeeds(
            f'http://{crowd_clients.LOOPBACK}:{self.front}{unified_bench.PATH}',
            method='POST',
            body=json.dumps(dict(unified_bench.BODY)).encode(),
            headers=(('Host', 'host.example'), ('Connection', 'close')),
        )

    async def is_ready(self) -> bool:
        """Return whether the load balancer's check succeeds."""
        return await self._succeeds(
            f'http://{crowd_clients.LOOPBACK}:{self.ready}/ready'
        )

    async def check(self) -> None:
        """Check the use of memory and descriptors, and an ordinary request."""
        self.sample()
        if 'CROWD_REPORT' in os.environ:
            sys.stderr.write(
                f'{self.peak_mb:.1f} MB, {self.peak_descriptors} descriptors\n'
            )
        assert self.process.exit_status is None, self.process.output_tail()
        assert self.peak_mb <= self._memory_mb, f'{self.peak_mb:.0f} MB'
        assert self.peak_descriptors <= self._descriptors, self.peak_descriptors
        await waiting.until(self.answers)
        await waiting.until(self.is_ready)

    async def _succeeds(self, url: str, **details: Any) -> bool:
        sent = await self._client.send(exchange.Outgoing(url, **details))
        return sent.map(lambda reply: reply.status).value_or(0) == 200

    def _unread_mb(self, proc: pathlib.Path) -> float:
        lines = (proc / 'net/tcp').read_text().splitlines()[1:]
        listening = {self.front, self.ready, self.metrics}
        unread = 0
        for fields in map(str.split, lines):
            if int(fields[1].rpartition(':')[2], 16) in listening:
                unread += int(fields[4].rpartition(':')[2], 16)
        return unread / KILOBYTE / KILOBYTE
