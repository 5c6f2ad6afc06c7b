"""Callers: they look nodes up, keep connections, repeat as far as the
protocol lets them, and check every byte that they get."""
import asyncio
import json
import re
import time

import h11

from .processes import PORTS

RESOLVE_S = 1.0
CONNECT_S = 1.0
DEADLINE_S = 8.0
ATTEMPTS_MAX = 4
EVENT_TOKENS = 50
PROMISES = (408, 421, 429, 503)
CHUNK_BYTES = 65536
STREAM_TYPE = "text/event-stream"
# A stream without an event for so long is given up.
GAP_S = 2.5
LATE_RETRY_S = 8
# For all of a run, so that callers still come to nodes that are cut.
KEPT_LONG_S = 60
# Callers may use a connection that has rested for this part of the limit.
REST_PART = 0.8


class Attempt:
    """One request as it was sent, and how it ended."""

    def __init__(self, name, kind, node):
        self.id = name
        self.kind = kind
        self.node = node
        self.began = time.monotonic()
        self.sent = None
        self.left_s = None  # how long its caller waits from then on
        self.ended = None
        self.outcome = None  # whole refused error broken left timeout none
        self.status = 0
        self.sealed = False
        self.silenced = False  # its connection was, by a fault
        self.resumes = False   # it goes on with the stream of an earlier one
        self.served = False    # two runners of its stream's version were there
        self.events = 0        # new ones
        self.version = None    # of the runners that made them
        self.target = None
        self.runner = None     # that the body of a plain answer names

    def crashes(self):
        """Whether it crashes the runners that run it."""
        return self.kind.endswith("crash")

    def once(self):
        """Whether it may run once only."""
        return self.kind in ("unsafe", "stream-once")


class Connection:
    def __init__(self, node, reader, writer):
        self.node = node
        self.reader = reader
        self.writer = writer
        self.h11 = h11.Connection(h11.CLIENT)
        self.rests_since = time.monotonic()

    def rested_too_long(self, idle_s):
        return idle_s is not None and \
            time.monotonic() - self.rests_since > REST_PART * idle_s

    def usable(self):
        return (not self.reader.at_eof() and not self.writer.is_closing()
                and self.h11.our_state is h11.IDLE)

    def close(self):
        self.writer.close()

    async def event(self, timeout_s):
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await asyncio.wait_for(self.reader.read(CHUNK_BYTES),
                                          timeout_s)
            if not data and self.h11.their_state is h11.SEND_RESPONSE:
                raise ConnectionResetError("closed before an answer")
            self.h11.receive_data(data)


class Stream:
    """Checks the events of one answer: ids AFTER + 1 to TOTAL, once each, all
    from runners of one version, that of the tries before (VERSION) if any."""

    def __init__(self, name, after, total, version=None):
        self.name = name
        self.version = version
        self.after = after
        self.next = after + 1
        self.total = total
        self.rest = b""
        self.fault = None
        self.resumes = None  # the try that brought the first event

    def take(self, data):
        self.rest += data
        while b"\n\n" in self.rest and not self.fault:
            event, self.rest = self.rest.split(b"\n\n", 1)
            self.take_event(event)

    def wanted(self):
        """The next event as its run makes it, up to its version."""
        return (f"id: {self.next}\ndata: {self.name}-{self.next}\n"
                "x-weight-versions: ").encode()

    def take_event(self, event):
        wanted = self.wanted()
        version = event[len(wanted):]
        if self.next > self.total:
            self.fault = f"event {event!r} after the last one, {self.total}"
        elif not event.startswith(wanted) \
                or not re.fullmatch(rb"[0-9]+", version):
            self.fault = f"event {event!r} instead of {wanted!r}"
        elif self.version not in (None, version.decode()):
            self.fault = (f"event {self.next} is of version "
                          f"{version.decode()} after {self.version}")
        else:
            self.version = version.decode()
            self.next += 1

    def end(self):
        """No more comes: what is left is the begin of the next event."""
        wanted = self.wanted() if self.next <= self.total else b""
        if self.fault or wanted.startswith(self.rest):
            return
        if not wanted or not self.rest.startswith(wanted) \
                or not re.fullmatch(rb"[0-9]+\n?", self.rest[len(wanted):]):
            self.fault = f"at the end {self.rest!r} instead of {wanted!r}"

    def last(self):
        return self.next - 1

    def complete(self):
        return self.next == self.total + 1 and not self.rest


