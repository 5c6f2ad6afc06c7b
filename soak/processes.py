"""The programs that a soak starts.  It ends only these, by their ids."""
import asyncio
import contextlib
import os
import signal
import time

START_S = 10
STDIN_CLOSED_S = 5
PORTS = {"front": 8100, "ready": 8101, "directory": 8102, "peer": 8103,
         "metrics": 8104}


class Platform:
    """The stand-in of the users' platform."""

    def __init__(self, build, directory):
        self.program = os.path.join(build, "platform/standin",
                                    "beryl-platform-standin")
        self.directory = directory
        self.record = os.path.join(directory, "record.txt")
        self.process = None
        self.port = None
        self.answers = asyncio.Queue()

    async def start(self):
        with open(os.path.join(self.directory, "platform.log"), "w") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program, "--empty", "--record", self.record,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE, stderr=log)
        line = await asyncio.wait_for(self.process.stdout.readline(), START_S)
        self.port = int(line.split()[2])
        asyncio.ensure_future(self.read())

    async def read(self):
        while line := await self.process.stdout.readline():
            self.answers.put_nowait(line.decode().strip())

    def tell(self, *words):
        self.process.stdin.write((" ".join(map(str, words)) + "\n").encode())

    async def ask(self, *words):
        """A command that is answered by one line."""
        while not self.answers.empty():
            self.answers.get_nowait()
        self.tell(*words)
        return await asyncio.wait_for(self.answers.get(), START_S)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Node:
    """One beryl-gatewayd, which is started again when it has ended."""

    def __init__(self, index, address, build, directory, terms):
        self.index = index
        self.address = address
        self.program = os.path.join(build, "gatewayd", "beryl-gatewayd")
        self.settings = os.path.join(directory, f"node-{index}.yaml")
        self.log = os.path.join(directory, f"node-{index}.log")
        self.terms = terms
        self.process = None
        self.handle = None  # a pidfd of it while it runs
        self.paused = False
        self.restarts = True
        self.restart_s = 0.5
        self.expected_end = False
        self.starts = []
        self.ends = []  # (time, exit status, whether it was asked to)

    def write_settings(self, store, **changes):
        terms = {**self.terms, **changes}
        lines = [f"node: node-{self.index}", "data_centre: dc-1",
                 "region: randstad", f'platform: "{store[0]}:{store[1]}"',
                 f"peer_port: {PORTS['peer']}",
                 f"metrics_port: {PORTS['metrics']}"]
        lines += [f'{name}: "{self.address}:{PORTS[name]}"'
                  for name in ("front", "ready", "directory")]
        lines += [f"{key}: {value}" for key, value in terms.items()]
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")

    async def supervise(self):
        """Runs until it is cancelled."""
        while True:
            with open(self.log, "a") as log:
                self.process = await asyncio.create_subprocess_exec(
                    self.program, self.settings, stdout=log, stderr=log,
                    stdin=asyncio.subprocess.DEVNULL)
            self.expected_end = False
            self.starts.append(time.monotonic())
            status = await self.end()
            self.ends.append((time.monotonic(), status, self.expected_end))
            if not self.restarts:
                return
            await asyncio.sleep(self.restart_s)

    async def end(self):
        """Waits for the process, which signals can reach meanwhile."""
        try:
            self.handle = os.pidfd_open(self.process.pid)
        except ProcessLookupError:  # it has ended already
            return await self.process.wait()
        try:
            return await self.process.wait()
        finally:
            os.close(self.handle)
            self.handle = None

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Process.send_signal would first reap a process that has just ended,
        and its exit status would be lost."""
        if self.handle is not None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.handle, number)

    def kill(self):
        self.expected_end = True
        self.signal(signal.SIGKILL)

    def terminate(self):
        self.expected_end = True
        self.signal(signal.SIGTERM)

    def pause(self, paused):
        self.paused = paused
        self.signal(signal.SIGSTOP if paused else signal.SIGCONT)

    def memory_mb(self, field="VmRSS"):
        with open(f"/proc/{self.process.pid}/status") as file:
            for line in file:
                if line.startswith(f"{field}:"):
                    return int(line.split()[1]) / 1024
        return 0

    def peak_mb(self):
        return self.memory_mb("VmHWM")

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))
