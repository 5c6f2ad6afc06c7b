"""One system under test: its processes, proxies, callers and their history."""
import asyncio
import contextlib
import os
import random
import signal
import socket
import time

from . import faults
from .caller import GAP_S, Attempt, Caller, Stream
from .clock import LoopClock
from .processes import PORTS, Node, Platform
from .proxy import Proxy

RUNNERS = [("plain", None)] * 3 + [("other", None)] * 2 \
    + [("model", "prefill")] * 2 + [("model", "decode")] * 4
# So many nodes, whose probes are a load of their own, share one such set.
NODES_PER_SET = 8
# Of each kind so many are left alone at any time.
LEFT_ALONE = {("plain", None): 1, ("other", None): 1,
              ("model", "prefill"): 1, ("model", "decode"): 2}
STORE_PORT = 8142
READY_S = 15
NETS = 250
LOCK_PORT = 8099
TERMS = {"configuration_delay_ms": 2000, "endpoint_leave_ms": 2000, "address_keep_ms": 1000, "stop_ms": 5000,
         "lease_ms": 2000, "thaw_ms": 200, "record_keep_ms": 4000,
         "repeat_slack": 50, "log_lines_per_s": 5000}


# These are seen in bytes, counts and exit statuses, however late.
UNTIMED = {"TWICE", "REFUSED", "MIXED", "ORDER", "RETRY", "BLAMED", "EXIT",
           "MEMORY"}


class Broken:
    """A rule that a run has broken."""

    def __init__(self, rule, text, timed):
        self.rule = rule
        self.text = text
        self.timed = timed  # a late loop may have brought it about


def claim_net(seed):
    """A part of the loopback range that no other run on this machine has, and
    the socket that keeps it."""
    for number in range(NETS):
        net = f"127.{1 + (os.getpid() + number) % NETS}.{1 + seed % NETS}"
        lock = socket.socket()
        try:
            lock.bind((f"{net}.{NETS + 1}", LOCK_PORT))
            return net, lock
        except OSError:
            lock.close()
    raise OSError("all networks of this seed are in use")


class Runner:
    def __init__(self, name, service, stage, proxy, version):
        self.id = name
        self.version = version
        self.service = service
        self.stage = stage
        self.proxy = proxy
        self.picked = False


