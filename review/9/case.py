"""Whole streams of runners that leave are cut off.

See claim.txt.  A runner that drains goes on with its runs, and exits when the
last of them has ended; its answers end with their channels.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), '../kit-2'))
from kit import *  # noqa: E402,F403

EVENTS = 60
GRACE_S = BOUNDS['grace_s']
DRAIN_S = BOUNDS['drain_ms'] / 1000


class Leaving(Engine):
    """Ends its answers with their channels, as RULES.md allows."""

    running = 0
    drained = None

    async def stream(self, line, fields, writer):
        name = fields.get('x-request-id', '')
        self.ran.append((name, now()))
        self.running += 1
        self.record('runner %s runs id=%s' % (self.id, name))
        text = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        for field in self.marks(fields):
            text += '%s: %s\r\n' % field
        writer.write(text.encode() + b'Connection: close\r\n\r\n')
        for number in range(1, EVENTS + 1):
            writer.write(b'id: %d\ndata: text %d\n\n' % (number, number))
            await writer.drain()
            await asyncio.sleep(0.1)
        self.finished.append((name, now()))
        self.running -= 1
        self.record('runner %s has written all of id=%s' % (self.id, name))
        if (self.drained is not None and self.running == 0
                and now() >= self.drained + DRAIN_S):
            self.server.close()
            self.store.remove('servers', self.id)
            self.record('runner %s exits' % self.id)
        return False

    def drain(self):
        self.state = 'draining'
        self.drained = now()
        self.store.put('servers', self.id, self.entry())
        self.record('runner %s drains' % self.id)


async def ask(node, name):
    sent = now()
    result = await call(node.ip, node.front, 'POST', '/advice/1', {
        'X-Request-Id': name, 'X-Deadline-Ms': '14000', 'X-Model': 'm',
        'X-Token-Counts': '1400,%d' % EVENTS,
        'X-Prompt-Prefix': '5c1e07a2:200,%s:1200' % name.encode().hex()},
        b'{"prompt":"%s"}' % name.encode(), timeout=14)
    whole = result is not None and result[0] == 200 and result[3]
    return name, sent, now(), result[0] if result else None, whole


async def case(record, place, trouble):
    net = network()
    store = Store(net + '.1')
    await store.start()
    store.put('config', 'main', desired_state(
        1, [engine_service('llm')],
        [stream_route('advice', 'llm', False, '/advice/')]))

    async def engine(number):
        runner = Leaving(store, net + '.%d' % number, 9000, 'i-%d' % number,
                         'llm', record=record,
                         stage='prefill' if number == 10 else 'decode')
        await runner.start()
        record('runner %s is ready' % runner.id)
        return runner

    engines = [await engine(10 + i) for i in range(6)]
    node = Node(net + '.2', 'front-1', store, place)
    try:
        await node.start()
        if not await node.until_ready():
            return 2
        await asyncio.sleep(1)
        asked = [asyncio.ensure_future(ask(node, 'advice-%d' % i))
                 for i in range(12)]
        await asyncio.sleep(1)
        stopped = now()
        if trouble:
            # A release: a new runner starts first, then an old one drains.
            for old in engines[1:4]:
                engines.append(await engine(int(old.id[2:]) + 10))
                old.drain()
                await asyncio.sleep(1)
            record('SIGTERM of %s' % node.name)
            stopped = now()
            node.signal(signal.SIGTERM)
        results = await asyncio.gather(*asked)
        done = {name for runner in engines for name, at in runner.finished}
        lost = 0
        for name, sent, ended, status, whole in results:
            counts = (trouble and not whole and status == 200 and name in done
                      and ended <= stopped + GRACE_S + 1)
            lost += counts
            record('client got id=%s sent=%.3f ended=%.3f status=%s whole=%s '
                   'runner_finished=%s%s'
                   % (name, sent, ended, status, whole, name in done,
                      ' LOST' if counts else ''))
        record('lost=%d of %d' % (lost, len(results)))
        if len(done) < len(results):
            return 2
        return 1 if lost else 0
    finally:
        await node.kill()


main(case, os.path.dirname(os.path.abspath(__file__)))
