"""What the soak lets pass, and what it does not; from made-up records, with no
process started."""
import types
import unittest

from soak.clock import STEP_S, LoopClock
from soak.world import World


class Clock(unittest.TestCase):
    @staticmethod
    def clock(*delays):
        clock = LoopClock()
        clock.delays = [(i * STEP_S, delay) for i, delay in enumerate(delays)]
        return clock

    def test_on_time(self):
        self.assertTrue(self.clock(*[0.002] * 100).held())

    def test_short_delays_now_and_then(self):
        self.assertTrue(self.clock(*[0.002] * 97, 0.2, 0.3, 0.4).held())

    def test_one_long_delay(self):
        """Guards against a verdict on nodes that the soak did not look at."""
        clock = self.clock(*[0.002] * 50, 2.0, *[0.002] * 49)
        self.assertFalse(clock.held())
        self.assertIn("late by 2.00 s", clock.text(0))

    def test_always_late(self):
        """Guards against small delays that add up on a request's way."""
        self.assertFalse(self.clock(*[0.1] * 100).held())


class Judgement(unittest.TestCase):
    @staticmethod
    def judge(held, *rules):
        from soak.__main__ import judge
        world = World(1, "build", "/nonexistent", 2, 1)
        world.clock = types.SimpleNamespace(held=lambda: held)
        for rule in rules:
            world.broke(rule, "")
        return judge(world).name

    def test_clock_held(self):
        self.assertEqual(self.judge(True), "PASSED")
        self.assertEqual(self.judge(True, "RECOVER"), "FAILED")

    def test_clock_not_held(self):
        """Guards against a late run that counts as passed."""
        self.assertEqual(self.judge(False), "INCONCLUSIVE")
        self.assertEqual(self.judge(False, "LOST", "RECOVER"), "INCONCLUSIVE")

    def test_late_run_that_shows_bytes(self):
        """Guards against a fault that a late loop would excuse."""
        for rule in ("TWICE", "REFUSED", "MIXED", "ORDER", "EXIT"):
            self.assertEqual(self.judge(False, "LOST", rule), "FAILED")


if __name__ == "__main__":
    unittest.main()
