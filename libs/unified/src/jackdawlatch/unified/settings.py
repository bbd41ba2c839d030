"""Settings of the unified daemon, which are read from a JSON file."""

from typing import Annotated

import msgspec
from returns import result

from jackdawlatch.model import records
from jackdawlatch.settings import loading

Positive = Annotated[float, msgspec.Meta(gt=0)]
Bytes = Annotated[int, msgspec.Meta(ge=1024)]


class Bounds(records.StrictRecord, frozen=True, kw_only=True):
    """The documented limits of the platform.

    ``lease_ms`` is the longest lease of a worker and ``stop_ms`` the longest
    time that it takes to stop a run.  Workers update their registration every
    ``report_ms``.  ``drain_s`` is the grace period between SIGTERM and the kill
    of a daemon.  Ended jobs are kept for ``retention_s``.
    ``maintenance_s`` and ``migration_s`` are how long maintenance and a move of
    a machine take; the platform accepts ``moves_per_s`` moves a second.
    """

    lease_ms: int
    stop_ms: int
    report_ms: int
    drain_s: float
    retention_s: float
    maintenance_s: float
    migration_s: float
    moves_per_s: float


class Host(records.StrictRecord, frozen=True, kw_only=True):
    """Resources of the daemon's host.

    The daemon may use the fraction ``processor_share`` of each processor,
    ``memory_mb`` of memory, and ``descriptors`` open files and connections.
    """

    processors: int
    processor_share: float
    link_mbps: float
    memory_mb: Positive = 300
    descriptors: Annotated[int, msgspec.Meta(ge=1)] = 4100

    @property
    def cores(self) -> float:
        """The available processing power, in whole processors."""
        return self.processors * self.processor_share


class Limits(records.StrictRecord, frozen=True, kw_only=True):
    """What clients may use; the defaults exceed the documented limits.

    ``reserve_mb`` and ``reserved_descriptors`` are kept for everything else in
    the daemon.  A client has ``header_timeout_s`` from the first byte of a
    request to the end of its headers, and may then be silent for
    ``idle_timeout_s``, as between two requests.  A body that takes longer than
    that has to arrive with ``min_bytes_per_s`` on average.
    ``receive_buffer_bytes`` is the size of a connection's kernel buffer.

    The store, and the workers and other services together, have
    ``replies_mb`` each for the replies that are being read from them.  One reply
    may have ``max_reply_bytes``.
    """

    reserve_mb: Positive = 100
    reserved_descriptors: Annotated[int, msgspec.Meta(ge=0)] = 1200
    max_body_bytes: Bytes = 262_144
    max_header_bytes: Bytes = 20_480
    header_timeout_s: Positive = 5
    idle_timeout_s: Positive = 20
    min_bytes_per_s: Positive = 1024
    receive_buffer_bytes: Bytes = 16_384
    replies_mb: Positive = 16
    max_reply_bytes: Bytes = 4_194_304


class Unified(records.StrictRecord, frozen=True, kw_only=True):
    """Settings of the daemon; addresses are ``host:port``.

    The optional addresses of the machine and advice services may be empty if
    the daemon does not use them.
    """

    name: str
    zone: str
    front_address: str
    ready_address: str
    metrics_port: int
    store_address: str
    machines_address: str = ''
    advice_address: str = ''
    host: Host
    bounds: Bounds
    limits: Limits = Limits()


def check(
    settings: Unified, source: str
) -> result.Result[Unified, loading.SettingsInvalid]:
    """Check that the required addresses have a port."""
    addresses_by_field = {
        'front_address': settings.front_address,
        'ready_address': settings.ready_address,
        'store_address': settings.store_address,
    }
    for field, address in addresses_by_field.items():
        if not address.rpartition(':')[2].isdigit():
            return result.Failure(loading.invalid(source, field, 'host:port'))
    return result.Success(settings)
