"""Stand-ins of the platform, its runners and its clients, for review/6 to 10.

They speak what PROTOCOL.md and DEPLOY.md say, on loopback addresses, and
start the gateway with the command and the template of deploy/system.toml.
"""
import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, 'record.txt'), 'w')

    def __call__(self, text):
        self.file.write('%9.3f %s\n' % (now(), text))
        self.file.flush()


def network():
    """A /24 of 127.0.0.0/8 of this process alone."""
    pid = os.getpid()
    return '127.%d.%d' % (1 + pid // 250 % 250, 1 + pid % 250)


async def read_head(reader):
    """Return (start line, fields), or None at the end of the channel."""
    try:
        text = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = text.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        if ':' in line:
            name, value = line.split(':', 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if 'chunked' in fields.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get('content-length', 0)))


def answer(status, body=b'', fields=()):
    reason = {200: 'OK', 201: 'Created', 202: 'Accepted'}.get(status, 'Other')
    text = 'HTTP/1.1 %d %s\r\n' % (status, reason)
    for name, value in fields:
        text += '%s: %s\r\n' % (name, value)
    text += 'Content-Length: %d\r\n\r\n' % len(body)
    return text.encode('latin-1') + body


def json_answer(status, value):
    return answer(status, json.dumps(value).encode(),
                  [('Content-Type', 'application/json')])


