"""Machines are stopped and started in turn; clients reuse their channels."""

import asyncio
import math
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common"))
import engine  # noqa: E402
import stage  # noqa: E402

SERVICE = "huvo11a"
HOST = "ficu95.example"
GRACE_S = stage.BOUNDS["grace_s"]
DEADLINE_MS = 14000
# Speeds of the site palava-sklizen-grown.
SPEEDS = [0.7, 0.7, 1.7]
GATEWAYS = 2
PREFILL, DECODE = 4, 57
CLIENTS = 360
# The script's own delay from which on a run shows nothing.
LATE_S = 0.3
# "Clients keep a response for that long, some of them three times as long."
PATIENT_EACH = 2
PATIENT_TTLS = 3
ROLLS = 9
ROLL_S = 9.4
EVENTS_MEAN, EVENTS_SPREAD, EVENTS_MAX = 70, 0.5, 130


class Channel:
    """A channel that a client keeps for many requests."""

    def __init__(self, address):
        self.address = address
        self.ip = address.split(":")[0]
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def send(self, request, tokens):
        """Returns (status, events, whole, seconds until the client may try
        again)."""
        status, events, whole, closes, after_s = None, 0, False, True, 0.2
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(
                    self.ip, 8144)
            self.writer.write(
                (f"POST /lohu930/2f HTTP/1.1\r\nHost: {HOST}\r\n"
                 f"X-Request-Id: {request}\r\nX-Model: m\r\n"
                 f"X-Token-Counts: 5200,{tokens}\r\n"
                 f"X-Prompt-Prefix: 5c1e07a2:200,{request}:5000\r\n"
                 f"X-Deadline-Ms: {DEADLINE_MS}\r\n"
                 "Content-Length: 2\r\n\r\n{}").encode())
            head = await stage.read_head(self.reader)
            if head is not None:
                status = int(head[0].split()[1])
                closes = head[1].get("connection") == "close"
                after_s = float(head[1].get("retry-after", after_s))
                if "transfer-encoding" in head[1]:
                    while not whole:
                        size = int(await self.reader.readuntil(b"\r\n"), 16)
                        text = await self.reader.readexactly(size + 2)
                        events += text.count(b"id: ")
                        whole = size == 0
                else:
                    size = int(head[1].get("content-length", "0"))
                    await self.reader.readexactly(size)
                    whole = True
        except (OSError, asyncio.IncompleteReadError, ValueError):
            closes = True
        if closes:
            self.close()
        return status, events, whole, after_s


class World:
    """When the gateways were stopped, by their address."""

    def __init__(self):
        self.stopped = {}
        self.cut = []
        self.sent = self.reused = 0
        self.delay_s = 0.0


def draw_events():
    count = random.lognormvariate(math.log(EVENTS_MEAN)
                                  - EVENTS_SPREAD ** 2 / 2, EVENTS_SPREAD)
    return max(2, min(EVENTS_MAX, int(count)))


async def client(s, world, number, until):
    """Sends one stream after the other on a channel that it keeps while the
    directory names its address."""
    channel, n = None, 0
    patience = PATIENT_TTLS if number % PATIENT_EACH == 0 else 1
    addresses, fresh_until = [], 0
    await asyncio.sleep(0.01 * number)
    while time.monotonic() < until:
        if time.monotonic() >= fresh_until:
            gateways = random.sample(range(1, GATEWAYS + 1), GATEWAYS)
            answer = await s.resolve(gateways)
            if answer is not None:
                addresses = answer[0]
                fresh_until = time.monotonic() + patience * answer[1]
        if channel is not None and (channel.writer is None
                                    or channel.address not in addresses):
            channel.close()
            channel = None
        if channel is None:
            if not addresses:
                await asyncio.sleep(0.2)
                continue
            channel = Channel(random.choice(addresses))
        gateway = channel.ip
        n += 1
        count = draw_events()
        request = f"{number:08x}{n:08x}"
        begun = time.monotonic()
        after = begun - world.stopped.get(gateway, begun + 99)
        status, events, whole, after_s = await channel.send(
            request, count * engine.STRIDE)
        ended = time.monotonic()
        world.sent += 1
        stop_at = world.stopped.get(gateway, 0)
        s.record.write(f"request {request} answered {status}, {events} of "
                       f"{count} events, complete: {whole}\n")
        if after > 3 and status == 200:
            world.reused += 1
            s.log(f"request {request} sent {after:.2f} s after the SIGTERM of "
                  f"gateway {gateway}: {status}, {events} of {count} events, "
                  f"complete: {whole}, ended {ended - stop_at:.2f} s after it")
        if (status == 200 and not whole
                and ended - begun < DEADLINE_MS / 1000 - 0.5):
            s.log(f"request {request} sent {after:.2f} s after the SIGTERM of "
                  f"gateway {gateway} is cut {ended - stop_at:.2f} s after it")
            if after > 3:
                world.cut.append(request)
        if status is None:
            addresses = [a for a in addresses if a != channel.address]
        if status != 200:
            await asyncio.sleep(after_s)


