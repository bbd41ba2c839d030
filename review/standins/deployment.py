"""Stand-ins of the platform for the review's cases, on loopback addresses.

A store, runners, an operator's manifest and clients, as PROTOCOL.md describes
them.  They run in one process; the project's daemons run as separate processes
with the command and the settings template of the deploy file.  Only the
standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib import parse as urls

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
# Below the usual range of outgoing connections.
PORTS = (12_000, 30_000)
STORE_LATENCY_S = 0.004
HEARTBEAT_S = 1.5
STOP_S = 0.02
HOLD_MAX_S = 10.0
ENDS_PER_ANSWER = 500
STARTUP_S = 0.2
CHECKPOINT_S = 0.5
GANG_TIMEOUT_S = 3.0
REASONS = {200: 'OK', 204: 'No Content'}


def free_port():
    """Return a port that is free, and that no outgoing connection takes."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.began_s = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')

    def now_s(self):
        return time.monotonic() - self.began_s

    def note(self, text):
        self._file.write(f'{self.now_s():8.3f}  {text}\n')

    def close(self):
        self._file.close()


class Server:
    """An HTTP/1.1 server; ``handle`` returns the status and the body."""

    def __init__(self, handle, port=0):
        self._handle = handle
        self.port = port or free_port()
        self._server = None
        self._writers = set()
        self._tasks = set()

    @property
    def address(self):
        return f'{HOST}:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=512
        )

    async def stop(self):
        """Reset every connection and stop listening."""
        self._server.close()
        for writer in tuple(self._writers):
            linger = (1).to_bytes(4, sys.byteorder) + bytes(4)
            with contextlib.suppress(OSError):
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            writer.transport.abort()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        self._tasks.add(asyncio.current_task())
        try:
            while await self._exchange(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def _exchange(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        method, target, _ = first.split(' ')
        headers = {}
        for line in lines:
            name, _, text = line.partition(':')
            headers[name.lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        path, _, query = target.partition('?')
        answer = await self._handle(
            method, path.strip('/'), dict(urls.parse_qsl(query)), headers, body
        )
        status, content = answer
        encoded = b'' if content is None else json.dumps(content).encode()
        writer.write(
            (
                f'HTTP/1.1 {status} {REASONS.get(status, "Status")}\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(encoded)}\r\n\r\n'
            ).encode()
            + encoded
        )
        await writer.drain()
        return True


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.server = Server(self._handle)
        self._items = {}
        self._history = []
        self._revision = 100
        self._leases = {}
        self._lease_number = 0
        self._changed = asyncio.Event()

    def write(self, key, content):
        """Write a key as the operator or a runner does."""
        self._put(key, json.dumps(content).encode(), 0, self._next())

    def remove(self, key):
        if key in self._items:
            self._delete(key, self._next())

    def read(self, key):
        """Return the content of a key, empty if it is absent."""
        item = self._items.get(key)
        return base64.b64decode(item['value']) if item else b''

    async def expire_leases(self):
        """End leases that were not renewed, until cancelled."""
        while True:
            now_s = time.monotonic()
            for number, (_, end_s) in tuple(self._leases.items()):
                if end_s <= now_s:
                    self._end_lease(number)
            await asyncio.sleep(0.01)

    def _next(self):
        self._revision += 1
        return self._revision

    def _put(self, key, content, lease, revision):
        known = self._items.get(key)
        self._items[key] = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': revision,
            'created': known['created'] if known else revision,
            'lease': lease,
        }
        self._add_event(dict(self._items[key]))

    def _delete(self, key, revision):
        self._items.pop(key)
        self._add_event({'key': key, 'revision': revision, 'deleted': True})

    def _add_event(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, number):
        self._leases.pop(number)
        keys = [k for k, item in self._items.items() if item['lease'] == number]
        if keys:
            revision = self._next()
            for key in keys:
                self._delete(key, revision)

    async def _handle(self, method, path, query, _headers, body):
        await asyncio.sleep(STORE_LATENCY_S)
        name, _, argument = path.partition('/')
        content = json.loads(body) if body else {}
        if name == 'kv-key':
            item = self._items.get(query['key'])
            return (
                (200, {**item, 'at': self._revision}) if item else (404, None)
            )
        if name == 'kv-range':
            return 200, self._range(query)
        if name == 'kv-watch':
            return 200, await self._watch(query)
        if name == 'kv-txn':
            return self._commit(content)
        if name == 'kv-lease':
            self._lease_number += 1
            ttl_s = content['ttl-ms'] / 1000
            self._leases[self._lease_number] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {
                'lease': self._lease_number,
                'ttl-ms': content['ttl-ms'],
            }
        if name == 'kv-keep':
            lease = self._leases.get(int(argument))
            if lease is None:
                return 404, None
            self._leases[int(argument)] = (
                lease[0],
                time.monotonic() + lease[0],
            )
            return 200, {'ttl-ms': int(lease[0] * 1000)}
        if name == 'kv-lease-end':
            if int(argument) in self._leases:
                self._end_lease(int(argument))
            return 200, {}
        return 404, None

    def _range(self, query):
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        return {
            'items': [self._items[key] for key in keys[:500]],
            'has-more': len(keys) > 500,
            'at': self._revision,
        }

    async def _watch(self, query):
        until_s = time.monotonic() + int(query['wait-ms']) / 1000
        after = int(query['after'])
        while True:
            changed, at = self._changed, self._revision
            events = [
                event
                for event in self._history
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'at': at}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _commit(self, body):
        rows = body.get('precondition', [])
        for row in rows:
            item = self._items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                present = [self._items.get(one['key']) for one in rows]
                return 412, {'items': [one for one in present if one]}
        for row in body.get('put', []):
            if row.get('lease') and row['lease'] not in self._leases:
                return 404, None
            if row['key'].startswith(('op/', 'servers/')):
                return 403, None
        revision = self._next()
        for row in body.get('put', []):
            self._put(
                row['key'],
                base64.b64decode(row['value']),
                row.get('lease', 0),
                revision,
            )
        for key in body.get('delete', []):
            if key in self._items:
                self._delete(key, revision)
        return 200, {'revision': revision}


class Run:
    """One run of a work unit on one boot of a runner."""

    def __init__(self, runner, task, number, step, call, start_s):
        self.runner = runner
        self.step = step
        self.room = (step['cpu'], step['mem-mb'])
        self.work_s = _work_s(task, call['spec'])
        # What it resumes from, and how much of the work that spares it.
        self.resumed = call.get('checkpoint', '')
        self.spared_s = int(self.resumed[:8], 16) / 1000 if self.resumed else 0
        # When its work began; a member of a gang waits for the others.
        self.work_began_s = None if step.get('gang') else start_s
        self.task = task
        self.number = number
        self.start_s = start_s
        self.end_s = None
        self.how = ''
        self.noted_s = None
        self.gang = None

    def done_s(self, now_s):
        """Return how much of its work is done."""
        if self.work_began_s is None:
            return self.spared_s
        return self.spared_s + now_s - self.work_began_s

    def saved(self, now_s):
        """Return its checkpoint, a new one with each interval of work."""
        if not self.step.get('checkpointing'):
            return ''
        whole_s = int(self.done_s(now_s) / CHECKPOINT_S) * CHECKPOINT_S
        return f'{int(whole_s * 1000):08x}{self.task[:8]}' if whole_s else ''

    def __str__(self):
        end = 'runs' if self.end_s is None else f'{self.end_s:.3f} {self.how}'
        return (
            f'{self.task} run {self.number} on {self.runner.id}: '
            f'{self.start_s:.3f} to {end}'
        )


class Gang:
    """The members of one run of a gang, on all runners.

    They work from the moment when all of them are present with the same
    checkpoint; if one ends, the others end ``broken``.
    """

    def __init__(self, count):
        self.members = []
        self._count = count

    def add(self, run, now_s):
        self.members.append(run)
        alike = [one for one in self.members if one.resumed == run.resumed]
        if len(alike) == self._count:
            for member in alike:
                member.work_began_s = now_s

    def end(self, run):
        """End the others, since a member has ended."""
        if run in self.members:
            self.members.remove(run)
            others, self.members = self.members, []
            how = 'done' if run.how == 'done' else 'broken'
            for other in others:
                if other.end_s is None:
                    other.runner.end(other, how)


class Runner:
    """A runner: one address, one id, and a new boot after each crash.

    The spec of a job is ``work-ms=SHORTEST-LONGEST``, or ``lasting``: how long
    its work units take.  ``steps`` holds what the client sent, by job and step.
    """

    def __init__(self, name, store, record, steps, gangs, kind='a'):
        self.id = name
        self.kind = kind
        self.machine = f'm-{name}'
        self.cpu, self.mem_mb = 64_000, 131_072
        self.all_runs = []
        # When each call to hold arrived.
        self.held_s = []
        self.up = False
        self._store = store
        self._record = record
        self._steps = steps
        self._gangs = gangs
        self._port = free_port()
        self._beats = None
        self._removal = None

    @property
    def key(self):
        return f'servers/{self.id}'

    def entry(self):
        """Return the report of the runner about itself."""
        self._seq += 1
        return {
            'service': 'work',
            'address': f'{HOST}:{self._port}',
            'zone': 'zone-1',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold-left-ms': 0,
            'capacity': {'cpu': self.cpu, 'mem-mb': self.mem_mb, 'gpu': 0},
            'labels': [self.kind, 'r1-1'],
            'machine': self.machine,
            'born': self.born,
            'clock-ms': self.clock_ms(),
            'seq': self._seq,
        }

    def clock_ms(self):
        return int((time.monotonic() - self._boot_s) * 1000)

    async def boot(self):
        """Start with nothing of before."""
        self._boot_s = time.monotonic() - 1
        self.born = int(time.time() * 1000)
        self._seq = 0
        self._token = 0
        self._lease_end_ms = 0
        self.runs = {}
        self._ends = []
        self._end_number = 0
        self._highest_ended = {}
        self._changed = asyncio.Event()
        self._server = Server(self._handle, self._port)
        await self._server.start()
        self.up = True
        if self._removal:
            self._removal.cancel()
        self._record.note(f'{self.id} boots, born {self.born}')
        self._beats = asyncio.create_task(self._beat())

    async def crash(self, for_s):
        """End without a word, and boot again under the same id."""
        self.up = False
        self._record.note(f'{self.id} crashes, {len(self.runs)} runs are lost')
        self._beats.cancel()
        now_s = self._record.now_s()
        for run in self.runs.values():
            run.end_s, run.how = now_s, 'lost'
            if run.gang:
                run.gang.end(run)
        self.runs = {}
        await self._server.stop()
        self._removal = asyncio.create_task(self._lapse())
        await asyncio.sleep(for_s)
        await self.boot()

    async def close(self):
        self._beats.cancel()
        await self._server.stop()

    async def _lapse(self):
        await asyncio.sleep(3 * HEARTBEAT_S)
        self._store.remove(self.key)

    async def _beat(self):
        while True:
            self._store.write(self.key, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, _method, path, _query, headers, body):
        if headers.get('x-expect-instance', self.id) != self.id:
            return 421, {'clock-ms': self.clock_ms()}
        call = json.loads(body)
        token = call.get('fencing-token', 0)
        if token < self._token:
            return self._refuse('fence')
        self._token = token
        if path == 'run-start':
            return self._start(call)
        if path == 'run-stop':
            return self._stop(call)
        if path == 'hold':
            return await self._hold(call)
        return 200, {'clock-ms': self.clock_ms()}

    def _refuse(self, reason):
        return 409, {'clock-ms': self.clock_ms(), 'reason': reason}

    def _extend(self, deadline_ms):
        longest_ms = self.clock_ms() + HOLD_MAX_S * 1000
        self._lease_end_ms = max(
            self._lease_end_ms, min(deadline_ms, longest_ms)
        )

    def _start(self, call):
        task, number = call['task'], call['attempt']
        if call['deadline-ms'] <= self.clock_ms():
            return self._refuse('late')
        self._extend(call['deadline-ms'])
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, {'clock-ms': self.clock_ms()}
        if number <= self._highest_ended.get(task, 0):
            return self._refuse('old')
        step = self._steps[task.rsplit('.', 1)[0]]
        cpu, mem_mb = step['cpu'], step['mem-mb']
        used_cpu = sum(run.room[0] for run in self.runs.values())
        used_mem = sum(run.room[1] for run in self.runs.values())
        full = used_cpu + cpu > self.cpu or used_mem + mem_mb > self.mem_mb
        if full or known is not None:
            return self._refuse('room')
        run = Run(self, task, number, step, call, self._record.now_s())
        self.runs[task] = run
        self.all_runs.append(run)
        resumed = f' from {run.resumed}' if run.resumed else ''
        self._record.note(f'starts {task} run {number} on {self.id}{resumed}')
        if step.get('gang'):
            key = (task.rsplit('.', 1)[0], number)
            gang = self._gangs.setdefault(key, Gang(step['count']))
            run.gang = gang
            gang.add(run, run.start_s)
        asyncio.create_task(self._work(run))
        return 200, {'clock-ms': self.clock_ms()}

    async def _work(self, run):
        while self.runs.get(run.task) is run:
            now_s = self._record.now_s()
            left_s = run.work_s - run.done_s(now_s)
            lease_s = (self._lease_end_ms - self.clock_ms()) / 1000
            waited_s = now_s - run.start_s
            if left_s <= 0:
                self.end(run, 'done')
            elif lease_s <= 0:
                self.end(run, 'lapsed')
            elif run.work_began_s is None and waited_s >= GANG_TIMEOUT_S:
                self.end(run, 'alone')
            else:
                await asyncio.sleep(min(left_s, lease_s, 0.1))

    def end(self, run, how):
        """End a run and list its end."""
        if self.runs.get(run.task) is not run:
            return
        self.runs.pop(run.task)
        run.end_s, run.how = self._record.now_s(), how
        self._highest_ended[run.task] = max(
            run.number, self._highest_ended.get(run.task, 0)
        )
        self._end_number += 1
        self._ends.append((self._end_number, run))
        self._record.note(f'ends {run}')
        if run.gang:
            run.gang.end(run)
        self._changed.set()
        self._changed = asyncio.Event()

    def _stop(self, call):
        task, number = call['task'], call['attempt']
        self._highest_ended[task] = max(
            number, self._highest_ended.get(task, 0)
        )
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(
                STOP_S, self.end, run, 'stopped'
            )
        return 200, {'clock-ms': self.clock_ms()}

    async def _hold(self, call):
        for number, run in self._ends:
            if number <= call.get('acked', 0) and run.noted_s is None:
                run.noted_s = self._record.now_s()
        self._ends = [
            one for one in self._ends if one[0] > call.get('acked', 0)
        ]
        if 'deadline-ms' in call:
            self._extend(call['deadline-ms'])
        self.held_s.append(self._record.now_s())
        if not self._ends and call.get('wait-ms'):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(), min(call['wait-ms'], 2000) / 1000
                )
        now_s = self._record.now_s()
        return 200, {
            'clock-ms': self.clock_ms(),
            'born': self.born,
            'running': [
                [
                    run.task,
                    run.number,
                    run.saved(now_s),
                    self._percent(run, now_s),
                    0,
                ]
                for run in self.runs.values()
            ],
            'finished': [
                [number, run.task, run.number, run.how, run.saved(run.end_s)]
                for number, run in self._ends[:ENDS_PER_ANSWER]
            ],
        }

    def _percent(self, run, now_s):
        if run.work_s == float('inf'):
            return 100 if now_s - run.start_s >= STARTUP_S else 0
        return min(99, int(100 * run.done_s(now_s) / run.work_s))


def _work_s(task, spec):
    """Return how long a work unit takes, infinite if it lasts."""
    if not spec.startswith('work-ms='):
        return float('inf')
    shortest, longest = map(int, spec.removeprefix('work-ms=').split('-'))
    place = int(task.rpartition('.')[2]) % 100 / 100
    return (shortest + (longest - shortest) * place) / 1000


MANIFEST = {
    'version': 7,
    'routes': [
        {
            'name': 'r-work',
            'hostname': 'jobs.example',
            'prefix': '/jobs/',
            'type': 'mutating',
            'timeout-ms': 3000,
            'target-duration-ms': 600,
            'priority': 0,
            'service': 'work',
            'max-attempts': 4,
            'slack-factor': 2.2,
        }
    ],
    'services': [
        {
            'name': 'work',
            'health-path': '/health',
            'max-conns': 64,
            'protocol': 'h1',
            'tls': False,
            'enforce-capacity': True,
            'standby': False,
        }
    ],
    'limits': {
        'max-header-bytes': 16384,
        'max-body-bytes': 262144,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
    },
}


async def _machines(method, path, _query, _headers, _body):
    if method == 'GET' and path == 'machines':
        return 200, {'machines': [], 'next-token': None}
    return 409, {'reason': 'busy'}


class Daemon:
    """One of the project's daemons, as a process of its own."""

    def __init__(self, name, folder, store, cloud):
        self.name = name
        self._front_port, self._ready_port = free_port(), free_port()
        fields = {
            'node-name': name,
            'zone': 'zone-1',
            'listen.front': f'{HOST}:{self._front_port}',
            'listen.ready': f'{HOST}:{self._ready_port}',
            'platform.address': store.server.address,
            'cloud.address': cloud.address,
            'hint': '',
            'limits.cores': 2,
            'limits.cpu-share': 0.537,
            'limits.link-mbps': 1000.0,
            'bounds.hold-max-ms': int(HOLD_MAX_S * 1000),
            'bounds.stop-ms': 200,
            'heartbeat-ms': int(HEARTBEAT_S * 1000),
            'bounds.grace-s': 6,
            'bounds.status_s': 120,
            'bounds.maintenance-s': 2,
            'bounds.migrate-s': 1.5,
            'cloud.duty-per-s': 64.0,
        }
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        (self._role,) = role['roles'].values()
        template = (ROOT / self._role['template']).read_text()
        settings = json.loads(
            re.sub(
                r'\{\{([^}|]+)(\|json)?\}\}',
                lambda found: (
                    json.dumps(fields[found[1]])
                    if found[2]
                    else str(fields[found[1]])
                ),
                template,
            )
        )
        # The daemons share one address here.
        settings['metrics_port'] = free_port()
        self._settings = folder / f'{name}.json'
        self._settings.write_text(json.dumps(settings))
        self._log = folder / f'{name}.log'
        self.process = None

    async def start(self):
        """Start the process; it may have been killed before."""
        with open(self._log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._role['run'].split(),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', str(self._log.parent)),
                    'JACKDAWLATCH_SETTINGS': str(self._settings),
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                },
            )

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    @property
    def log(self):
        return self._log.read_text(errors='replace')

    async def ready(self):
        try:
            return (await call(self._ready_port, 'GET', '/ready'))[0] == 200
        except OSError:
            return False

    async def send(self, method, path, content=None):
        """Send a request as a client does."""
        return await call(self._front_port, method, path, content)


