"""One request that is too large for the runners stops a service for a day.

See claim.txt.  Runners are processes; one ends when it begins to run the
request that does not fit into its memory, and starts again a second later.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), '../kit-2'))
from kit import *  # noqa: E402,F403

LARGE = 'feed'  # the last part of the large request's prompt
RECOVER_S = BOUNDS['recover_s']


class Small(Engine):
    async def stream(self, line, fields, writer):
        print('runs id=%s' % fields.get('x-request-id', ''), flush=True)
        await asyncio.sleep(0.15)
        if fields['x-prompt-prefix'].split(',')[-1].startswith(LARGE):
            os._exit(137)
        return await super().stream(line, fields, writer)


class NoStore:
    def put(self, kind, name, spec):
        pass


async def serve(ip, name, stage):
    """The process of a runner."""
    runner = Small(NoStore(), ip, 9000, name, 'llm', stage=stage)
    await runner.start()
    print('ready', flush=True)
    await asyncio.Event().wait()


class Process:
    """A runner that is a process, which is started again when it ends."""

    def __init__(self, store, ip, stage, record):
        self.store, self.ip, self.stage = store, ip, stage
        self.record = record
        self.starts = 0
        self.crashes = 0
        self.stopped = False
        self.process = None

    async def start(self):
        self.starts += 1
        self.id = 'i-%s-%d' % (self.ip.split('.')[3], self.starts)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, os.path.abspath(__file__), 'runner', self.ip,
            self.id, self.stage, stdout=asyncio.subprocess.PIPE)
        line = await asyncio.wait_for(self.process.stdout.readline(), 10)
        if line != b'ready\n':
            raise RuntimeError('a runner did not start')
        self.store.put('servers', self.id, Engine(
            self.store, self.ip, 9000, self.id, 'llm',
            stage=self.stage).entry())
        self.record('runner %s started' % self.id)
        asyncio.ensure_future(self.watch())

    async def watch(self):
        process, name = self.process, self.id
        async for line in process.stdout:
            self.record('runner %s %s' % (name, line.decode().strip()))
        await process.wait()
        if self.stopped:
            return
        self.crashes += 1
        self.record('runner %s has crashed' % name)
        await asyncio.sleep(1)
        await self.start()
        # Its former entry expires after three heartbeats.
        await asyncio.sleep(2.6)
        self.store.remove('servers', name)

    async def kill(self):
        self.stopped = True
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


async def attempt(node, name, part):
    result = await call(node.ip, node.front, 'POST', '/advice/1', {
        'X-Request-Id': name, 'X-Deadline-Ms': '14000', 'X-Model': 'm',
        'X-Token-Counts': '1400,350',
        'X-Prompt-Prefix': '5c1e07a2:200,%s:1200' % part},
        b'{"prompt":"%s"}' % part.encode(), timeout=14)
    return (result[0] if result else None,
            result[1].get('retry-after') if result else None,
            result is not None and result[0] == 200 and result[3])


async def request(record, nodes, number, part, retries=1):
    """What a client does: RETRIES more attempts, each at another node."""
    for i in range(retries + 1):
        node = nodes[(number + i) % len(nodes)]
        name = 'r%d-%d' % (number, i)
        status, retry_after, whole = await attempt(node, name, part)
        record('client got id=%s from %s status=%s retry_after=%s whole=%s'
               % (name, node.name, status, retry_after, whole))
        if whole:
            return True
        await asyncio.sleep(min(float(retry_after or 0.1), 1))
    return False


async def case(record, place, trouble):
    net = network()
    store = Store(net + '.1')
    await store.start()
    store.put('config', 'main', desired_state(
        1, [engine_service('llm')],
        [stream_route('advice', 'llm', True, '/advice/', attempts=2)]))
    runners = [Process(store, net + '.%d' % (10 + i),
                       'prefill' if i < 2 else 'decode', record)
               for i in range(16)]
    nodes = [Node(net + '.%d' % (2 + i), 'front-%d' % (1 + i), store, place)
             for i in range(2)]
    try:
        await asyncio.gather(*[runner.start() for runner in runners])
        for node in nodes:
            await node.start()
        for node in nodes:
            if not await node.until_ready():
                return 2
        await asyncio.sleep(14)
        before = [await request(record, nodes, i, '%08x' % (1 + i))
                  for i in range(8)]
        record('final fault: all gateway processes are killed')
        for node in nodes:
            await node.kill()
        await asyncio.sleep(1)
        for node in nodes:
            await node.start()
        for node in nodes:
            if not await node.until_ready():
                return 2
        back = now()
        record('all gateway processes are back')
        await asyncio.sleep(1)
        if trouble:
            record('a client sends a request that is too large')
            await request(record, nodes, 100, LARGE + '0001', retries=3)
        await asyncio.sleep(max(0, back + RECOVER_S + 0.5 - now()))
        after = []
        for i in range(16):
            after.append(await request(record, nodes, 200 + i,
                                       '%08x' % (1000 + i)))
            await asyncio.sleep(0.5)
        for kind, name in sorted(store.objects):
            if name.startswith('quarantine-'):
                record('the store has %s/%s' % (kind, name))
        crashes = sum(runner.crashes for runner in runners)
        record('served before the final fault: %d of %d; later than '
               'recover_s after it: %d of %d; runners crashed: %d'
               % (sum(before), len(before), sum(after), len(after), crashes))
        if sum(before) * 4 < len(before):
            return 2
        return 1 if sum(after) * 4 < len(after) else 0
    finally:
        for process in nodes + runners:
            await process.kill()


if sys.argv[1:2] == ['runner']:
    asyncio.run(serve(*sys.argv[2:]))
else:
    main(case, os.path.dirname(os.path.abspath(__file__)))
