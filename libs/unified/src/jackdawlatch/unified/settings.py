"""The settings of the unified daemon, a JSON file."""

from returns import result

from jackdawlatch.model import records
from jackdawlatch.settings import loading


class Bounds(records.StrictRecord, frozen=True, kw_only=True):
    """The platform's documented bounds.

    ``lease_ms`` is the longest lease of a worker, ``stop_ms`` how long a stop
    takes at most, ``drain_s`` how long a stopped daemon may go on.
    """

    lease_ms: int
    stop_ms: int
    drain_s: float
    retention_s: float
    maintenance_s: float
    migration_s: float
    moves_per_s: float


class Host(records.StrictRecord, frozen=True, kw_only=True):
    """What the daemon's host has: ``processor_share`` of each processor."""

    processors: int
    processor_share: float
    link_mbps: float

    @property
    def cores(self) -> float:
        """The processors of full speed that the shares come to."""
        return self.processors * self.processor_share


class Unified(records.StrictRecord, frozen=True, kw_only=True):
    """Addresses are ``host:port``; an empty one is not used."""

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


def check(
    settings: Unified, source: str
) -> result.Result[Unified, loading.SettingsInvalid]:
    """Check that every address has a port."""
    addresses_by_field = {
        'front_address': settings.front_address,
        'ready_address': settings.ready_address,
        'store_address': settings.store_address,
    }
    for field, address in addresses_by_field.items():
        if not address.rpartition(':')[2].isdigit():
            return result.Failure(loading.invalid(source, field, 'host:port'))
    return result.Success(settings)
