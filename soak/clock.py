"""How late the event loop of a run is: callers, proxies, faults and checks all
live in it, and what it sees late a check would take for the nodes' doing."""
import asyncio
import time

from .checks import SLACK_S

STEP_S = 0.02
# A request and its answer pass a proxy before the node and one before the
# runner, and both ends at the caller.
PASSES = 6
USUAL_PART = 0.95


class LoopClock:
    """Measures by how much timers of the loop fire late."""

    def __init__(self):
        self.delays = []  # (time at which it was due, seconds)

    async def watch(self):
        """Runs until it is cancelled."""
        while True:
            due = time.monotonic() + STEP_S
            await asyncio.sleep(STEP_S)
            self.delays.append((due, max(0.0, time.monotonic() - due)))

    def worst(self):
        """The longest delay and when it began."""
        due, delay = max(self.delays, key=lambda d: d[1], default=(0, 0.0))
        return delay, due

    def usual(self):
        """The delay that most timers do not exceed, in seconds."""
        delays = sorted(delay for _, delay in self.delays)
        return delays[int(USUAL_PART * (len(delays) - 1))] if delays else 0.0

    def held(self):
        """Whether the delays stay within what the checks allow for."""
        return (self.worst()[0] <= SLACK_S
                and PASSES * self.usual() <= SLACK_S)

    def text(self, began):
        delay, due = self.worst()
        return (f"the soak's own loop was late by {delay:.2f} s at "
                f"{due - began:.2f} s, usually by up to {self.usual():.3f} s")
