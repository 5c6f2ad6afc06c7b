"""A restarted gateway cuts off streams whose events are numbered by tokens.

See claim.txt.  The runners are sound: each event has 70 tokens, and its id is
the number of tokens that the run has made, so that ids increase by 70.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), '../kit-2'))
from kit import *  # noqa: E402,F403

TOKENS = 70
SHORT = 5
GRACE_S = BOUNDS['grace_s']


class TokenNumbered(Engine):
    def events(self, fields):
        most = int(fields['x-token-counts'].split(',')[1])
        return range(TOKENS, most + 1, TOKENS)


async def ask(node, name, path, events):
    sent = now()
    result = await call(node.ip, node.front, 'POST', path, {
        'X-Request-Id': name, 'X-Deadline-Ms': '14000', 'X-Model': 'm',
        'X-Token-Counts': '1400,%d' % (events * TOKENS),
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
        [stream_route('advice', 'llm', False, '/advice/'),
         stream_route('warm', 'llm', True, '/warm/', attempts=2)]))
    engines = [TokenNumbered(store, net + '.%d' % (10 + i), 9000, 'i-%d' % i,
                             'llm', record=record,
                             stage='prefill' if i == 0 else 'decode')
               for i in range(4)]
    for engine in engines:
        await engine.start()
    nodes = [Node(net + '.%d' % (2 + i), 'front-%d' % (1 + i), store, place)
             for i in range(2)]
    try:
        for node in nodes:
            await node.start()
        for node in nodes:
            if not await node.until_ready():
                return 2
        await asyncio.sleep(1)
        # Each node sees long streams first, as it does in steady state.
        for node in nodes:
            for i in range(2):
                result = await ask(node, 'warm-%s-%d' % (node.name, i),
                                   '/warm/', 20)
                record('client got id=%s status=%s whole=%s'
                       % (result[0], result[3], result[4]))
        node = nodes[0]
        stopped = now()
        if trouble:
            record('SIGTERM of %s, which is started again' % node.name)
            node.signal(signal.SIGTERM)
            await asyncio.wait_for(node.process.wait(), GRACE_S)
            await asyncio.sleep(0.3)
            await node.start()
            if not await node.until_ready():
                return 2
            record('%s is ready again' % node.name)
        results = []
        for batch in range(4):
            results += await asyncio.gather(*[
                ask(node, 'advice-%d-%d' % (batch, i), '/advice/', SHORT)
                for i in range(4)])
        done = {name for engine in engines for name, at in engine.finished}
        lost = 0
        for name, sent, ended, status, whole in results:
            counts = (not whole and name in done and status == 200 and trouble
                      and ended <= stopped + GRACE_S + 1)
            lost += counts
            record('client got id=%s sent=%.3f ended=%.3f status=%s whole=%s '
                   'runner_finished=%s%s'
                   % (name, sent, ended, status, whole, name in done,
                      ' LOST' if counts else ''))
        record('lost=%d of %d' % (lost, len(results)))
        bad = sum(not r[4] for r in results)
        record('not whole=%d' % bad)
        if len(done) < 8:
            return 2
        return 1 if lost else 0
    finally:
        for node in nodes:
            await node.kill()


main(case, os.path.dirname(os.path.abspath(__file__)))
