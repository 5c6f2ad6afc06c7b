"""Runs seeds and prints a verdict; scripts/soak-processes --help."""
import argparse
import asyncio
import collections
import os
import random
import shutil
import sys
import tempfile
import time

from . import checks, faults, report
from .world import World

CALM_S = 1.5
REST_S = 10.0
# What engines keep for a request lapses by itself within two seconds.
QUIET_S = 4.0


def options():
    p = argparse.ArgumentParser(
        prog="scripts/soak-processes",
        description="Run the real programs under faults and check their "
                    "promises.")
    p.add_argument("--seeds", type=int, default=1, help="how many, from "
                   "--seed on")
    p.add_argument("--seed", type=int, help="the first; fresh ones without")
    p.add_argument("--regressions", action="store_true",
                   help="the seeds that failed once")
    p.add_argument("--minutes", type=float, help="fresh seeds for so long")
    p.add_argument("--profile", choices=sorted(faults.PROFILES),
                   help="kinds of faults; drawn from the seed without, "
                   "from all but crashes and limits")
    p.add_argument("--nodes", type=int, default=4)
    p.add_argument("--callers", type=int, default=10)
    p.add_argument("--trouble", type=float, default=10, metavar="S",
                   help="seconds in which faults begin")
    p.add_argument("--jobs", type=int, default=1, help="runs at a time")
    p.add_argument("--keep", action="store_true", help="keep all logs")
    p.add_argument("--report", metavar="FILE", help="write a page on the "
                   "last run")
    p.add_argument("--build", default=os.environ.get("BERYL_BUILD", "build"))
    p.add_argument("--out", default=os.path.join(
        os.environ.get("BERYL_OUT", "out"), "soak"))
    return p.parse_args()


def regressions():
    path = os.path.join(os.path.dirname(__file__), "seeds.txt")
    with open(path) as file:
        for line in file:
            if not line.startswith("#"):
                seed, profile, _ = line.split(" ", 2)
                yield int(seed), profile


async def play(seed, profile, o):
    if profile is None:
        profile = o.profile or random.Random(seed).choice(
            faults.DRAWN)
    os.makedirs(o.out, exist_ok=True)
    directory = tempfile.mkdtemp(prefix=f"seed-{seed}-", dir=o.out)
    world = World(seed, o.build, directory, o.nodes, o.callers)
    world.measures_memory = "sanitized" not in o.build
    world.profile = profile
    try:
        await world.open()
        await world.play(profile, CALM_S, o.trouble, REST_S)
        await asyncio.sleep(QUIET_S)
        record = checks.all_of(world, await world.platform.ask("busy"))
        if o.report:
            report.write(o.report, world, record)
    finally:
        await world.close()
    return world


def show(world, o):
    ways = collections.Counter(a.outcome for a in world.attempts.values())
    told = " ".join(f"{way}={count}" for way, count in sorted(
        ways.items(), key=str))
    verdict = "FAIL" if world.broken else "ok  "
    print(f"{verdict} seed {world.seed} profile {world.profile} {told}",
          flush=True)
    for rule, text in world.broken[:8]:
        print(f"       {rule}: {text}")
    if world.broken:
        for d in world.disturbances:
            print(f"       {d.began - world.began:6.2f} to "
                  f"{(d.ended or time.monotonic()) - world.began:6.2f} s "
                  f"{d.scope}: {d.text}")
        print(f"       logs: {world.directory}")
    elif not o.keep:
        shutil.rmtree(world.directory)


async def run(o):
    first = o.seed if o.seed is not None else int(time.time()) % 10**8
    seeds = ((seed, None) for seed in range(first, first + o.seeds))
    until = None
    if o.regressions:
        seeds = regressions()
    elif o.minutes:
        seeds = ((seed, None) for seed in range(first, first + 10**6))
        until = time.monotonic() + 60 * o.minutes
    failed = passed = 0

    async def worker():
        nonlocal failed, passed
        for seed, profile in seeds:
            if until and time.monotonic() > until:
                return
            world = await play(seed, profile, o)
            show(world, o)
            failed += bool(world.broken)
            passed += not world.broken

    await asyncio.gather(*(worker() for _ in range(o.jobs)))
    print(f"{passed} passed, {failed} failed")
    # A run of nothing has shown nothing.
    return failed == 0 and passed > 0


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(run(options())) else 1)
