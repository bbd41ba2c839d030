"""Hosts and their life cycle."""

import enum

from jackdawlatch.model import records


class Phase(enum.StrEnum):
    """The phase of a host within its pool."""

    ACTIVE = 'active'
    DRAINING = 'draining'
    REBOOTING = 'rebooting'
    JOINING = 'joining'


class Liveness(enum.StrEnum):
    """The state of a host in the platform's host list, which lags behind."""

    LIVE = 'live'
    LEAVING = 'leaving'
    DEAD = 'dead'


class Capacity(records.Record, frozen=True, kw_only=True):
    """The resources that a worker has or a job requests."""

    processors: float = 0
    memory_mb: float = 0
    accelerators: float = 0


class Host(records.Record, frozen=True, kw_only=True):
    """A host as the platform's host list describes it.

    ``runner`` and ``worker`` are base URLs of the two back ends on the host;
    ``control`` is the URL at which the platform reboots it.
    """

    id: str
    zone: str
    rack: str
    runner: str = ''
    worker: str = ''
    control: str = ''
    capacity: Capacity = Capacity()
    liveness: Liveness = Liveness.LIVE


class Assignment(records.Record, frozen=True, kw_only=True):
    """The pool a host belongs to, and its phase there.

    ``since_s`` is when the phase began, in seconds since the epoch.  ``wave``
    names the maintenance wave that drains the host, if any.  ``next_pool`` is
    set while the host is drained to move it to another pool.
    """

    pool: str
    phase: Phase = Phase.JOINING
    since_s: float = 0
    wave: str = ''
    next_pool: str = ''


class Membership(records.Versioned, frozen=True, kw_only=True):
    """The value of one shard, with each host in exactly one pool.

    ``hosts_by_id`` holds the description of each host next to its assignment,
    so that entries need no other source.
    """

    assignments_by_host: dict[str, Assignment] = {}
    hosts_by_id: dict[str, Host] = {}
    waves_by_id: dict[str, 'Wave'] = {}


class Wave(records.Record, frozen=True, kw_only=True):
    """A maintenance wave: hosts that are drained and rebooted in turn.

    ``reason`` says why the wave waits or is halted.
    """

    id: str
    pool: str
    remaining: tuple[str, ...] = ()
    done: tuple[str, ...] = ()
    halted: bool = False
    reason: str = ''
