"""After a release of the runners, a gateway cuts off every stream.

See claim.txt.  The first version writes one token an event; the second writes
the first token at once, and the others eight at a time.  The id of an event is
the number of tokens that the run has made.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), '../kit-2'))
from kit import *  # noqa: E402,F403

TOKENS = 41
BATCH = 8
GRACE_S = BOUNDS['grace_s']


class Versioned(Engine):
    software = 'v1'

    def entry(self):
        return dict(super().entry(), version=self.software)

    def events(self, fields):
        most = int(fields['x-token-counts'].split(',')[1])
        return range(1, most + 1, BATCH if self.software == 'v2' else 1)


async def ask(node, name):
    sent = now()
    result = await call(node.ip, node.front, 'POST', '/advice/1', {
        'X-Request-Id': name, 'X-Deadline-Ms': '14000', 'X-Model': 'm',
        'X-Token-Counts': '1400,%d' % TOKENS,
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

    async def engine(number, version):
        runner = Versioned(store, net + '.%d' % number, 9000,
                           'i-%d' % number, 'llm', record=record,
                           stage='decode' if number % 10 else 'prefill')
        runner.software = version
        await runner.start()
        record('runner %s of %s is ready' % (runner.id, version))
        return runner

    engines = [await engine(10 + i, 'v1') for i in range(7)]
    nodes = [Node(net + '.%d' % (2 + i), 'front-%d' % (1 + i), store, place)
             for i in range(2)]
    results = []
    stopped = None
    before = 0
    try:
        for node in nodes:
            await node.start()
        for node in nodes:
            if not await node.until_ready():
                return 2
        await asyncio.sleep(1)

        async def batch(node, name):
            for result in await asyncio.gather(*[
                    ask(node, '%s-%d' % (name, i)) for i in range(12)]):
                results.append(result)
                record('client got id=%s sent=%.3f ended=%.3f status=%s '
                       'whole=%s' % result)
        for node in nodes:
            await batch(node, 'before-' + node.name)
        before = len(results)
        if trouble:
            # One after the other: the new one starts first, the old one
            # drains and leaves.
            for old in engines[4:7]:
                engines.append(await engine(int(old.id[2:]) + 10, 'v2'))
                old.state = 'draining'
                store.put('servers', old.id, old.entry())
                record('runner %s drains' % old.id)
                await asyncio.sleep(1)
            await asyncio.sleep(BOUNDS['drain_ms'] / 1000 + 1)
            for old in engines[4:7]:
                old.server.close()
                store.remove('servers', old.id)
                record('runner %s has left' % old.id)
            await asyncio.sleep(1)
            record('SIGTERM of %s' % nodes[0].name)
            nodes[0].signal(signal.SIGTERM)
            stopped = now()
            await asyncio.sleep(0.1)
        else:
            await asyncio.sleep(7)
        await batch(nodes[0], 'last')
        # Not judged: what the machine does that is not stopped.
        for i in range(2):
            await batch(nodes[1], 'other-%d' % i)
        done = {name for runner in engines for name, at in runner.finished}
        ran = {name for runner in engines for name, at in runner.ran}
        lost = [r[0] for r in results if stopped is not None
                and r[0].startswith('last')
                and r[1] >= stopped and not r[4] and r[3] == 200
                and r[0] in ran and r[2] <= stopped + GRACE_S + 1]
        cut = [r[0] for r in results if not r[4] and r[0] in ran]
        record('streams=%d whole=%d cut=%d; around the SIGTERM (LOST): %s; '
               'runs that ended: %d'
               % (len(results), sum(r[4] for r in results), len(cut), lost,
                  len(done)))
        if not all(r[4] for r in results[:before]):
            return 2
        return 1 if lost else 0
    finally:
        for node in nodes:
            await node.kill()


main(case, os.path.dirname(os.path.abspath(__file__)))
