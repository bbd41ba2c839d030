"""Stand-ins of the platform for the scripts of this review.

One process serves the store, the machine service and the runners on loopback
addresses, starts daemons with the command of the deploy file, and sends
requests as requesters do.  Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
HOSTNAME = 'host.example'
HOLD_MAX_MS = 10_000
STOP_MS = 200
HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
DRAIN_S = 6.0
MAINTENANCE_S = 2.0
MIGRATE_S = 1.5
TICK_S = 0.02
FIRST_PORT, LAST_PORT = 12_000, 32_000


class Record:
    """Writes what happened to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._began_s

    def note(self, event, **fields):
        line = json.dumps(fields)
        self._file.write(f'{self.now_s():8.3f} {event} {line}\n')
        self._file.flush()


class Channel:
    """An open connection of a server; a silent one carries nothing more."""

    def __init__(self, writer):
        self.writer = writer
        self.silent = False


class Server:
    """An HTTP/1.1 server; ``handle`` returns a status and a body.

    While ``healed`` is not set, requests and answers wait in the network.  They
    arrive when it heals, unless their sender has reset the channel or has ended.
    """

    def __init__(self, handle, port=0):
        self.handle = handle
        self.port = port
        self.channels = set()
        self.healed = asyncio.Event()
        self.healed.set()
        self._server = None

    @property
    def address(self):
        return f'{HOST}:{self.port}'

    async def open(self):
        if not self.port:
            self.port = free_ports(1)[0]
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, reuse_address=True
        )

    def close(self):
        """End as a process does: open channels are reset."""
        self._server.close()
        for channel in tuple(self.channels):
            channel.silent = True
            channel.writer.transport.abort()

    def silence(self):
        """Let every open channel go silent for good; new ones work."""
        for channel in self.channels:
            channel.silent = True

    async def _serve(self, reader, writer):
        channel = Channel(writer)
        self.channels.add(channel)
        try:
            while True:
                request = await self._read(reader)
                if request is None:
                    return
                if channel.silent:
                    await reader.read()
                    return
                if not self.healed.is_set():
                    await self.healed.wait()
                    # An end of the channel is no reset: what was sent before
                    # arrives.  The transport has failed after a reset.
                    if reader.exception() is not None or channel.silent:
                        return
                status, body = await self.handle(*request)
                # Answers are held up as well.
                await self.healed.wait()
                if channel.silent:
                    await reader.read()
                    return
                writer.write(_response(status, body))
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self.channels.discard(channel)
            writer.close()

    async def _read(self, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        method, target, _ = lines[0].split(' ')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get('content-length', 0))
        content = await reader.readexactly(length) if length else b''
        url = parse.urlsplit(target)
        query = dict(parse.parse_qsl(url.query))
        body = json.loads(content) if content else {}
        return method, url.path, query, headers, body


def _response(status, body):
    content = json.dumps(body).encode()
    return (
        f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(content)}\r\n\r\n'
    ).encode() + content


