"""Stand-ins of the platform, its clients and its operator for review scripts.

The store, the clients and the operator run in the script's process.  Gateways
and runners are separate processes, started here and ended by close().
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20

# Bounds of the site terras-router.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 52,
    "recover_s": 12, "transit_ms": 120, "again_s": 3,
    "fencing_enforced": False, "lease_ms": 3000, "thaw_ms": 300,
    "ttl_max_s": 5,
}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


async def read_head(reader):
    """Reads a message head; returns (start line, fields) or None at the end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.objects = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0

    async def start(self, address):
        self.server = await asyncio.start_server(self._serve, address, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec=None, finalizers=None, status=None):
        self.revision += 1
        kinds = self.objects.setdefault(kind, {})
        old = kinds.get(name)
        entry = {
            "metadata": {
                "name": name, "revision": self.revision,
                "created_rev": (old["metadata"]["created_rev"] if old
                                else self.revision),
                "finalizers": finalizers or [], "deleting": False},
            "spec": spec, "status": status}
        kinds[name] = entry
        self._note(kind, entry, False)
        return entry

    def delete(self, kind, name):
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry is None:
            return None
        self.revision += 1
        entry = json.loads(json.dumps(entry))
        entry["metadata"]["revision"] = self.revision
        self._note(kind, entry, True)
        return entry

    def _note(self, kind, entry, tombstone):
        self.history.append((self.revision, kind, {
            "tombstone": tombstone, "object": entry}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                start, fields = head
                size = int(fields.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                method, target, _ = start.split(" ")
                status, answer = await self._answer(method, target, body)
                text = json.dumps(answer, separators=(",", ":")).encode()
                writer.write((f"HTTP/1.1 {status} X\r\n"
                              "Content-Type: application/json\r\n"
                              f"Content-Length: {len(text)}\r\n\r\n").encode()
                             + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = [unquote(p) for p in parts.path.split("/")]
        if path[:3] != ["", "v1", "objects"] or len(path) < 4:
            return 404, {}
        kind, name = path[3], path[4] if len(path) > 4 else None
        if method == "GET" and name is None and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name is None:
            return 200, self._list(kind, query.get("after", ""))
        if method == "GET":
            entry = self.objects.get(kind, {}).get(name)
            return (200, entry) if entry else (404, {})
        return self._write(method, kind, name, path, query, body)

    def _list(self, kind, after):
        items, size, more = [], 0, False
        for name in sorted(self.objects.get(kind, {})):
            if name <= after:
                continue
            entry = self.objects[kind][name]
            bytes_count = len(json.dumps(entry))
            if items and (len(items) >= PAGE_ITEMS
                          or size + bytes_count > PAGE_BYTES):
                more = True
                break
            items.append(entry)
            size += bytes_count
        return {"items": items, "more_pages": more,
                "store_revision": self.revision}

    async def _watch(self, kind, query):
        since = int(query["watch"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [e for r, k, e in self.history if r > since and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events,
                             "store_revision": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, method, kind, name, path, query, body):
        value = json.loads(body) if body else {}
        metadata = value.get("metadata", {})
        expected = metadata.get("revision", query.get("revision"))
        if method == "POST":
            name = metadata["name"]
            old = self.objects.get(kind, {}).get(name)
            if old:
                return 409, old
            return 200, self.put(kind, name, value.get("spec"),
                                 metadata.get("finalizers"))
        old = self.objects.get(kind, {}).get(name)
        if old is None:
            return 404, {}
        if expected is not None and int(expected) != old["metadata"][
                "revision"]:
            return 409, old
        if method == "DELETE":
            return 200, self.delete(kind, name)
        if len(path) > 5:
            return 200, self.put(kind, name, old["spec"],
                                 old["metadata"]["finalizers"],
                                 value.get("status"))
        return 200, self.put(kind, name, value.get("spec"),
                             metadata.get("finalizers"), old["status"])


def render(text, settings):
    """Fills in the placeholders of the project's settings template."""
    def value_of(match):
        name, _, form = match.group(1).partition("|")
        value = settings
        for part in name.split("."):
            try:
                value = (value[int(part)] if isinstance(value, list)
                         else value.get(part))
            except (AttributeError, IndexError):
                value = None
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)
    return re.sub(r"\{\{([^}]*)\}\}", value_of, text)


class Stage:
    """A small deployment on loopback addresses."""

    def __init__(self, folder):
        self.folder = folder
        self.record = open(os.path.join(folder, "record.txt"), "w",
                           encoding="utf-8")
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
        self.store = Store()
        self.processes = {}
        self.specs = {}
        self.begun = time.monotonic()

    def log(self, text):
        line = f"{time.monotonic() - self.begun:8.3f} s  {text}"
        self.record.write(line + "\n")
        self.record.flush()
        print(line, flush=True)

    def address(self, number):
        return f"{self.net}.{number}"

    async def start_store(self):
        await self.store.start(self.address(1))

    async def _spawn(self, name, words, env=None):
        out = open(os.path.join(self.temp, name + ".log"), "ab")
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=out, stderr=out,
            stdin=asyncio.subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"], "HOME": "/", **(env or {})})
        out.close()
        self.processes[name] = process
        return process

    def output(self, name):
        with open(os.path.join(self.temp, name + ".log"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()

    async def start_gateway(self, number, memory_mb=110):
        """Starts, or starts again, gateway NUMBER as the deploy file does."""
        name = f"gateway-{number}"
        ip = self.address(10 + number)
        settings = {
            "node_name": f"front-hal-{number}", "zone": "hal-noord",
            "region": "randstad", "ip": ip,
            "listen_addrs": {"front": f"{ip}:8144", "ready": f"{ip}:8140",
                             "directory": f"{ip}:8143"},
            "internal_ports": [7660, 7675],
            "limits": {"memory_mb": memory_mb, "max_fds": 4100},
            "bounds": BOUNDS,
            "platform": {"address": f"{self.address(1)}:{self.store.port}",
                         "writes_per_s": 400, "reads_per_s": 2000}}
        with open(os.path.join(ROOT, "deploy/system.toml"),
                  encoding="utf-8") as file:
            deploy = file.read()
        words = re.search(r'^run = "(.*)"', deploy, re.M).group(1).split()
        template = re.search(r'^template = "(.*)"', deploy, re.M).group(1)
        with open(os.path.join(ROOT, template), encoding="utf-8") as file:
            text = render(file.read(), settings)
        path = os.path.join(self.temp, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        words[1] = path
        await self._spawn(name, words, {"BERYLROUTER_SETTINGS": path})
        return name

    async def start_runner(self, number, service, *options):
        """Starts runner NUMBER and registers it; returns its name."""
        name = f"runner-{number}"
        ip = self.address(100 + number)
        spec = {"service": service, "address": f"{ip}:8080",
                "zone": "hal-noord", "version": "v1", "slots": 6,
                "state": "ready", "cold_left_ms": 0, "sequence": 1}
        await self._spawn(name, [
            sys.executable, os.path.join(ROOT, "review/common/runner.py"),
            ip, "8080", f"i-{number:08x}",
            os.path.join(self.temp, name + ".runs"), *options])
        for _ in range(100):
            try:
                _, writer = await asyncio.open_connection(ip, 8080)
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.05)
        self.specs[name] = (f"i-{number:08x}", spec)
        self.store.put("servers", f"i-{number:08x}", spec)
        return name

    def runs(self, name):
        """Returns what runner NAME has run, as (request id, event) pairs."""
        try:
            with open(os.path.join(self.temp, name + ".runs"),
                      encoding="utf-8") as file:
                return [tuple(line.split()) for line in file]
        except FileNotFoundError:
            return []

    def kill(self, name, how=signal.SIGKILL):
        process = self.processes[name]
        if process.returncode is None:
            process.send_signal(how)

    async def resolve(self, numbers):
        """Asks the directories of gateways NUMBERS, in this order; returns
        (addresses, ttl in seconds), or None."""
        for number in numbers[:3]:
            answer = await self.call(
                self.address(10 + number), 8143, "GET",
                "/v1/resolve?name=ficu95.example&region=randstad"
                "&zone=hal-noord", {"Host": "directory"}, wait_s=1)
            if answer["status"] == 200 and answer["whole"]:
                value = json.loads(answer["body"])
                return value["addresses"], min(value["ttl_s"],
                                               BOUNDS["ttl_max_s"])
        return None

    async def wait_ready(self, number, wait_s):
        """Waits until gateway NUMBER answers 200 to the platform's check."""
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            if await self.is_ready(number):
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self, number):
        answer = await self.call(self.address(10 + number), 8140, "GET",
                                 "/v1/ready", {"Host": "ready"})
        return answer["status"] == 200

    async def call(self, ip, port, method, target, fields, body=b"",
                   wait_s=2.0):
        """Sends one request on a new channel."""
        result = {"status": None, "fields": {}, "body": b"", "whole": False}
        try:
            await asyncio.wait_for(self._call(
                ip, port, method, target, fields, body, result), wait_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError):
            pass
        return result

    async def _call(self, ip, port, method, target, fields, body, result):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            text = f"{method} {target} HTTP/1.1\r\n"
            text += "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            if body:
                text += f"Content-Length: {len(body)}\r\n"
            writer.write(text.encode() + b"\r\n" + body)
            head = await read_head(reader)
            if head is None:
                return
            result["status"] = int(head[0].split()[1])
            result["fields"] = head[1]
            if head[1].get("transfer-encoding") == "chunked":
                while True:
                    size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                    result["body"] += (await reader.readexactly(size + 2))[
                        :size]
                    if size == 0:
                        break
            else:
                size = int(head[1].get("content-length", "0"))
                result["body"] = await reader.readexactly(size)
            result["whole"] = True
        finally:
            writer.close()

    async def close(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        self.store.server.close()
        shutil.rmtree(self.temp, ignore_errors=True)
        self.record.close()


def play(folder, case):
    """Runs CASE (STAGE, TROUBLE), which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        stage = Stage(folder)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            held = await asyncio.wait_for(case(stage, trouble), 110)
        except Exception as error:  # the case could not run
            stage.log(f"could not run: {error!r}")
            return 2
        finally:
            await stage.close()
        if held is None:
            return 2
        return 0 if held else 1

    sys.exit(asyncio.run(main()))
