"""A real node that stands still while its time to take connections ends."""
import asyncio
import os
import tempfile
import unittest

from soak.processes import PORTS
from soak.world import World

REQUEST = ("GET /x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: s-{}\r\n"
           "X-Deadline-Ms: 3000\r\n\r\n")
CALLERS = 20
HALT_AT_S = 0.6  # after the SIGTERM
HALT_S = 0.8     # until after the node takes connections


async def status(reader, writer, number):
    writer.write(REQUEST.format(number).encode())
    try:
        head = await asyncio.wait_for(reader.readline(), 4)
    except (OSError, asyncio.TimeoutError) as error:
        return type(error).__name__
    return head.split()[1].decode() if head else "closed"


async def halted_stop(directory):
    """The answers to callers that connect while a stopping node is halted."""
    world = World(7, os.environ.get("BERYL_BUILD", "build"), directory, 1, 1)
    await world.open()
    try:
        node = world.nodes[0]
        await asyncio.sleep(1)
        node.restart_s = 5
        node.terminate()
        await asyncio.sleep(HALT_AT_S)
        node.pause(True)
        await asyncio.sleep(0.3)
        callers = [await asyncio.open_connection(node.address, PORTS["front"])
                   for _ in range(CALLERS)]
        answers = [asyncio.ensure_future(status(*caller, number))
                   for number, caller in enumerate(callers)]
        await asyncio.sleep(HALT_S)
        node.pause(False)
        return await asyncio.gather(*answers)
    finally:
        await world.close()


class HaltedStop(unittest.TestCase):
    def test_accepted_requests_are_answered(self):
        """Guards against a node that ends, or closes connections as idle,
        before it has read the requests on those that it accepted last."""
        with tempfile.TemporaryDirectory() as directory:
            answers = asyncio.run(halted_stop(directory))
        self.assertEqual([a for a in answers if a not in ("200", "503")], [])


if __name__ == "__main__":
    unittest.main()
