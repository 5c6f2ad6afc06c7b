"""Runs seeds and prints a verdict; scripts/soak-processes --help."""
import argparse
import asyncio
import collections
import enum
import os
import random
import shutil
import sys
import tempfile
import time
import traceback

from . import checks, faults, report
from .world import World

CALM_S = 1.5
REST_S = 10.0
# What engines keep for a request lapses by itself within two seconds.
QUIET_S = 4.0


class Verdict(enum.IntEnum):
    """Of a run, and the exit status of the process that plays it."""

    PASSED = 0
    FAILED = 1
    INCONCLUSIVE = 3  # it could not hold its own clock
    ERROR = 4         # the soak itself failed


LABELS = {Verdict.PASSED: "ok  ", Verdict.FAILED: "FAIL",
          Verdict.INCONCLUSIVE: "inconclusive", Verdict.ERROR: "error"}


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
                   "from all but crashes, limits, cuts, notices, versions, "
                   "parts, changes, restores, strikes, uneven, endless, "
                   "foreign and silent")
    p.add_argument("--nodes", type=int, default=4)
    p.add_argument("--callers", type=int, default=10)
    p.add_argument("--trouble", type=float, default=10, metavar="S",
                   help="seconds in which faults begin")
    p.add_argument("--jobs", type=int, default=1, help="runs at a time")
    p.add_argument("--keep", action="store_true", help="keep all logs")
    p.add_argument("--stall", type=float, default=0, metavar="S",
                   help="halt the soak's own loop for so long amid the faults")
    p.add_argument("--alone", action="store_true",
                   help="play --seed in this process")
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
        profile = random.Random(seed).choice(faults.DRAWN)
    os.makedirs(o.out, exist_ok=True)
    directory = tempfile.mkdtemp(prefix=f"seed-{seed}-", dir=o.out)
    world = World(seed, o.build, directory, o.nodes, o.callers,
                  profile in faults.LINKED)
    world.measures_memory = "sanitized" not in o.build
    world.profile = profile
    world.uneven = profile in faults.UNEVEN
    world.flat = profile in faults.FLAT
    world.keyed = profile in faults.KEYED
    if profile in faults.SILENT:
        world.idle_s = faults.IDLE_S
        world.gap_s += faults.SILENCE_MOST_S
    world.terms.update(faults.SETTINGS.get(profile, {}))
    world.repeat_slack = world.terms["repeat_slack"]
    try:
        await world.open()
        if o.stall:
            asyncio.get_running_loop().call_later(
                CALM_S + o.trouble / 2, time.sleep, o.stall)
        await world.play(profile, CALM_S, o.trouble, REST_S)
        await asyncio.sleep(QUIET_S)
        record = checks.all_of(world, await world.platform.ask("busy"))
        if o.report:
            report.write(o.report, world, record)
    finally:
        await world.close()
    return world


def judge(world):
    """A run whose loop was late shows nothing in either direction, but for
    what no delay can bring about."""
    if world.clock.held():
        return Verdict.FAILED if world.broken else Verdict.PASSED
    if any(not broken.timed for broken in world.broken):
        return Verdict.FAILED
    return Verdict.INCONCLUSIVE


def show(world, o):
    ways = collections.Counter(a.outcome for a in world.attempts.values())
    told = " ".join(f"{way}={count}" for way, count in sorted(
        ways.items(), key=str))
    verdict = judge(world)
    print(f"{LABELS[verdict]} seed {world.seed} profile {world.profile} "
          f"{told}")
    print(f"       {world.clock.text(world.began)}")
    for broken in world.broken[:8]:
        print(f"       {broken.rule}: {broken.text}")
    if verdict != Verdict.PASSED:
        for d in world.disturbances:
            print(f"       {d.began - world.began:6.2f} to "
                  f"{(d.ended or time.monotonic()) - world.began:6.2f} s "
                  f"{d.scope}: {d.text}")
        print(f"       logs: {world.directory}")
    elif not o.keep:
        shutil.rmtree(world.directory)
    return verdict


async def play_alone(o):
    """Plays one seed in this process."""
    try:
        return show(await play(o.seed, o.profile, o), o)
    except Exception:
        print(f"{LABELS[Verdict.ERROR]} seed {o.seed}, no verdict")
        traceback.print_exc(file=sys.stdout)
        return Verdict.ERROR


async def start(seed, profile, o):
    """Plays one seed in a process of its own, so that runs do not wait for
    each other's loops, and prints what it says."""
    words = ["--alone", "--seed", seed, "--nodes", o.nodes, "--callers",
             o.callers, "--trouble", o.trouble, "--stall", o.stall,
             "--build", o.build, "--out", o.out]
    words += ["--profile", profile] if profile else []
    words += ["--keep"] if o.keep else []
    words += ["--report", o.report] if o.report else []
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "soak", *map(str, words),
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
    said, _ = await process.communicate()
    print(said.decode(errors="replace"), end="", flush=True)
    if process.returncode in list(Verdict):
        return Verdict(process.returncode)
    print(f"{LABELS[Verdict.ERROR]} seed {seed}, exit status "
          f"{process.returncode}", flush=True)
    return Verdict.ERROR


async def run(o):
    if o.alone:
        return await play_alone(o)
    first = o.seed if o.seed is not None else int(time.time()) % 10**8
    seeds = ((seed, o.profile) for seed in range(first, first + o.seeds))
    until = None
    if o.regressions:
        seeds = regressions()
    elif o.minutes:
        seeds = ((seed, o.profile) for seed in range(first, first + 10**6))
        until = time.monotonic() + 60 * o.minutes
    counts = collections.Counter()

    async def worker():
        for seed, profile in seeds:
            if until and time.monotonic() > until:
                return
            counts[await start(seed, profile, o)] += 1

    await asyncio.gather(*(worker() for _ in range(o.jobs)))
    rest = "".join(f", {counts[v]} {LABELS[v]}" for v in (
        Verdict.INCONCLUSIVE, Verdict.ERROR) if counts[v])
    print(f"{counts[Verdict.PASSED]} passed, {counts[Verdict.FAILED]} failed"
          f"{rest}")
    # A run of nothing has shown nothing.
    if set(counts) == {Verdict.PASSED}:
        return Verdict.PASSED
    if counts[Verdict.FAILED] or not counts:
        return Verdict.FAILED
    return max(counts)


if __name__ == "__main__":
    sys.exit(asyncio.run(run(options())))