class Caller:
    """Sends one request after the other."""

    def __init__(self, world, number, rng):
        self.world = world
        self.number = number
        self.rng = rng
        self.addresses = []
        self.addresses_until = 0
        self.avoided = set()
        self.connections = {}
        self.count = 0

    async def run(self):
        while not self.world.callers_end:
            kind = self.rng.choices(
                ["safe", "unsafe", "stream", "stream-once"], [4, 3, 3, 1])[0]
            self.count += 1
            await self.request(kind, f"c{self.number}-{self.count}")
            await asyncio.sleep(self.rest_s())
        for connection in self.connections.values():
            connection.close()

    def rest_s(self):
        if self.world.idle_s is not None and self.rng.random() < 0.15:
            return self.world.idle_s * self.rng.uniform(0.5, REST_PART)
        return self.rng.uniform(0, 0.12)

    async def resolve(self):
        if time.monotonic() < self.addresses_until:
            return
        nodes = self.rng.sample(self.world.nodes, len(self.world.nodes))
        for node in nodes[:3]:
            try:
                found = await asyncio.wait_for(self.ask_directory(node),
                                               RESOLVE_S)
            except (OSError, asyncio.TimeoutError, ValueError):
                continue
            self.addresses = found["addresses"]
            kept_s = found["ttl_s"] * self.rng.choice([1, 1, 3])
            if self.world.linked:
                kept_s = KEPT_LONG_S
            self.addresses_until = time.monotonic() + kept_s
            self.avoided.clear()
            return

    @staticmethod
    async def ask_directory(node):
        reader, writer = await asyncio.open_connection(node.address,
                                                       PORTS["directory"])
        try:
            writer.write(b"GET /v1/resolve?name=a.example&region=randstad"
                         b"&zone=dc-1 HTTP/1.1\r\nHost: d\r\n"
                         b"Connection: close\r\n\r\n")
            answer = (await reader.read(CHUNK_BYTES)).decode()
            if " 200 " not in answer.split("\r\n")[0]:
                raise ValueError("no addresses")
            return json.loads(answer.split("\r\n\r\n", 1)[1])
        finally:
            writer.close()

    def choose(self):
        """A node, or None; own knowledge serves while nothing is known."""
        known = {f"{node.address}:{PORTS['front']}": node
                 for node in self.world.nodes}
        usable = [known[a] for a in self.addresses
                  if a in known and a not in self.avoided]
        if not usable:
            usable = [known[a] for a in self.addresses if a in known]
        return self.rng.choice(usable) if usable else None

    def avoid(self, node):
        self.avoided.add(f"{node.address}:{PORTS['front']}")

    async def connect(self, node):
        kept = self.connections.pop(node.index, None)
        if kept is not None:
            if kept.usable() and self.rng.random() < 0.8 \
                    and not kept.rested_too_long(self.world.idle_s):
                return kept
            kept.close()
        proxy = self.world.front_proxies[node.index]
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(proxy.address, proxy.port), CONNECT_S)
        return Connection(node, reader, writer)

    async def request(self, kind, name):
        """One request of the caller, with its repeats."""
        deadline = time.monotonic() + DEADLINE_S
        total = self.rng.randint(4, 40)
        prompt = self.rng.randint(200, 6000)
        leaves_s = (self.rng.uniform(0.005, 0.5)
                    if self.rng.random() < 0.08 else None)
        after = 0
        first = version = None
        for number in range(ATTEMPTS_MAX):
            left_s = deadline - time.monotonic()
            if left_s < 0.2:
                return
            await self.resolve()
            node = self.choose()
            if node is None:
                await asyncio.sleep(0.2)
                continue
            attempt = Attempt(f"{name}-{number}", kind, node.index)
            stream = Stream(attempt.id, after, total, version)
            stream.resumes = first
            attempt.resumes = first is not None
            attempt.served = self.world.has_runners(version)
            self.world.attempts[attempt.id] = attempt
            retry_s = await self.send(attempt, node, stream, prompt, left_s,
                                      leaves_s)
            attempt.ended = time.monotonic()
            if kind == "stream" and stream.last() > 0:
                after, version = stream.last(), stream.version
                first = first or attempt.id
            if attempt.outcome in ("whole", "left"):
                return
            if attempt.outcome != "none" and attempt.once() \
                    and attempt.outcome != "refused":
                return
            if attempt.outcome in ("none", "timeout"):
                self.avoid(node)
            await asyncio.sleep(min(retry_s, max(left_s / 3, 0.05)))

    async def send(self, attempt, node, stream, prompt, left_s, leaves_s):
        """Sends ATTEMPT and reads its answer; returns when to come back."""
        try:
            return await self.send_once(attempt, node, stream, prompt, left_s,
                                        leaves_s)
        finally:
            self.judge_events(attempt, stream)

    async def send_once(self, attempt, node, stream, prompt, left_s, leaves_s):
        try:
            connection = await self.connect(node)
        except (OSError, asyncio.TimeoutError):
            attempt.outcome = "none"
            return 0.05
        reading = asyncio.ensure_future(self.exchange(
            attempt, connection, stream, prompt, left_s))
        done, _ = await asyncio.wait([reading], timeout=min(
            left_s, leaves_s if leaves_s is not None else left_s))
        if done:
            return reading.result()
        reading.cancel()
        await asyncio.wait([reading])
        connection.close()
        attempt.outcome = "left" if leaves_s is not None else "timeout"
        return 0.05

    def head(self, attempt, stream, prompt, left_s):
        generation = attempt.kind.startswith("stream")
        path = "/once/x" if attempt.once() else "/x"
        part = ""
        if attempt.kind == "stream-part-crash":
            # No two of them are alike but for that part.
            path, part = f"/x?{attempt.id}", "bad:100,"
        elif attempt.crashes():
            path = "/crash/x"
        attempt.target = path
        fields = [("Host", "model.example" if generation else "a.example"),
                  ("X-Request-Id", attempt.id),
                  ("X-Deadline-Ms", str(int(left_s * 1000)))]
        if generation:
            tokens = stream.total * EVENT_TOKENS
            fields += [("X-Token-Counts", f"{prompt},{tokens}"),
                       ("X-Prompt-Prefix", f"shared:100,{part}"
                                           f"{attempt.id.encode().hex()}:"
                                           f"{prompt}"),
                       ("X-Length-Hint", str(tokens))]
        if stream.last() > 0:
            fields.append(("Last-Event-Id", str(stream.last())))
            fields.append(("Resumes", stream.resumes))
        body = b"" if attempt.kind in ("safe", "crash") else b"x" * prompt
        if body:
            fields.append(("Content-Length", str(len(body))))
        return h11.Request(method="GET" if not body else "POST", target=path,
                           headers=fields), body

    async def exchange(self, attempt, connection, stream, prompt, left_s):
        proxy = self.world.front_proxies[connection.node.index]
        own = connection.writer.get_extra_info("sockname")
        attempt.silenced = proxy.is_silent(own)
        attempt.left_s = left_s
        head, body = self.head(attempt, stream, prompt, left_s)
        bytes_out = connection.h11.send(head)
        if body:
            bytes_out += connection.h11.send(h11.Data(data=body))
        bytes_out += connection.h11.send(h11.EndOfMessage())
        try:
            connection.writer.write(bytes_out)
            await connection.writer.drain()
            attempt.sent = time.monotonic()
            return await self.read_answer(attempt, connection, stream, left_s)
        except asyncio.TimeoutError:  # an OSError, too
            attempt.outcome = "timeout"
        except (OSError, h11.RemoteProtocolError) as error:
            attempt.outcome = "broken"
            if isinstance(error, h11.RemoteProtocolError) \
                    and "EOF" not in str(error) and "closed" not in str(error):
                self.world.broke("MIXED", f"{attempt.id}: {error}")
        connection.close()
        return 0.05

    async def read_answer(self, attempt, connection, stream, left_s):
        head = await connection.event(left_s)
        fields = {key.decode().lower(): value.decode()
                  for key, value in head.headers}
        attempt.status = head.status_code
        attempt.sealed = "x-response-seal" in fields
        self.judge_head(attempt, fields)
        streams = head.status_code == 200 and attempt.kind.startswith("stream")
        body = b""
        while True:
            event = await connection.event(self.world.gap_s if streams
                                           else left_s)
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed in the answer")
            if streams:
                stream.take(bytes(event.data))
            else:
                body += bytes(event.data)
        if connection.h11.our_state is h11.DONE \
                and connection.h11.their_state is h11.DONE:
            connection.h11.start_next_cycle()
            connection.rests_since = time.monotonic()
            self.connections[connection.node.index] = connection
        else:
            connection.close()
        self.judge(attempt, fields, stream, body)
        return float(fields.get("retry-after", 0.05))

    def judge_events(self, attempt, stream):
        """However the answer ended: has its run made what came of it?"""
        stream.end()
        attempt.events = stream.last() - stream.after
        attempt.version = stream.version
        if stream.fault:
            self.world.broke("ORDER", f"{attempt.id}: {stream.fault}")

    def judge_head(self, attempt, fields):
        """Does the answer bear the marks of its request?  That it has begun
        is enough: a caller believes what comes of a success."""
        success = 200 <= attempt.status < 300
        if not success and not attempt.sealed:
            return
        streams = success and attempt.kind.startswith("stream")
        if fields.get("x-response-seal") != f"seal.{attempt.id}" \
                or fields.get("x-request-id") != attempt.id \
                or (success and attempt.status != 200) \
                or (streams and fields.get("content-type") != STREAM_TYPE):
            self.world.broke("MIXED", f"{attempt.id}: answer of another "
                                      f"request: {attempt.status} {fields}")

    def judge_body(self, attempt, body):
        """A runner's answer names it; one of a node has no body."""
        if attempt.status != 200 and not attempt.sealed:
            if body or 300 <= attempt.status < 400:
                self.world.broke("MIXED", f"{attempt.id}: {attempt.status} "
                                          f"with body {body!r}")
            return
        made = re.fullmatch(f"{re.escape(attempt.id)} "
                            f"{re.escape(attempt.target)} at ([a-z0-9.]+)\n",
                            body.decode(errors="replace"))
        if made:
            attempt.runner = made[1]
        else:
            self.world.broke("MIXED", f"{attempt.id}: body {body!r}")

    def judge(self, attempt, fields, stream, body):
        """The answer came to its end: is it what its runner gave?"""
        if attempt.status != 200 or not attempt.kind.startswith("stream"):
            self.judge_body(attempt, body)
        if attempt.status != 200:
            refused = attempt.status in PROMISES and not attempt.sealed
            attempt.outcome = "refused" if refused else "error"
            if attempt.status == 503 and "retry-after" not in fields:
                self.world.broke("RETRY", f"{attempt.id}: 503 without "
                                          "Retry-After")
            # Only one in quarantine is told to come back so late.
            if float(fields.get("retry-after", 0)) > LATE_RETRY_S \
                    and not attempt.crashes():
                self.world.broke("BLAMED", f"{attempt.id} ({attempt.kind}) is "
                                           "refused as one that crashes")
            return
        attempt.outcome = "whole"
        if attempt.kind.startswith("stream") and not stream.fault \
                and not stream.complete():
            stream.fault = (f"whole, but with {stream.last()} of "
                            f"{stream.total} events and {stream.rest!r}")