async def watch_delay(world):
    """Measures by how much the script itself is late."""
    while True:
        due = time.monotonic() + 0.02
        await asyncio.sleep(0.02)
        world.delay_s = max(world.delay_s, time.monotonic() - due)


async def roll(s, world, trouble):
    """Stops and starts the gateways in turn, one at a time."""
    for i in range(ROLLS):
        gateway = 1 + i % GATEWAYS
        await asyncio.sleep(1.5)
        if not trouble:
            await asyncio.sleep(ROLL_S - 1.5)
            continue
        address = s.address(10 + gateway)
        world.stopped[address] = time.monotonic()
        s.log(f"gateway {gateway} gets SIGTERM")
        s.kill(f"gateway-{gateway}", signal.SIGTERM)
        try:
            await asyncio.wait_for(
                s.processes[f"gateway-{gateway}"].wait(), GRACE_S)
        except asyncio.TimeoutError:
            s.kill(f"gateway-{gateway}", signal.SIGKILL)
        await asyncio.sleep(0.3)
        del world.stopped[address]
        await s.start_gateway(gateway)
        await s.wait_ready(gateway, 5)


async def case(s, trouble):
    await s.start_store()
    s.store.put("config", "main", {
        "version": 7,
        "routes": [{"name": "r-1", "host": HOST, "path_prefix": "/lohu930/",
                    "kind": "streaming", "timeout_ms": DEADLINE_MS,
                    "target_latency_ms": 900, "priority": 1,
                    "service": SERVICE, "max_attempts": 1, "sticky": True,
                    "resumable": False, "gap_aim_ms": 300}],
        "services": [{"name": SERVICE, "health_path": "/health",
                      "max_connections": 630, "protocol": "h1", "tls": False,
                      "engine": {"slots": 12, "kv_tokens": 66796,
                                 "kv_token_bytes": 18432,
                                 "link_mbps": 2200000.0, "moves": False,
                                 "backups": False, "stride": engine.STRIDE,
                                 "most": 12, "kv_hold_s": 0.5,
                                 "stage_switch_s": 6.0, "pin_ms": 4000.0,
                                 "hold_ms": 2000.0,
                                 "models": [{"name": "m"}]}}],
        "limits": stage.LIMITS})
    engines = [engine.Engine(s, i, SERVICE,
                             "prefill" if i <= PREFILL else "decode", speed)
               for i, speed in enumerate(PREFILL * [1.0]
                                         + DECODE // 3 * SPEEDS, 1)]
    for one in engines:
        await one.start()
    world = World()
    for i in range(1, GATEWAYS + 1):
        await s.start_gateway(i)
    for i in range(1, GATEWAYS + 1):
        if not await s.wait_ready(i, 10):
            s.log(f"gateway {i} did not become ready")
            return None
    await asyncio.sleep(3)
    until = time.monotonic() + ROLLS * ROLL_S
    delay = asyncio.ensure_future(watch_delay(world))
    await asyncio.gather(roll(s, world, trouble), *[
        client(s, world, i, until) for i in range(CLIENTS)])
    delay.cancel()
    s.log(f"streams sent: {world.sent}; taken later than 3 s after a SIGTERM: "
          f"{world.reused}; of these cut: {len(world.cut)}")
    s.log(f"the script itself was late by up to {world.delay_s:.2f} s")
    if world.delay_s > LATE_S:
        return None
    return not world.cut


stage.play(os.path.dirname(os.path.abspath(__file__)), case)