class Store:
    """The platform's metadata store."""

    def __init__(self, ip, port=8142):
        self.ip, self.port = ip, port
        self.objects = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 self.port)

    def change(self, kind, name, spec, removed=False):
        self.revision += 1
        old = self.objects.get((kind, name))
        if removed:
            value = self.objects.pop((kind, name))
            value['metadata']['revision'] = self.revision
        else:
            value = {'metadata': {
                'name': name, 'revision': self.revision,
                'created_rev': (old['metadata']['created_rev'] if old
                                else self.revision),
                'finalizers': [], 'deleting': False},
                'spec': spec, 'status': {}}
            self.objects[kind, name] = value
        self.events.append((self.revision, kind,
                            {'object': value, 'tombstone': removed}))
        self.changed.set()
        self.changed = asyncio.Event()
        return value

    def put(self, kind, name, spec):
        return self.change(kind, name, spec)

    def remove(self, kind, name):
        if (kind, name) in self.objects:
            self.change(kind, name, None, True)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                writer.write(await self.call(head[0], body))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, line, body):
        method, target, _ = line.split(' ')
        path, _, query = target.partition('?')
        query = dict(p.partition('=')[::2] for p in query.split('&') if p)
        parts = path.split('/')[3:]
        if path.split('/')[1:3] != ['v1', 'objects'] or not parts:
            return json_answer(404, {})
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == 'GET' and name is None and 'watch' in query:
            return await self.watch(kind, int(query['watch']),
                                    int(query.get('wait_ms', 0)))
        if method == 'GET' and name is None:
            items = [v for (k, n), v in sorted(self.objects.items())
                     if k == kind and n > query.get('after', '')]
            return json_answer(200, {'items': items, 'more_pages': False,
                                     'store_revision': self.revision})
        if method == 'GET':
            value = self.objects.get((kind, name))
            return json_answer(200 if value else 404, value or {})
        sent = json.loads(body) if body else {}
        if method == 'POST':
            name = sent['metadata']['name']
            if (kind, name) in self.objects:
                return json_answer(409,
                                   {'object': self.objects[kind, name]})
            return json_answer(201, self.put(kind, name, sent.get('spec')))
        value = self.objects.get((kind, name))
        if value is None:
            return json_answer(404, {})
        wanted = sent.get('metadata', {}).get('revision',
                                              query.get('revision'))
        if wanted is not None and int(wanted) != value['metadata']['revision']:
            return json_answer(409, {'object': value})
        if method == 'DELETE':
            self.remove(kind, name)
            return json_answer(200, {})
        if sent.get('spec') == value['spec']:
            return json_answer(200, value)
        return json_answer(200, self.put(kind, name, sent.get('spec')))

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [e for r, k, e in self.events if r > since and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return json_answer(200, {'events': events,
                                         'store_revision': self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Runner:
    """A sound runner of a plain service; cases override run()."""

    def __init__(self, store, ip, port, name, service, zone='z-a', slots=6,
                 record=None):
        self.store, self.ip, self.port, self.id = store, ip, port, name
        self.service, self.zone, self.slots = service, zone, slots
        self.record = record or (lambda text: None)
        self.ran = []
        self.stage = None
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)

    def entry(self):
        value = {'service': self.service,
                 'address': '%s:%d' % (self.ip, self.port),
                 'zone': self.zone, 'version': 'v1', 'slots': self.slots,
                 'state': self.state, 'cold_left_ms': 0,
                 'sequence': self.sequence, 'born': self.born}
        if self.stage:
            value['stage'] = self.stage
            value['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return value

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 self.port, backlog=512)
        self.store.put('servers', self.id, self.entry())

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                if not await self.request(head[0], head[1], reader, writer):
                    break
                if head[1].get('connection', '').lower() == 'close':
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def reject(self, fields):
        """The answer to a request that this runner does not run, or None."""
        if fields.get('x-expect-instance', self.id) != self.id:
            return answer(421, b'', [('X-Instance-Id', self.id),
                                     ('X-Not-Executed', '1')])
        return None

    def marks(self, fields):
        return [('X-Request-Id', fields.get('x-request-id', '')),
                ('X-Response-Seal', 'seal.%s.%s'
                 % (self.id, fields.get('x-request-id', '')))]

    async def request(self, line, fields, reader, writer):
        body = await read_body(reader, fields)
        refusal = self.reject(fields)
        if refusal:
            writer.write(refusal)
        else:
            self.ran.append((fields.get('x-request-id', ''), now()))
            self.record('runner %s runs id=%s %s'
                        % (self.id, fields.get('x-request-id', ''), line))
            writer.write(await self.run(line, fields, body))
        await writer.drain()
        return True

    async def run(self, line, fields, body):
        await asyncio.sleep(0.015)
        return answer(200, b'x' * 800, self.marks(fields))


class Engine(Runner):
    """A sound model runner of one stage; cases override events()."""

    def __init__(self, *args, stage='decode', **more):
        super().__init__(*args, **more)
        self.stage = stage
        self.handles = 0
        self.finished = []

    async def request(self, line, fields, reader, writer):
        body = await read_body(reader, fields)
        method, path, _ = line.split(' ')
        refusal = self.reject(fields)
        if refusal:
            writer.write(refusal)
        elif path.startswith('/v1/'):
            writer.write(await self.control(method, path, body))
        elif fields.get('x-serving-stage') == 'prefill':
            writer.write(await self.prefill(fields))
        elif self.stage != 'decode':
            writer.write(answer(421, b'', [('X-Not-Executed', '1')]))
        else:
            return await self.stream(line, fields, writer)
        await writer.drain()
        return True

    async def control(self, method, path, body):
        if path == '/v1/hold-take':
            self.handles += 1
            return json_answer(200, {'hold': 'h-%s-%d'
                                     % (self.id, self.handles)})
        if path == '/v1/report':
            return json_answer(200, {
                'stage': self.stage, 'busy': False, 'queued': 0,
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'sequence': self.sequence, 'running': 0, 'kv_used': 0,
                'kv_total': 106284, 'kv_handles': 0, 'born': self.born})
        if path == '/v1/kv-list':
            return json_answer(200, {'epoch': 1, 'next': 1, 'held': []})
        if path == '/v1/order':
            return json_answer(409, {})
        if path == '/v1/kv-move':
            return json_answer(404, {})
        return json_answer(200 if method == 'DELETE' else 404, {})

    async def prefill(self, fields):
        await asyncio.sleep(0.02)
        self.handles += 1
        return answer(200, json.dumps({
            'kv_handle': 'k%s%d' % (self.id.replace('-', ''), self.handles),
            'tokens': int(fields['x-token-counts'].split(',')[0]),
            'version': 1}).encode(), self.marks(fields))

    def events(self, fields):
        """The ids of a run's events, in order."""
        return range(1, 6)

    async def stream(self, line, fields, writer):
        name = fields.get('x-request-id', '')
        self.ran.append((name, now()))
        self.record('runner %s runs id=%s %s' % (self.id, name, line))
        text = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        for field in self.marks(fields):
            text += '%s: %s\r\n' % field
        writer.write(text.encode() + b'Transfer-Encoding: chunked\r\n\r\n')
        done = int(fields.get('last-event-id', 0))
        for number in self.events(fields):
            if number <= done:
                continue
            await asyncio.sleep(0.04)
            event = 'id: %d\ndata: text %d\n\n' % (number, number)
            writer.write(b'%x\r\n%s\r\n' % (len(event), event.encode()))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.finished.append((name, now()))
        self.record('runner %s has written all of id=%s' % (self.id, name))
        return True


BOUNDS = {
    'seed_lag_s': 3, 'addr_reuse_s': 2, 'contact_ms': 3000, 'ack_ms': 4000,
    'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 8, 'loss_slack_ms': 200,
    'config_apply_ms': 2000, 'rollback_slack_ms': 250, 'outer_ms': 5000,
    'retry_budget_ratio': 0.2, 'budget_window_s': 10, 'budget_slack': 52,
    'recover_s': 12, 'transit_ms': 120, 'again_s': 3,
    'fencing_enforced': False, 'lease_ms': 3000, 'thaw_ms': 300,
    'ttl_max_s': 5}


def render(template, values):
    """Fill in the placeholders that the project's template uses."""
    def look_up(match):
        path, _, form = match.group(1).partition('|')
        value = values
        for part in path.split('.'):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        if form == 'json':
            return json.dumps(value)
        return '' if value is None else str(value)
    return re.sub(r'\{\{([^}]*)\}\}', look_up, template)


class Node:
    """One gateway process, as deploy/system.toml says."""

    def __init__(self, ip, name, store, folder, memory_mb=110, zone='z-a',
                 max_fds=4100, bounds=None):
        self.ip, self.name, self.folder = ip, name, folder
        with open(os.path.join(ROOT, 'deploy/system.toml'), 'rb') as file:
            self.role = tomllib.load(file)['roles']['gateway']
        self.front, self.ready, self.directory = 8144, 8140, 8143
        self.values = {
            'node_name': name, 'zone': zone, 'region': 'r',
            'listen_addrs': {'front': ip + ':8144', 'ready': ip + ':8140',
                             'control': ip + ':8146',
                             'directory': ip + ':8143'},
            'internal_ports': [7660, 7675],
            'limits': {'memory_mb': memory_mb, 'max_fds': max_fds},
            'bounds': dict(BOUNDS, **(bounds or {})),
            'platform': {'address': '%s:%d' % (store.ip, store.port),
                         'writes_per_s': 400, 'reads_per_s': 2000}}
        self.settings = os.path.join(folder, name + '.yaml')
        self.process = None
        self.starts = 0

    async def start(self):
        with open(os.path.join(ROOT, self.role['template'])) as file:
            text = render(file.read(), self.values)
        with open(self.settings, 'w') as file:
            file.write(text)
        program = self.role['run'].split()[0]
        self.starts += 1
        self.log = open(os.path.join(self.folder, self.name + '.log'), 'ab')
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, program), self.settings, cwd=ROOT,
            stdout=self.log, stderr=self.log,
            env={'PATH': os.environ.get('PATH', ''),
                 'BERYLROUTER_SETTINGS': self.settings})

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def resident_mb(self):
        try:
            with open('/proc/%d/status' % self.process.pid) as file:
                for line in file:
                    if line.startswith('VmRSS'):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    async def is_ready(self):
        result = await call(self.ip, self.ready, 'GET', '/v1/ready', {})
        return result is not None and result[0] == 200

    async def until_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def call(ip, port, method, path, fields, body=b'', timeout=10.0):
    """One request on a new channel: (status, fields, body, whole) or None."""
    try:
        return await asyncio.wait_for(
            call_open(ip, port, method, path, fields, body), timeout)
    except (ConnectionError, OSError, asyncio.TimeoutError):
        return None


