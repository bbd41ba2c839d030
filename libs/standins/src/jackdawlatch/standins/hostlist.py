"""The stand-in of the platform's host list, which lags behind."""

import asyncio
import collections
from typing import Annotated

import msgspec
from returns import result
from tornado import web

from jackdawlatch.backends import exchange
from jackdawlatch.model import clocks, records
from jackdawlatch.model import hosts as machines
from jackdawlatch.standins import fake_platform, runner_state, serving

DOWN_STATUS = 503

Seconds = Annotated[float, msgspec.Meta(ge=0, le=serving.MAX_REBOOT_S)]


class Settings(records.StrictRecord, frozen=True, kw_only=True):
    """The hosts; the list lags by ``lag_ms``, reboots take ``reboot_s``."""

    port: runner_state.Port = 0
    hosts: tuple[machines.Host, ...] = ()
    lag_ms: runner_state.Milliseconds = 1000
    reboot_s: Seconds = 2

    def __post_init__(self) -> None:
        """Refuse a host that is listed twice.

        msgspec reports the ``ValueError`` as a validation error.
        """
        counts = collections.Counter(host.id for host in self.hosts)
        twice = [host for host, count in counts.items() if count > 1]
        if twice:
            raise ValueError(f'hosts lists the id {twice[0]} twice')


class Liveness(records.StrictRecord, frozen=True, kw_only=True):
    """The liveness to list a host with."""

    liveness: machines.Liveness


class Faults(records.StrictRecord, frozen=True, kw_only=True):
    """The faults in force; ``down`` fails every read of the list."""

    down: bool = False


class Platform:
    """The host list, and the reboots of its hosts."""

    def __init__(self, settings: Settings) -> None:
        self.list = fake_platform.FakeHostList(
            settings.hosts,
            clocks.SystemClock(),
            settings.lag_ms / serving.MS_PER_S,
        )
        self.hosts_by_id = {host.id: host for host in settings.hosts}
        self._reboot_s = settings.reboot_s
        self._client = exchange.Client()
        self._reboots: set[asyncio.Task[None]] = set()

    def reboot(self, host: machines.Host) -> None:
        """Reboot a host in the background."""
        task = asyncio.create_task(self._reboot(host))
        self._reboots.add(task)
        task.add_done_callback(self._reboots.discard)

    async def _reboot(self, host: machines.Host) -> None:
        self.list.set_liveness(host.id, machines.Liveness.DEAD)
        body = msgspec.json.encode(serving.Reboot(seconds=self._reboot_s))
        for url in filter(None, (host.runner, host.worker)):
            await self._client.send(
                exchange.Outgoing(f'{url}/-/reboot', method='POST', body=body)
            )
        await asyncio.sleep(self._reboot_s + serving.REBOOT_DELAY_S)
        self.list.set_liveness(host.id, machines.Liveness.LIVE)


class Server(serving.Server):
    """Serves ``/hosts``, reboots, and the test controls below ``/-/``."""

    def __init__(self, settings: Settings) -> None:
        self.platform = Platform(settings)
        context = {'platform': self.platform}
        super().__init__(
            [
                web.url('/hosts', HostsHandler, context),
                web.url('/hosts/([^/]+)/reboot', RebootHandler, context),
                web.url('/-/hosts/([^/]+)', LivenessHandler, context),
                web.url('/-/faults', FaultsHandler, context),
            ],
            settings.port,
        )


class PlatformHandler(serving.Handler):
    """A handler with access to the platform."""

    def initialize(self, platform: Platform) -> None:
        """Store the platform passed by the URL rule."""
        self.platform = platform

    def find_host(self, host_id: str) -> machines.Host:
        """Return a host; raises a 404 if it is unknown."""
        host = self.platform.hosts_by_id.get(host_id)
        if host is None:
            raise web.HTTPError(serving.NOT_FOUND_STATUS)
        return host


class HostsHandler(PlatformHandler):
    """Shows the list."""

    async def get(self) -> None:
        """Answer every host, or 503 if the list is down."""
        listed = await self.platform.list.read()
        if isinstance(listed, result.Success):
            self.finish_json(listed.unwrap())
        else:
            self.set_status(DOWN_STATUS)
            self.finish()


class RebootHandler(PlatformHandler):
    """Reboots a host."""

    def post(self, host_id: str) -> None:
        """Start the reboot; answers 202."""
        self.platform.reboot(self.find_host(host_id))
        self.set_status(serving.ACCEPTED_STATUS)
        self.finish()


class LivenessHandler(PlatformHandler):
    """Changes the listed liveness of a host."""

    def post(self, host_id: str) -> None:
        """Set the liveness; the list shows it after its lag."""
        request = self.read_json(Liveness)
        self.platform.list.set_liveness(
            self.find_host(host_id).id, request.liveness
        )
        self.finish_json(request)


class FaultsHandler(PlatformHandler):
    """Sets the faults."""

    def post(self) -> None:
        """Replace the faults by the posted ones."""
        faults = self.read_json(Faults)
        self.platform.list.down = faults.down
        self.finish_json(faults)
