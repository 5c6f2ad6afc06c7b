"""A loopback proxy before one listener, which can spoil its connections."""
import asyncio
import socket
import struct

CHUNK_BYTES = 65536
# Closing such a socket sends a reset instead of an orderly end.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Answers without an end: what they begin with, and what they repeat.
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "reason": (b"HTTP/1.1 200 ", b"a"),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"X-Field: a\r\n"),
    "interim heads": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"a"),
    "line": (b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
             b"data: ", b"a"),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b" "),
    "chunks": (CHUNKED, b"1\r\n \r\n"),
}
# Bodies belong to their callers, but for those of the nodes' own calls.
ENDLESS_FOR_CALLERS = ["reason", "fields", "interim heads", "chunk extension",
                       "line"]
ENDLESS_BYTES = 65536
ENDLESS_SLOW_S = 0.1
# Leaves the loop to the callers, the proxies and the faults.
ENDLESS_FAST_S = 0.002


class Connection:
    """One accepted connection and the one behind it."""

    def __init__(self, proxy, reader, writer):
        self.proxy = proxy
        self.near = (reader, writer)
        self.far = None
        # Directions that stay silent for good: "up" to the target, "down".
        self.silent = set()

    async def run(self):
        await self.proxy.moving.wait()
        try:
            self.far = await asyncio.open_connection(*self.proxy.target)
        except OSError:
            self.reset()
            return
        pumps = [asyncio.ensure_future(self.pump("up", self.near[0],
                                                 self.far[1])),
                 asyncio.ensure_future(self.pump("down", self.far[0],
                                                 self.near[1]))]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            for pump in pumps:
                pump.cancel()
            self.close()

    async def answer_without_end(self, endless):
        reader, writer = self.near
        head = await reader.readuntil(b"\r\n\r\n")
        begin, repeat = ENDLESS[endless.place(head)]
        count = 1 if endless.slowly else ENDLESS_BYTES // len(repeat)
        writer.write(begin)
        while not writer.is_closing():
            writer.write(repeat * count)
            await writer.drain()
            await asyncio.sleep(ENDLESS_SLOW_S if endless.slowly
                                else ENDLESS_FAST_S)

    async def pump(self, direction, reader, writer):
        while True:
            await self.proxy.moving.wait()
            try:
                chunk = await reader.read(CHUNK_BYTES)
            except OSError:
                self.reset()
                raise
            await self.proxy.moving.wait()
            if direction in self.silent:
                if not chunk and direction == "down":
                    # The near end must not hear of it either.
                    await asyncio.Event().wait()
                if not chunk:
                    raise ConnectionError("closed while it was silent")
                continue
            if self.proxy.delay_s > 0:
                await asyncio.sleep(self.proxy.delay_s)
            if not chunk:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(chunk)
            await writer.drain()

    def writers(self):
        return [end[1] for end in (self.near, self.far) if end is not None]

    def close(self):
        for writer in self.writers():
            writer.close()

    def reset(self):
        for writer in self.writers():
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                RESET_ON_CLOSE)
            writer.transport.abort()


class Endless:
    """Places at which answers have no end, to callers' requests and to other
    calls."""

    def __init__(self, rng):
        self.for_callers = rng.choice(ENDLESS_FOR_CALLERS)
        self.for_nodes = rng.choice(sorted(ENDLESS))
        self.slowly = rng.random() < 0.5

    def place(self, head):
        own = b" /v1/" in head.split(b"\r\n")[0] \
            or b"x-serving-stage" in head.lower()
        return self.for_nodes if own else self.for_callers

    def text(self):
        return (f"{self.for_callers} or {self.for_nodes} without an end, "
                f"{'slowly' if self.slowly else 'fast'}")


class Proxy:
    """Listens on ADDRESS and passes on to `target`."""

    def __init__(self, address, port):
        self.address = address
        self.port = port
        self.target = None
        self.delay_s = 0
        self.silenced = set()
        self.resets = False
        self.endless = None  # Endless: what new connections get
        self.connections = set()
        self.server = None
        self.moving = asyncio.Event()  # cleared: nothing is read or written
        self.moving.set()

    async def open(self):
        self.server = await asyncio.start_server(
            self.accepted, self.address, self.port)

    async def accepted(self, reader, writer):
        connection = Connection(self, reader, writer)
        connection.silent = set(self.silenced)
        self.connections.add(connection)
        try:
            if self.resets or self.target is None:
                connection.reset()
            elif self.endless is not None:
                await connection.answer_without_end(self.endless)
            else:
                await connection.run()
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)

    def is_silent(self, peer):
        """Whether the connection of PEER, an (address, port), is silent; one
        that was silenced stays so when the proxy is healed."""
        return any(c.silent for c in self.connections
                   if c.near[1].get_extra_info("peername") == peer)

    def reset_all(self):
        """Resets what is open, once."""
        for connection in list(self.connections):
            connection.reset()

    def silence(self, directions):
        """What is open is silent from now on, for good; new connections too,
        until heal()."""
        self.silenced = set(directions)
        for connection in self.connections:
            connection.silent |= self.silenced

    def silence_open(self):
        """What is open is silent from now on, for good; new connections are
        not."""
        for connection in self.connections:
            connection.silent |= {"up", "down"}

    def heal(self):
        self.endless = None
        self.silenced = set()
        self.resets = False
        self.delay_s = 0

    def close(self):
        self.reset_all()
        if self.server is not None:
            self.server.close()