class Store:
    """The platform's store."""

    def __init__(self, record):
        self._record = record
        self.revision = 10
        self.items = {}
        self._events = []
        self._leases = {}
        self._last_lease = 0
        self._changed = asyncio.Event()
        self.server = Server(self.handle)
        self.answer_s = 0.0

    def put(self, key, value, lease=0):
        content = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self._event(item)

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._event(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item['value'])) if item else None

    def expire(self):
        now_s = time.monotonic()
        for lease, (end_s, _) in tuple(self._leases.items()):
            if end_s <= now_s:
                self._end(lease)

    def _end(self, lease):
        known = self._leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.delete(key)
        return known is not None

    def _event(self, item):
        self._events.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        if self.answer_s:
            await asyncio.sleep(self.answer_s)
        self.expire()
        name = path.lstrip('/')
        if name == 'kv-key':
            item = self.items.get(query['key'])
            return (200, item) if item else (404, {})
        if name == 'kv-range':
            return 200, self._range(query)
        if name == 'kv-watch':
            return 200, await self._watch(query)
        if name == 'kv-txn':
            return self._commit(body)
        if name == 'kv-lease':
            self._last_lease += 1
            ttl_ms = max(1000, int(body['ttl-ms']))
            end_s = time.monotonic() + ttl_ms / 1000
            self._leases[self._last_lease] = (end_s, ttl_ms)
            return 200, {'lease': self._last_lease, 'ttl-ms': ttl_ms}
        kind, _, lease = name.partition('/')
        if kind == 'kv-keep':
            known = self._leases.get(int(lease))
            if known is None:
                return 404, {}
            end_s = time.monotonic() + known[1] / 1000
            self._leases[int(lease)] = (end_s, known[1])
            return 200, {'ttl-ms': known[1]}
        if kind == 'kv-lease-end':
            return (200, {}) if self._end(int(lease)) else (404, {})
        return 404, {}

    def _range(self, query):
        prefix, after = query['prefix'], query.get('after', '')
        found = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key] for key in found[:500]],
            'has-more': len(found) > 500,
            'at': self.revision,
        }

    async def _watch(self, query):
        prefix, after = query['prefix'], int(query['after'])
        until_s = time.monotonic() + int(query['wait-ms']) / 1000
        while True:
            changed = self._changed
            events = [
                event
                for event in reversed(self._newer(after))
                if event['key'].startswith(prefix)
            ][::-1]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'at': self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _newer(self, after):
        first = len(self._events)
        while first and self._events[first - 1]['revision'] > after:
            first -= 1
        return self._events[first:]

    def _commit(self, body):
        rows = body.get('precondition', ())
        for row in rows:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                return 412, {
                    'items': [
                        self.items[one['key']]
                        for one in rows
                        if one['key'] in self.items
                    ]
                }
        for row in body.get('put', ()):
            if row.get('lease') and row['lease'] not in self._leases:
                return 404, {}
        for row in body.get('put', ()):
            self.put(
                row['key'],
                base64.b64decode(row['value']),
                row.get('lease', 0),
            )
        for key in body.get('delete', ()):
            self.delete(key)
        return 200, {'revision': self.revision}


class Run:
    """A run on a runner; ``work_s`` is None for one that lasts."""

    def __init__(self, attempt, work_s, cpu, mem):
        self.attempt = attempt
        self.work_s = work_s
        self.cpu, self.mem = cpu, mem
        self.began_s = time.monotonic()
        self.stop_s = None

    def percent(self):
        age_s = time.monotonic() - self.began_s
        if self.work_s is None:
            return 100 if age_s > 0.3 else 0
        return min(99, int(100 * age_s / self.work_s))


