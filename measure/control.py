"""Control overhead of a daemon: imported modules, and state by its size."""

import re
import subprocess  # noqa: S404 starts interpreters to measure their imports.
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

from jackdawlatch.membership import shards
from jackdawlatch.model import hosts, presets, records
from jackdawlatch.node import gossip, roster
from jackdawlatch.peers import frames
from measure import base

KB = 1024
MS_PER_S = 1000
SIZES = (100, 1000, 10_000)
PEER_SIZES = (21, 100, 336)
TEAM_SIZES = (11, 110, 1100)
REPEATS = 5
MEMORY_SCRIPT = """
import importlib, re, sys
for name in sys.argv[1:]:
    importlib.import_module(name)
print(open('/proc/self/smaps_rollup').read())
"""
MODULES_BY_PROGRAM = {
    'bare interpreter': (),
    'node and store client': (
        'jackdawlatch.node.daemon',
        'jackdawlatch.store.remote',
    ),
    'jackdawlatch-entry': ('jackdawlatch.entry.root',),
    'jackdawlatch-steward': ('jackdawlatch.steward.root',),
    'jackdawlatch-placer': ('jackdawlatch.placer.root',),
}


class Control(base.Benchmark):
    """Memory after imports; bytes, time and memory by size of state."""

    name = 'control'

    def run(self, seed: int) -> Iterator[base.Table]:
        """Measure imports, then records of growing size."""
        yield _imports()
        yield _size_table(
            'Membership of one shard, by hosts', SIZES, membership, shards.Shard
        )
        yield _size_table(
            'Configuration, by teams with a quota (30 pools)',
            TEAM_SIZES,
            configuration,
            presets.Configuration,
        )
        yield _gossip()


def membership(size: int) -> shards.Shard:
    """Return the membership of a shard with this many hosts."""
    all_hosts = [_host(number) for number in range(size)]
    return shards.Shard(
        version=1,
        assignments_by_host={
            host.id: hosts.Assignment(
                pool=f'pool-{number % 30}',
                phase=hosts.Phase.ACTIVE,
                since_s=1.7e9 + number,
            )
            for number, host in enumerate(all_hosts)
        },
        hosts_by_id={host.id: host for host in all_hosts},
    )


def configuration(teams: int) -> presets.Configuration:
    """Return three presets over 30 pools with this many teams."""
    pools = {
        f'pool-{number}': presets.PoolTarget(hosts=300) for number in range(30)
    }
    quotas = {
        f'team-{number}': presets.Quota(processors=64)
        for number in range(teams)
    }
    return presets.Configuration(
        version=1,
        presets_by_name={
            name: presets.Preset(
                name=name, pools_by_name=pools, quotas_by_team=quotas
            )
            for name in ('ordinary', 'peak', 'maintenance')
        },
        pools_by_name={name: presets.Pool(name=name) for name in pools},
        services_by_name={
            name: presets.Service(name=name, pool=name) for name in pools
        },
    )


def private_kb(smaps: str) -> int:
    """Return the private memory in KB, from the text of ``smaps_rollup``."""
    return sum(map(int, re.findall(r'Private_\w+:\s+(\d+)', smaps)))


def resident_kb(smaps: str) -> int:
    """Return the resident memory in KB, from the text of ``smaps_rollup``."""
    found = re.search(r'Rss:\s+(\d+)', smaps)
    return int(found[1]) if found else 0


def _host(number: int) -> hosts.Host:
    return hosts.Host(
        id=f'host-{number:05}',
        zone=f'zone-{number % 16}',
        rack=f'rack-{number // 4}',
        runner=f'http://10.0.{number // 250}.{number % 250}:8000',
        worker=f'http://10.0.{number // 250}.{number % 250}:8001',
        control=f'http://10.0.{number // 250}.{number % 250}:8002',
        capacity=hosts.Capacity(processors=64, memory_mb=131_072),
    )


def _imports() -> base.Table:
    rows = []
    for program, modules in MODULES_BY_PROGRAM.items():
        smaps = subprocess.run(  # noqa: S603 fixed arguments.
            [sys.executable, '-c', MEMORY_SCRIPT, *modules],
            capture_output=True,
            check=True,
            text=True,
        ).stdout
        rows.append(
            (
                program,
                round(resident_kb(smaps) / KB, 1),
                round(private_kb(smaps) / KB, 1),
            )
        )
    return base.Table(
        title='Import floor of each binary',
        note=(
            'Memory after the imports alone, nothing started. Target: a '
            'daemon spends at most 32 MB on control.'
        ),
        columns=('program', 'resident MB', 'private MB'),
        rows=tuple(rows),
    )


def _size_table(
    title: str,
    sizes: tuple[int, ...],
    build: Callable[[int], records.Record],
    record_type: type[records.Record],
) -> base.Table:
    rows = []
    for size in sizes:
        plain_bytes = len(records.encode(build(size)))
        content = records.pack(build(size))
        decode_ms = _best_ms(lambda: records.decode(content, record_type))
        encode_ms = _best_ms(lambda: records.pack(build(size)))
        memory_kb = _allocated_kb(lambda: records.decode(content, record_type))
        rows.append(
            (
                size,
                round(len(content) / KB, 1),
                round(len(content) / size),
                round(plain_bytes / len(content), 1),
                round(decode_ms, 2),
                round(encode_ms, 2),
                round(memory_kb),
            )
        )
    return base.Table(
        title=title,
        note='One stored value; a value may hold up to 1 MB. Best of 5.',
        columns=(
            'size',
            'stored KB',
            'bytes each',
            'plain over stored',
            'decode ms',
            'build and encode ms',
            'memory KB',
        ),
        rows=tuple(rows),
    )


def _gossip() -> base.Table:
    rows = []
    for size in PEER_SIZES:
        peer = roster.Peer(
            id='entry-1',
            role='entry',
            zone='zone-1',
            shard='region-1',
            peer_address='10.0.0.1:7001',
            operations_address='10.0.0.1:7002',
            started_s=1.7e9,
        )
        heard = roster.Heard(peer=peer, age_s=1.5)
        digest = gossip.Digest(
            sender=peer,
            revisions_by_key={
                'fleet/config': 9,
                'fleet/membership/region-1': 9,
            },
            heard=(heard,) * min(size, gossip.HEARD_SAMPLE_PEERS),
        )
        frame = frames.Frame(
            frames.FrameType.CALL,
            1,
            'Digest',
            (1, 1, 'entry/entry-1'),
            frames.body_of(digest),
        )
        digest_bytes = len(frames.encode(frame))
        # Per second, each process sends one digest and on average answers one.
        rows.append((size, digest_bytes, round(2 * 2 * digest_bytes / KB, 2)))
    return base.Table(
        title='Gossip, by processes in the system',
        note=(
            'A digest names at most 6 peers, so its size does not grow with '
            'the system. KB/s counts both directions of two exchanges a '
            'second. Target: 7 KB/s.'
        ),
        columns=('processes', 'digest bytes', 'KB/s, worked out'),
        rows=tuple(rows),
    )


def _best_ms(operation: Callable[[], Any]) -> float:
    times_s = []
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        operation()
        times_s.append(time.perf_counter() - started_s)
    return min(times_s) * MS_PER_S


def _allocated_kb(build: Callable[[], Any]) -> float:
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / KB if built is not None else 0