class World:
    def __init__(self, seed, build, directory, nodes, callers,
                 linked=False):
        self.seed = seed
        self.linked = linked     # nodes have links of their own to the runners
        self.cuts = []           # faults.Cut
        self.cut = set()         # indices of the nodes that are cut now
        self.rng = random.Random(seed)
        self.directory = directory
        self.terms = dict(TERMS)
        self.repeat_slack = TERMS["repeat_slack"]  # most that a node has had
        self.net, self.lock = claim_net(seed)
        self.platform = Platform(build, directory)
        self.nodes = [Node(i, f"{self.net}.{i + 1}", build, directory,
                           self.terms) for i in range(nodes)]
        self.store_proxies = [Proxy(f"{self.net}.{100 + i}", STORE_PORT)
                              for i in range(nodes)]
        self.front_proxies = [Proxy(f"{self.net}.{150 + i}", PORTS["front"])
                              for i in range(nodes)]
        self.runner_kinds = RUNNERS * -(-nodes // NODES_PER_SET)
        self.runner_proxies = [Proxy(f"{self.net}.200", 9000 + i)
                               for i in range(len(self.runner_kinds))]
        self.callers_count = callers
        self.callers_end = False
        self.runners = []
        self.runner_count = 0
        self.attempts = {}
        self.probes = []         # (time, node, host, status)
        self.readings = []       # (time, node, version in use)
        self.old_keys = []       # (time, node, host, status) with an older key
        self.uneven = False      # runners differ in speed
        self.flat = False        # memory is checked at its peak, too
        self.keyed = False       # hosts of versions need keys of versions
        self.routes = 0          # more in the configuration
        self.versions = []       # (acknowledged, version)
        self.changes = []        # (sent, acknowledged)
        self.silences = []       # faults.Silence
        self.standing = set()    # runners that stand still now and then
        self.gap_s = GAP_S       # a stream without an event is given up then
        self.idle_s = None       # limit of callers' idle connections, if low
        self.operator = asyncio.Lock()
        self.calm_between_silences = asyncio.Lock()
        self.one_restore = asyncio.Lock()  # there is one copy
        self.crashing = 0        # faults that may crash all model runners
        self.software = 1        # version of the runners that start
        self.disturbances = []
        self.broken = []         # Broken
        self.clock = LoopClock()
        self.tasks = []
        self.began = time.monotonic()

    def broke(self, rule, text, timed=None):
        if timed is None:
            timed = rule not in UNTIMED
        self.broken.append(Broken(rule, text, timed))

    @contextlib.contextmanager
    def disturbed(self, scopes, text, planned=False):
        if isinstance(scopes, str):
            scopes = [scopes]
        entries = [faults.Disturbance(scope, text, planned)
                   for scope in scopes]
        self.disturbances += entries
        try:
            yield
        finally:
            for entry in entries:
                entry.ended = time.monotonic()

    def calm(self, began, ended, scopes=None, planned=True):
        """Whether nothing (of SCOPES) was disturbed; PLANNED counts too."""
        return not any(d.overlaps(began, ended) for d in self.disturbances
                       if (scopes is None or d.scope in scopes)
                       and (planned or not d.planned))

    def changing(self, began, ended):
        """Whether a configuration may have come into force meanwhile."""
        bound_s = self.terms["configuration_delay_ms"] / 1000 + 1
        return any(sent <= ended and began <= acknowledged + bound_s
                   for sent, acknowledged in self.changes)

    def silent_s(self, runner, began, ended):
        """For how much of that time RUNNER stood still."""
        return sum(max(0, min(ended, s.until()) - max(began, s.began))
                   for s in self.silences if s.runner == runner)

    def nodes_paused_between(self, node, began, ended):
        return not self.calm(began, ended, [f"node-{node}"])

    def in_touch(self, node, at):
        return self.calm(at - faults.CONTACT_S, at,
                         [f"node-{node}", "store"])

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def open(self):
        await self.platform.start()
        if self.idle_s is not None:
            self.platform.tell("idle-timeout", int(1000 * self.idle_s))
        for node, proxy in zip(self.nodes, self.store_proxies):
            port = self.platform.port
            if self.linked:
                said = await self.platform.ask("link", self.link(node))
                port = int(said.split()[2])
            proxy.target = ("127.0.0.1", port)
        for node, proxy in zip(self.nodes, self.front_proxies):
            proxy.target = (node.address, PORTS["front"])
        for proxy in (self.store_proxies + self.front_proxies
                      + self.runner_proxies):
            await proxy.open()
        await self.configure("plain")
        for (service, stage), proxy in zip(self.runner_kinds,
                                           self.runner_proxies):
            await self.start_runner(service, stage, proxy)
        for node in self.nodes:
            proxy = self.store_proxies[node.index]
            node.write_settings((proxy.address, proxy.port))
            self.spawn(node.supervise())
        await asyncio.wait_for(self.all_known(), READY_S)

    def link(self, node):
        """The address at which NODE finds the runners."""
        return f"{self.net}.{220 + node.index}"

    async def all_known(self):
        while True:
            try:
                found = await Caller.ask_directory(self.nodes[0])
                if len(found["addresses"]) == len(self.nodes):
                    return
            except (OSError, ValueError):
                pass
            await asyncio.sleep(0.1)

    async def start_runner(self, service, stage, proxy):
        name = f"{service[0]}{self.runner_count}"
        self.runner_count += 1
        address = "-" if self.linked else f"{proxy.address}:{proxy.port}"
        said = await self.platform.ask("start", name, service, stage or "-",
                                       address)
        proxy.target = ("127.0.0.1", int(said.split()[2]))
        # Long enough that faults meet requests that run.
        self.platform.tell("work", name, self.rng.randint(5, 120))
        if self.uneven:
            # The longest stream still ends by its route's timeout.
            self.platform.tell("pace", name,
                               round(self.rng.uniform(0.5, 1.5), 1),
                               self.rng.choice([0, 0, 2, 4]))
        self.runners.append(Runner(name, service, stage, proxy,
                                   str(self.software)))

    def release(self):
        """Runners that start from now on have a new version."""
        self.software += 1
        self.platform.tell("release", self.software)

    def has_runners(self, version):
        """Whether two decode runners of VERSION, or of any, are left alone by
        all faults."""
        return not self.crashing and sum(
            r.stage == "decode" and not r.picked
            and version in (None, r.version) for r in self.runners) >= 2

    async def send_crashing(self, kind, rng):
        """One more of the requests that crash runners, at any node."""
        caller = Caller(self, len(self.attempts), rng)
        node = rng.choice(self.nodes)
        attempt = Attempt(f"crash-{len(self.attempts)}", kind, node.index)
        self.attempts[attempt.id] = attempt
        await caller.send(attempt, node, Stream(attempt.id, 0, 20), 1000, 4.0,
                          None)
        attempt.ended = time.monotonic()

    def pick_runner(self, rng, service=None, stage=None):
        """A runner that no other fault has, or None."""
        free = [r for r in self.runners if not r.picked
                and (service is None or r.service == service)
                and (stage is None or r.stage == stage)]
        rng.shuffle(free)
        for runner in free:
            kind = (runner.service, runner.stage)
            alone = sum(not r.picked and (r.service, r.stage) == kind
                        for r in self.runners)
            if alone > LEFT_ALONE[kind]:
                runner.picked = True
                return runner
        return None

    @staticmethod
    def give_back(runner):
        runner.picked = False

    async def replace_runner(self, runner):
        """Another one comes, of the same kind, at the same address."""
        self.runners.remove(runner)
        await self.start_runner(runner.service, runner.stage, runner.proxy)

    async def configure(self, service):
        # Faults that overlap share one operator.
        async with self.operator:
            version = self.versions[-1][1] + 3 if self.versions else 1
            host = f"v{version}.example"
            sent = time.monotonic()
            if self.keyed:
                await self.platform.ask("configure-keyed", version, service,
                                        host, self.routes, f"key-{version}")
            else:
                await self.platform.ask("configure", version, service, host)
            self.versions.append((time.monotonic(), version))
            self.changes.append((sent, self.versions[-1][0]))

    @staticmethod
    def hang_up(node):
        node.signal(signal.SIGHUP)

    async def probe(self, node):
        """Asks NODE for the newest host and the one before it, and which
        version it uses."""
        count = 0
        while not self.callers_end:
            for _, version in self.versions[-2:]:
                count += 1
                began = time.monotonic()
                status = await self.probe_host(node, version, version, count)
                self.probes.append((began, node.index, version, status))
            if self.keyed and len(self.versions) > 1:
                older, newer = self.versions[-2][1], self.versions[-1][1]
                status = await self.probe_host(node, newer, older, count)
                self.old_keys.append((began, node.index, newer, status))
                await self.read_version(node)
            await asyncio.sleep(0.2)

    async def probe_host(self, node, version, key, count):
        """The status of a request for the host of VERSION with the key of
        another one; 0 if there is none."""
        fields = f"Authorization: Bearer key-{key}\r\n" if self.keyed else ""
        answer = await self.ask_node(
            node, PORTS["front"],
            f"GET /x HTTP/1.1\r\nHost: v{version}.example\r\nX-Request-Id: "
            f"probe-{node.index}-{key}-{count}\r\nX-Deadline-Ms: 1000\r\n"
            f"{fields}Connection: close\r\n\r\n")
        words = answer.split(maxsplit=2)
        return int(words[1]) if len(words) > 1 else 0

    async def read_version(self, node):
        began = time.monotonic()
        answer = await self.ask_node(
            node, PORTS["metrics"],
            f"GET /metrics HTTP/1.1\r\nHost: {node.address}\r\n"
            "Connection: close\r\n\r\n")
        for line in answer.splitlines():
            if line.startswith("beryl_gateway_configuration_version "):
                self.readings.append((began, node.index,
                                      int(line.split()[1])))

    @staticmethod
    async def ask_node(node, port, text):
        """All of the answer; what there is of it if it ends in an error."""
        async def ask():
            reader, writer = await asyncio.open_connection(node.address, port)
            try:
                writer.write(text.encode())
                return (await reader.read()).decode(errors="replace")
            finally:
                writer.close()
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            return await asyncio.wait_for(ask(), 1.5)
        return ""

    async def play(self, profile, calm_s, trouble_s, rest_s):
        """The whole run: calm, trouble, and a rest in which all is well."""
        self.spawn(self.clock.watch())
        callers = [Caller(self, i, random.Random(self.seed * 1000 + i))
                   for i in range(self.callers_count)]
        running = [self.spawn(c.run()) for c in callers]
        running += [self.spawn(self.probe(node)) for node in self.nodes]
        await asyncio.sleep(calm_s)
        await self.trouble(profile, trouble_s)
        self.rest_began = time.monotonic()
        await asyncio.sleep(rest_s)
        self.callers_end = True
        await asyncio.wait(running)
        for task in running:
            if task.exception() is not None:
                raise task.exception()
        self.rest_ended = time.monotonic()

    async def trouble(self, profile, span_s):
        began = time.monotonic()
        steps = faults.schedule(self.rng, profile, span_s)
        running = []
        for at, fault, for_s in steps:
            await asyncio.sleep(max(0, began + at - time.monotonic()))
            running.append(asyncio.ensure_future(
                fault(self, self.rng, for_s)))
        await asyncio.wait(running)
        for task in running:
            if task.exception() is not None:
                raise task.exception()

    async def close(self):
        for node in self.nodes:
            node.restarts = False
            node.pause(False)
            node.kill()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.platform.stop()
        for proxy in (self.store_proxies + self.front_proxies
                      + self.runner_proxies):
            proxy.close()
        self.lock.close()