class Runner:
    """One boot of a runner."""

    def __init__(self, fleet, runner_id, machine, service, cpu, mem, rack):
        self._fleet = fleet
        self.id, self.machine, self.service = runner_id, machine, service
        self.cpu, self.mem, self.rack = cpu, mem, rack
        self.server = Server(self.handle)
        self.up = False
        self._reset()

    def _reset(self):
        self.born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self.running = {}
        self.ends = []
        self.token = 0
        self._numbers = 0
        self._seq = 0
        self._ended = {}
        self._deadline_ms = 0
        self._ended_event = asyncio.Event()
        self._heard_s = 0.0

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._born_s) * 1000)

    async def start(self):
        self._reset()
        await self.server.open()
        self.up = True
        if self.server.healed.is_set():
            self.register()

    def crash(self):
        """End at once; what it ran and knew is gone."""
        self.up = False
        self.server.close()
        for task, run in self.running.items():
            self._fleet.record.note(
                'run-lost', runner=self.id, task=task, run=run.attempt
            )
            self._fleet.run_over(task, run.attempt, 'lost')
        self.running = {}

    def register(self):
        self._seq += 1
        self._heard_s = time.monotonic()
        self._fleet.store.put(
            f'servers/{self.id}',
            {
                'service': self.service,
                'address': self.server.address,
                'zone': 'z1',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'cold-left-ms': 0,
                'seq': self._seq,
                'born': self.born_ms,
                'machine': self.machine,
                'capacity': {'cpu': self.cpu, 'mem-mb': self.mem, 'gpu': 0},
                'labels': ['a', self.rack],
            },
        )

    def tick(self):
        now_s = time.monotonic()
        if not self.up:
            silent_s = now_s - self._heard_s
            if silent_s > HEARTBEAT_S * SILENT_HEARTBEATS:
                self._fleet.store.delete(f'servers/{self.id}')
            return
        if now_s - self._heard_s >= HEARTBEAT_S and self.server.healed.is_set():
            self.register()
        if now_s - self._heard_s > HEARTBEAT_S * SILENT_HEARTBEATS:
            self._fleet.store.delete(f'servers/{self.id}')
        lapsed = self.clock_ms > self._deadline_ms
        for task, run in tuple(self.running.items()):
            if lapsed:
                self._end(task, 'lapsed')
            elif run.stop_s is not None and now_s >= run.stop_s:
                self._end(task, 'stopped')
            elif run.work_s is not None and now_s - run.began_s >= run.work_s:
                self._end(task, 'done')

    def _end(self, task, how):
        run = self.running.pop(task)
        self._numbers += 1
        self._ended[task] = max(self._ended.get(task, 0), run.attempt)
        self.ends.append([self._numbers, task, run.attempt, how, ''])
        self._fleet.record.note(
            'run-ended', runner=self.id, task=task, run=run.attempt, how=how
        )
        self._fleet.run_over(task, run.attempt, how)
        self._ended_event.set()
        self._ended_event = asyncio.Event()

    def _extend(self, body):
        if 'deadline-ms' in body:
            longest_ms = self.clock_ms + HOLD_MAX_MS
            deadline_ms = min(body['deadline-ms'], longest_ms)
            self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def _answer(self, status, **fields):
        return status, {'clock-ms': self.clock_ms, **fields}

    async def handle(self, method, path, query, headers, body):
        if headers.get('x-expect-instance', self.id) != self.id:
            return self._answer(421)
        self.tick()
        if body.get('fencing-token', 0) < self.token:
            return self._answer(409, reason='fence')
        self.token = body.get('fencing-token', 0)
        if path == '/hold':
            return await self._hold(body)
        if path == '/run-start':
            return self._start(body)
        if path == '/run-stop':
            task, attempt = body['task'], body['attempt']
            run = self.running.get(task)
            if run is not None and run.attempt == attempt:
                if run.stop_s is None:
                    run.stop_s = time.monotonic() + STOP_MS / 2000
            self._ended[task] = max(self._ended.get(task, 0), attempt)
            return self._answer(200)
        return self._answer(200)

    def start_late(self, body):
        """Carry out a start whose requester has given up the answer."""
        if body.get('fencing-token', 0) < self.token:
            return self._answer(409, reason='fence')
        self.token = body.get('fencing-token', 0)
        return self._start(body)

    def _start(self, body):
        task, attempt = body['task'], body['attempt']
        if body['deadline-ms'] < self.clock_ms:
            return self._answer(409, reason='late')
        self._extend(body)
        run = self.running.get(task)
        if run is not None and run.attempt == attempt:
            return self._answer(200)
        if attempt <= self._ended.get(task, 0) or run is not None:
            return self._answer(409, reason='old')
        work_s, cpu, mem = self._fleet.needs(task)
        used_cpu = sum(one.cpu for one in self.running.values())
        used_mem = sum(one.mem for one in self.running.values())
        if used_cpu + cpu > self.cpu or used_mem + mem > self.mem:
            return self._answer(409, reason='room')
        self.running[task] = Run(attempt, work_s, cpu, mem)
        self._fleet.record.note(
            'run-started', runner=self.id, task=task, run=attempt
        )
        self._fleet.run_begun(task, attempt)
        return self._answer(200)

    async def _hold(self, body):
        self._extend(body)
        acked = body.get('acked', 0)
        self.ends = [end for end in self.ends if end[0] > acked]
        until_s = time.monotonic() + body.get('wait-ms', 0) / 1000
        while not self.ends and time.monotonic() < until_s and self.up:
            event = self._ended_event
            try:
                await asyncio.wait_for(event.wait(), until_s - time.monotonic())
            except TimeoutError:
                pass
        return self._answer(
            200,
            born=self.born_ms,
            running=[
                [task, run.attempt, '', run.percent(), 10]
                for task, run in self.running.items()
            ],
            finished=self.ends[:500],
        )