async def call_open(ip, port, method, path, fields, body):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        text = '%s %s HTTP/1.1\r\n' % (method, path)
        fields = dict({'Host': 'a.example', 'Connection': 'close'}, **fields)
        if body:
            fields['Content-Length'] = str(len(body))
        for name, value in fields.items():
            text += '%s: %s\r\n' % (name, value)
        writer.write(text.encode() + b'\r\n' + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return None
        status = int(head[0].split()[1])
        try:
            whole = True
            if ('content-length' in head[1]
                    or 'transfer-encoding' in head[1]):
                content = await read_body(reader, head[1])
            else:
                content = await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            content, whole = b'', False
        return status, head[1], content, whole
    finally:
        writer.close()


def plain_route(name, service, kind='unsafe', path='/a/', host='a.example',
                **more):
    return dict({'name': name, 'host': host, 'path_prefix': path,
                 'service': service, 'kind': kind, 'max_attempts': 2,
                 'timeout_ms': 1500, 'target_latency_ms': 100,
                 'priority': 0}, **more)


def plain_service(name, **more):
    return dict({'name': name, 'health_path': '/health',
                 'max_connections': 96}, **more)


def engine_service(name):
    return {'name': name, 'health_path': '/health', 'max_connections': 360,
            'protocol': 'h1', 'tls': False, 'engine': {
                'slots': 64, 'kv_tokens': 106284, 'kv_token_bytes': 163840,
                'link_mbps': 8800000.0, 'moves': False, 'backups': False,
                'stride': 70, 'most': 12, 'kv_hold_s': 0.5,
                'stage_switch_s': 6.0, 'pin_ms': 4000.0, 'hold_ms': 2000.0,
                'models': [{'name': 'm'}]}}


def stream_route(name, service, resumable, path='/s/', host='a.example',
                 attempts=1):
    return {'name': name, 'host': host, 'path_prefix': path,
            'service': service, 'kind': 'streaming',
            'max_attempts': attempts, 'timeout_ms': 14000,
            'target_latency_ms': 900, 'priority': 1, 'sticky': True,
            'resumable': resumable, 'gap_aim_ms': 300}


def desired_state(version, services, routes, **more):
    return dict({'version': version, 'services': services, 'routes': routes,
                 'limits': {'max_header_bytes': 16384,
                            'max_body_bytes': 4194304,
                            'header_timeout_ms': 10000,
                            'idle_timeout_ms': 60000}}, **more)


def main(case, folder):
    """Run CASE (an async function of record, temporary folder and whether
    the disruption is on), and exit with its verdict."""
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record('trouble=%d' % trouble)

    async def bounded():
        return await asyncio.wait_for(case(record, place, trouble), 110)
    with tempfile.TemporaryDirectory() as place:
        try:
            verdict = asyncio.run(bounded())
        except Exception as error:  # the case could not run
            record('could not run: %r' % error)
            verdict = 2
    record('verdict=%d' % verdict)
    sys.exit(verdict)