async def call(port, method, path, content=None, timeout_s=3):
    """Send one request; return the status and the decoded body."""
    body = b'' if content is None else json.dumps(content).encode()
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(
                (
                    f'{method} {path} HTTP/1.1\r\nHost: jobs.example\r\n'
                    'Content-Type: application/json\r\n'
                    f'Connection: close\r\nContent-Length: {len(body)}\r\n\r\n'
                ).encode()
                + body
            )
            answer = await reader.read()
        finally:
            writer.close()
    head, _, rest = answer.partition(b'\r\n\r\n')
    if not head:
        raise ConnectionError('no answer')
    return int(head.split()[1]), json.loads(rest) if rest else None


class Deployment:
    """A store, runners and daemons; the last ones are separate processes."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.store = Store()
        self.cloud = Server(_machines)
        self._steps = {}
        self._gangs = {}
        self.runners = []
        self.daemons = []
        self._folder = pathlib.Path(tempfile.mkdtemp())
        self._expiry = None

    def add_runner(self, name, kind='a'):
        runner = Runner(
            name, self.store, self.record, self._steps, self._gangs, kind
        )
        self.runners.append(runner)
        return runner

    async def start(self, daemons):
        """Start everything; raises ``TimeoutError`` if it is not ready."""
        await self.store.server.start()
        await self.cloud.start()
        self._expiry = asyncio.create_task(self.store.expire_leases())
        self.store.write('op/config', MANIFEST)
        for runner in self.runners:
            await runner.boot()
        for number in range(daemons):
            daemon = Daemon(
                f'edge-{number + 1}', self._folder, self.store, self.cloud
            )
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await until(daemon.ready, 20)
        await until(lambda: self.leader is not None, 20)

    @property
    def leader(self):
        """The daemon that wrote the leadership key, None if there is none."""
        content = self.store.read('fleet/leader')
        named = (one for one in self.daemons if one.name.encode() in content)
        return next(named, None)

    async def submit(self, daemon, job_id, body):
        """Hand a job in until it is accepted."""
        for number, step in enumerate(body['steps']):
            self._steps[f'{job_id}.0.{number}'] = step
        for _ in range(5):
            status, _ = await daemon.send('POST', f'/jobs/{job_id}', body)
            self.record.note(f'client: POST {job_id} -> {status}')
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise RuntimeError(f'{job_id} was not accepted')

    async def state(self, daemon, job_id):
        """Ask for the state of a job."""
        status, body = await daemon.send('GET', f'/jobs/{job_id}')
        return body['state'] if status == 200 else str(status)

    async def until_state(self, daemon, job_id, states, timeout_s):
        """Wait until a job is shown in one of the states; return the last."""
        until_s = time.monotonic() + timeout_s
        last = ''
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError, TimeoutError):
                state = await self.state(daemon, job_id)
                if state != last:
                    self.record.note(f'client: GET {job_id} -> {state}')
                    last = state
                if state in states:
                    break
            await asyncio.sleep(0.2)
        return last

    @property
    def runs(self):
        return [run for runner in self.runners for run in runner.all_runs]

    async def close(self):
        for daemon in self.daemons:
            await daemon.kill()
        for runner in self.runners:
            if runner.up:
                await runner.close()
        if self._expiry:
            self._expiry.cancel()
        await self.store.server.stop()
        await self.cloud.stop()
        if 'KEEP_LOGS' in os.environ:
            for daemon in self.daemons:
                sys.stderr.write(f'--- {daemon.name}\n{daemon.log}')
        self.record.close()
        shutil.rmtree(self._folder)


def second_runs(runs):
    """Return the breaks of TWICE: pairs of an earlier and a later run.

    A break is two runs of one work unit at the same time, or a start after a
    run has ended ``done`` whose end is taken note of, unless a lease lapsed.
    """
    by_task = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    breaks = []
    for task_runs in by_task.values():
        task_runs.sort(key=lambda run: run.start_s)
        for place, first in enumerate(task_runs):
            for second in task_runs[place + 1 :]:
                beside = first.end_s is None or second.start_s < first.end_s
                again = first.how == 'done' and first.noted_s is not None
                if beside or again:
                    breaks.append((first, second))
    return breaks


async def until(condition, timeout_s):
    """Wait until a condition holds; raises ``TimeoutError``."""
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        held = condition()
        if asyncio.iscoroutine(held):
            held = await held
        if held:
            return
        await asyncio.sleep(0.02)
    raise TimeoutError('the deployment did not get that far')


def main(folder, play):
    """Play a case; exit with 1 if the rule was broken, 0 if not, 2 if unable."""

    async def played():
        deployment = Deployment(folder)
        try:
            async with asyncio.timeout(110):
                breaks = await play(deployment)
            for line in breaks:
                deployment.record.note(f'BROKEN {line}')
            deployment.record.note(f'{len(breaks)} breaks')
            print(f'{len(breaks)} breaks')
            return 1 if breaks else 0
        except Exception as error:
            deployment.record.note(f'could not run: {error!r}')
            print(f'could not run: {error!r}', file=sys.stderr)
            return 2
        finally:
            await deployment.close()

    sys.exit(asyncio.run(played()))