class Machines:
    """The machine service.  Fences are not checked: ``require-fencing`` false."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.by_id = {}
        self.orders = []
        self.answer_s = 0.0

    def add(self, machine, pool, runner):
        self.by_id[machine] = {
            'pool': pool,
            'state': 'up',
            'runner': runner,
            'waves': set(),
        }

    async def handle(self, method, path, query, headers, body):
        if path == '/machines':
            return 200, {'machines': [self._row(one) for one in self.by_id]}
        order = {
            'order': path.lstrip('/'),
            **body,
            'holder': headers.get('x-lease-holder', ''),
            'token': int(headers.get('x-fencing-token', 0)),
            'at_s': round(self._fleet.record.now_s(), 3),
        }
        status, answer = self._carry_out(path, body)
        order['status'] = status
        self.orders.append(order)
        self._fleet.record.note('order', **order)
        if self.answer_s:
            await asyncio.sleep(self.answer_s)
        return status, answer

    def _row(self, machine):
        known = self.by_id[machine]
        runner = known['runner']
        return {
            'machine': machine,
            'pool': known['pool'],
            'state': known['state'],
            'zone': 'z1',
            'labels': ['a', runner.rack],
            'capacity': {'cpu': runner.cpu, 'mem-mb': runner.mem, 'gpu': 0},
            'id': runner.id if known['state'] == 'up' else '',
        }

    def _carry_out(self, path, body):
        known = self.by_id.get(body['machine'])
        if known is None:
            return 400, {}
        if path == '/machine-move':
            if known['pool'] == body['pool']:
                return 200, {}
            if known['state'] != 'up':
                return 409, {'reason': 'busy'}
            known['pool'] = body['pool']
            self._take_down(body['machine'], 'moving', MIGRATE_S)
            return 200, {}
        if body['cohort'] in known['waves']:
            return 200, {}
        if known['state'] != 'up':
            return 409, {'reason': 'busy'}
        known['waves'].add(body['cohort'])
        self._take_down(body['machine'], 'upkeep', MAINTENANCE_S)
        return 200, {}

    def _take_down(self, machine, state, down_s):
        known = self.by_id[machine]
        known['state'] = state
        runner = known['runner']
        if runner.up:
            runner.crash()
            self._fleet.store.delete(f'servers/{runner.id}')
        self._fleet.spawn(self._bring_up(machine, down_s))

    async def _bring_up(self, machine, down_s):
        await asyncio.sleep(down_s)
        known = self.by_id[machine]
        old = known['runner']
        self._fleet.runners.remove(old)
        known['runner'] = self._fleet.add_runner(
            machine, known['pool'], old.cpu, old.mem, old.rack
        )
        known['state'] = 'up'
        if known['pool'] not in self._fleet.standby:
            await known['runner'].start()


class Daemon:
    """A process of the project, with addresses of its own."""

    def __init__(self, fleet, name, store, machines):
        self.name = name
        self._fleet = fleet
        self._store, self._machines = store, machines
        self._folder = pathlib.Path(fleet.folder)
        self._settings = self._folder / f'{name}.json'
        self.process = None
        self._take_ports()

    def _take_ports(self):
        """Write the settings with ports that are free now."""
        ports = free_ports(3)
        self.front, self.ready = (f'{HOST}:{port}' for port in ports[:2])
        self._settings.write_text(
            json.dumps(
                {
                    'name': self.name,
                    'zone': 'z1',
                    'front_address': self.front,
                    'ready_address': self.ready,
                    'metrics_port': ports[2],
                    'store_address': self._store,
                    'machines_address': self._machines,
                    'advice_address': '',
                    'host': {
                        'processors': 2,
                        'processor_share': 0.537,
                        'link_mbps': 1000.0,
                        'memory_mb': 300,
                        'descriptors': 4100,
                    },
                    'bounds': {
                        'lease_ms': HOLD_MAX_MS,
                        'stop_ms': STOP_MS,
                        'report_ms': int(HEARTBEAT_S * 1000),
                        'drain_s': DRAIN_S,
                        'retention_s': 120,
                        'maintenance_s': MAINTENANCE_S,
                        'migration_s': MIGRATE_S,
                        'moves_per_s': 64.0,
                    },
                }
            )
        )

    def restart_if_ended(self):
        """Start it again on other ports, if another process has taken one."""
        if self.process.poll() is not None:
            self._take_ports()
            self.start()

    def start(self):
        """Start the program with the command of the deploy file."""
        command = next(
            line.partition('=')[2].strip().strip('"')
            for line in (ROOT / 'deploy/system.toml').read_text().splitlines()
            if line.startswith('run')
        )
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['JACKDAWLATCH_SETTINGS'] = str(self._settings)
        log = open(self._folder / f'{self.name}.log', 'ab')
        self.process = subprocess.Popen(
            command.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self._fleet.record.note('daemon-started', name=self.name)

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self._fleet.record.note(
                'signal', name=self.name, signal=signal.Signals(number).name
            )
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log(self):
        """Return the events of its decision log."""
        events = []
        text = (self._folder / f'{self.name}.log').read_text(errors='replace')
        for line in text.splitlines():
            if line.startswith('{'):
                events.append(json.loads(line))
        return events


class Fleet:
    """Everything around the daemons, and the daemons."""

    def __init__(self, folder):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = self._temporary.name
        self.store = Store(self.record)
        self.machines = Machines(self)
        self.machine_server = Server(self.machines.handle)
        self.runners = []
        # The pools whose machines are off.
        self.standby = ()
        self.daemons = []
        self.jobs = {}
        self.work_s = {}
        # The runs of each task that are going on, how runs have ended, and
        # the runs that were started beside another one.
        self.going_on = {}
        self.ends = {}
        self.overlaps = []
        self._tasks = set()
        self._last_runner = 0

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def open(self):
        await self.store.server.open()
        await self.machine_server.open()
        self.spawn(self._tick())

    async def _tick(self):
        while True:
            self.store.expire()
            for runner in tuple(self.runners):
                runner.tick()
            await asyncio.sleep(TICK_S)

    def add_runner(self, machine, service, cpu=16_000, mem=65_536, rack='r1'):
        self._last_runner += 1
        runner = Runner(
            self, f'i-{self._last_runner:03}', machine, service, cpu, mem, rack
        )
        self.runners.append(runner)
        return runner

    async def add_machine(self, machine, service, **room):
        runner = self.add_runner(machine, service, **room)
        self.machines.add(machine, service, runner)
        if service not in self.standby:
            await runner.start()
        return runner

    async def reboot(self, runner):
        """Start a crashed runner again, as another life of its machine."""
        self.runners.remove(runner)
        self.store.delete(f'servers/{runner.id}')
        new = self.add_runner(
            runner.machine, runner.service, runner.cpu, runner.mem, runner.rack
        )
        self.machines.by_id[runner.machine]['runner'] = new
        await new.start()
        return new

    def add_daemon(self, name, store=None, machines=None):
        daemon = Daemon(
            self,
            name,
            store or self.store.server.address,
            machines or self.machine_server.address,
        )
        self.daemons.append(daemon)
        return daemon

    def configure(self, version, services, routes, standby=()):
        """Write a manifest; a route is a name, a service and a priority."""
        self.standby = standby
        self.store.put(
            'op/config',
            {
                'version': version,
                'routes': [
                    {
                        'name': name,
                        'hostname': HOSTNAME,
                        'prefix': f'/{name}/',
                        'type': 'mutating',
                        'service': service,
                        'target-duration-ms': 600,
                        'priority': priority[0] if priority else 0,
                        'max-attempts': 2,
                        'slack-factor': 1.6,
                    }
                    for name, service, *priority in routes
                ],
                'services': [
                    {
                        'name': name,
                        'enforce-capacity': True,
                        'standby': name in standby,
                    }
                    for name in services
                ],
                'limits': {},
            },
        )
        self.record.note('manifest', version=version)

    def needs(self, task):
        job, _, step, _ = task.split('.')
        described = self.jobs[job][int(step)]
        work_s = None
        if not described.get('long-lived'):
            work_s = self.work_s.get(job, 1.0)
        return work_s, described.get('cpu', 0), described.get('mem-mb', 0)

    def run_begun(self, task, attempt):
        others = self.going_on.setdefault(task, set())
        if others:
            self.overlaps.append((task, attempt))
            self.record.note('run-twice', task=task, run=attempt)
        others.add(attempt)

    def run_over(self, task, attempt, how):
        self.going_on.get(task, set()).discard(attempt)
        self.ends.setdefault(task, {})[attempt] = how

    async def call(self, daemon, method, path, body=None, timeout_s=3.0):
        """Send a request on a channel of its own; return status and body."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(daemon, method, path, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, {}

    async def _exchange(self, daemon, method, path, body):
        host, _, port = daemon.front.partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        content = b'' if body is None else json.dumps(body).encode()
        writer.write(
            f'{method} {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\n'
            'Content-Type: application/json\r\nX-Deadline-Ms: 3000\r\n'
            f'Content-Length: {len(content)}\r\nConnection: close\r\n\r\n'.encode()
            + content
        )
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            status = int(head.split(' ')[1])
            length = re.search(r'content-length: (\d+)', head, re.I)
            answer = await reader.readexactly(int(length[1])) if length else b''
        finally:
            writer.close()
        return status, json.loads(answer) if answer else {}

    async def submit(self, daemon, route, job, steps, work_s=1.0, tries=8):
        """Hand a job in, again until it is accepted; return the last status."""
        self.jobs[job] = steps
        self.work_s[job] = work_s
        status = 0
        for _ in range(tries):
            status, _ = await self.call(
                daemon,
                'POST',
                f'/{route}/{job}',
                {'spec': 'review', 'steps': steps},
            )
            self.record.note(
                'submit', daemon=daemon.name, job=job, status=status
            )
            if 200 <= status < 300:
                break
            await asyncio.sleep(0.4)
        return status

    async def state(self, daemon, route, job):
        status, body = await self.call(daemon, 'GET', f'/{route}/{job}')
        state = body.get('state', '') if status == 200 else str(status)
        return state

    async def until(self, condition, limit_s, period_s=0.05):
        """Wait until a condition holds; return whether it did in time."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if condition():
                return True
            await asyncio.sleep(period_s)
        return condition()

    async def until_ready(self, daemon, limit_s=15):
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            host, _, port = daemon.ready.partition(':')
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b'GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
                )
                head = await reader.readline()
                writer.close()
                if b' 200 ' in head:
                    return True
            except OSError:
                daemon.restart_if_ended()
            await asyncio.sleep(0.1)
        return False

    def leader(self):
        """Return the name in the leadership key, '' if there is none."""
        item = self.store.items.get('fleet/leader')
        if item is None:
            return ''
        content = base64.b64decode(item['value'])
        return next(
            (one.name for one in self.daemons if one.name.encode() in content),
            '',
        )

    def end(self):
        for daemon in self.daemons:
            daemon.end()
        for runner in self.runners:
            if runner.up:
                runner.server.close()


def free_ports(count):
    """Return free ports of the loopback interface.

    They lie below those of outgoing connections, which could take them.
    """
    held = []
    while len(held) < count:
        one = socket.socket()
        try:
            one.bind((HOST, random.randrange(FIRST_PORT, LAST_PORT)))
            held.append(one)
        except OSError:
            one.close()
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def play(case, folder):
    """Run a case; exit with 1 if the rule was broken, 2 if it could not run."""
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        fleet = Fleet(folder)
        fleet.record.note('begin', trouble=trouble)
        try:
            await fleet.open()
            async with asyncio.timeout(115):
                return await case(fleet, trouble)
        finally:
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                for daemon in fleet.daemons:
                    source = pathlib.Path(fleet.folder) / f'{daemon.name}.log'
                    if source.exists():
                        target = pathlib.Path(keep) / source.name
                        target.write_bytes(source.read_bytes())
            fleet.end()

    try:
        status, text = asyncio.run(run())
    except Exception as error:
        status, text = 2, f'could not run: {error!r}'
    print(text)
    with open(pathlib.Path(folder) / 'record.txt', 'a') as record:
        record.write(f'result {status}: {text}\n')
    sys.exit(status)
