"""The promises, checked on what callers and runners saw in one run."""
import collections
import math
import os

from .faults import CONTACT_S

# Processes and proxies of a busy machine are late by some hundred
# milliseconds; a bound counts as broken beyond it.
SLACK_S = 0.5
NO_REVERT_S = 0.25 + SLACK_S
GONE_S = 0.5 + SLACK_S
LOSS_SLACK_S = 0.2 + SLACK_S
# Of the attempts in the rest at the end so many succeed, and at most this
# much memory and so many descriptors stay in use.
RECOVERED_PART = 0.9
RECOVER_S = 6.0
MEMORY_MB = 64
# A request that has crashed so many runners reaches so many more at most, and
# so do requests with a part that has.
CRASHES_MOST = 3
PART_CRASHES_MOST = 5
LATE_CRASHES = 3
LIMIT_WINDOW_S = 4.0
# A node may send so many requests to a runner that has asked it for a pause.
PAUSE_REQUESTS_MOST = 2
# While a node has lost all runners, its first tries are served this often
# compared with those at other nodes, or so few of them fail.
CUT_PART = 2 / 3
CUT_FAILED_MOST = 10
# As the stand-in's operator configures them.
ROUTE_TIMEOUT_S = 5.0
# A stopping node may end what a runner still works on in this part of its time
# at the end, if it was sent so soon after the signal.
STOP_LAST_PART = 1 / 6
STOP_SENT_S = 3.0
DESCRIPTORS = 120
# Of so many streams that are taken up again, a share goes on that is at least
# this part of that of new streams which begin.
RESUMED_LEAST = 12
# The services of runners, by the first letter of their names.
SERVICES = {"p": "plain", "o": "other", "m": "model"}
REPEAT_RATIO = 0.2  # nodes have the default
REPEAT_WINDOW_S = 10.0
RESUMED_PART = 0.5


class Begin:
    """A runner began to work on a request."""

    def __init__(self, at, runner, kind):
        self.at = at
        self.runner = runner
        self.kind = kind  # plain, prefill, run, moved
        self.ended = None
        self.whole = False


class Send:
    """A request as it reached a runner, whatever became of it there."""

    def __init__(self, at, request, runner, begin=None):
        self.at = at
        self.request = request
        self.runner = runner
        self.begin = begin  # None: rejected, or broken off before it began

    def service(self):
        return SERVICES[self.runner[0]]

    def is_moved(self):
        return self.begin is not None and self.begin.kind == "moved"

    def is_accepted_prompt(self):
        return self.begin is not None and self.begin.kind == "prefill" \
            and self.begin.whole


class Record:
    """What the runners saw."""

    def __init__(self, path):
        self.begins = collections.defaultdict(list)
        self.leaves = {}
        self.crashes = []  # (time, request)
        self.pauses = []   # (time, request, runner, seconds)
        self.said_leaving = {}  # runner: time
        self.arrivals = []  # (time, request, runner), also rejected ones
        self.sends = []  # Send, in order
        self.limits = []   # (time, runner, a second; None: no longer)
        self.odd = collections.defaultdict(list)      # request: runners
        self.foreign = collections.defaultdict(list)  # request: runners
        if os.path.exists(path):
            with open(path) as file:
                for line in file:
                    self.take(line.split())

    def take(self, words):
        at = int(words[0]) / 1000
        if words[1] == "begin":
            begin = Begin(at, words[3], words[4])
            self.begins[words[2]].append(begin)
            self.arrivals.append((at, words[2], words[3]))
            self.sends.append(Send(at, words[2], words[3], begin))
        elif words[1] == "end":
            for begin in self.begins[words[2]]:
                if begin.runner == words[3] and begin.ended is None:
                    begin.ended = at
                    begin.whole = words[4] == "whole"
                    break
        elif words[1] == "says-leaving":
            self.said_leaving.setdefault(words[2], at)
        elif words[1] == "pause":
            self.pauses.append((at, words[2], words[3], float(words[4])))
            self.arrivals.append((at, words[2], words[3]))
            self.sends.append(Send(at, words[2], words[3]))
        elif words[1] in ("reject", "break"):
            self.arrivals.append((at, words[2], words[3]))
            self.sends.append(Send(at, words[2], words[3]))
        elif words[1] == "odd":
            self.odd[words[2]].append(words[3])
        elif words[1] == "foreign":
            self.foreign[words[2]].append(words[3])
            self.arrivals.append((at, words[2], words[3]))
            self.sends.append(Send(at, words[2], words[3]))
        elif words[1] == "limit":
            self.limits.append((at, words[2], float(words[3])
                                if words[3] != "-" else None))
        elif words[1] == "crash":
            self.crashes.append((at, words[2]))
        elif words[1] == "leaves":
            self.leaves.setdefault(words[2], at)

    def runs(self, request):
        return [b for b in self.begins.get(request, [])
                if b.kind in ("plain", "run")]

    def may_have_run_at(self, request):
        """The runners that ran it, or may have: what one says that answers
        with foreign bytes tells nothing of that."""
        return [b.runner for b in self.runs(request)] \
            + self.foreign.get(request, [])

    def is_spoilt(self, request):
        """Whether a runner sent bytes of its own in the place of, or amid, its
        answer."""
        return request in self.odd or request in self.foreign


def at_most_once(world, record):
    by_request = collections.Counter()
    for attempt in world.attempts.values():
        if not attempt.once():
            continue
        runners = record.may_have_run_at(attempt.id)
        by_request[attempt.id.rsplit("-", 1)[0]] += len(runners)
        if attempt.outcome == "refused" and runners:
            world.broke("REFUSED", f"{attempt.id} got {attempt.status} and "
                                   f"ran, or may have, at {runners[0]}")
    for request, count in by_request.items():
        if count > 1:
            world.broke("TWICE", f"{request} ran {count} times")


def answers_made(world, record):
    """What came to a caller was made for it: by a run of its request, and a
    whole answer by a whole one."""
    for attempt in world.attempts.values():
        begins = record.begins.get(attempt.id, [])
        runs = [b for b in begins if b.kind in ("run", "moved")]
        if attempt.events > 0 and not runs:
            world.broke("ORDER", f"{attempt.id} has {attempt.events} events "
                                 "and was not run")
        elif attempt.events > 0 and not 1 <= int(attempt.version) \
                <= world.software:
            world.broke("ORDER", f"{attempt.id} has events of version "
                                 f"{attempt.version}, there is none")
        elif attempt.kind.startswith("stream") \
                and attempt.outcome == "whole" \
                and not any(b.whole for b in runs):
            world.broke("ORDER", f"{attempt.id} is whole, none of its "
                                 f"{len(runs)} runs is")
        if attempt.runner is not None and not any(
                b.kind == "plain" and b.whole and b.runner == attempt.runner
                for b in begins):
            world.broke("MIXED", f"{attempt.id} has an answer of "
                                 f"{attempt.runner}, which gave none")


def leaving_runners(world, record):
    bound_s = world.terms["endpoint_leave_ms"] / 1000 + SLACK_S
    for name, begins in record.begins.items():
        attempt = world.attempts.get(name)
        for begin in begins:
            left_at = record.leaves.get(begin.runner)
            if attempt is None or left_at is None \
                    or begin.at < left_at + bound_s:
                continue
            if world.in_touch(attempt.node, begin.at):
                world.broke("DRAIN", f"{name} ({begin.kind}) began at "
                            f"{begin.runner} {begin.at - left_at:.2f} s "
                            "after that left")


def answered_at(world, record, runner, since):
    """When each node first passed on an answer that RUNNER gave after SINCE."""
    first = {}
    for name, begins in record.begins.items():
        attempt = world.attempts.get(name)
        if attempt is None or attempt.outcome != "whole":
            continue
        for begin in begins:
            if begin.runner == runner and begin.at > since and begin.whole \
                    and begin.kind in ("plain", "run"):
                first[attempt.node] = min(attempt.ended,
                                          first.get(attempt.node, attempt.ended))
    return first


def runners_that_said_so(world, record):
    """A runner gets no more from a node to which an answer has said that it
    leaves."""
    bound_s = world.terms["endpoint_leave_ms"] / 1000 + SLACK_S
    for runner, since in record.said_leaving.items():
        first = answered_at(world, record, runner, since)
        for at, name, to in record.arrivals:
            attempt = world.attempts.get(name)
            if to != runner or attempt is None or attempt.node not in first:
                continue
            told = first[attempt.node]
            if attempt.began > told + bound_s and not any(
                    told <= start <= at
                    for start in world.nodes[attempt.node].starts):
                world.broke("DRAIN", f"{name} reached {runner} "
                            f"{at - told:.2f} s after its answer to node "
                            f"{attempt.node} that it leaves")


def pausing_runners(world, record):
    """A node leaves a runner alone for as long as that has asked it to."""
    for asked, name, runner, pause_s in record.pauses:
        attempt = world.attempts.get(name)
        if attempt is None or not world.calm(asked, asked + pause_s,
                                             [f"node-{attempt.node}"]):
            continue
        late = sum(asked + SLACK_S < at < asked + pause_s - SLACK_S
                   and to == runner and other in world.attempts
                   and world.attempts[other].node == attempt.node
                   for at, other, to in record.arrivals)
        if late > PAUSE_REQUESTS_MOST:
            world.broke("BUDGET", f"{runner} asked node {attempt.node} for "
                        f"{pause_s} s and got {late} requests from it")


def crashing_requests(world, record):
    """One that has crashed three runners reaches hardly any more."""
    late = collections.Counter()
    for attempt in world.attempts.values():
        if not attempt.crashes():
            continue
        begins = record.begins.get(attempt.id, [])
        crashes = [at for at, name in record.crashes
                   if world.attempts[name].kind == attempt.kind]
        most = PART_CRASHES_MOST if attempt.kind == "stream-part-crash" \
            else CRASHES_MOST
        if len(crashes) < most:
            continue
        bound = crashes[most - 1] + CONTACT_S + SLACK_S
        late[attempt.kind] += sum(
            begin.at > bound and world.in_touch(attempt.node, begin.at)
            for begin in begins)
    for kind, count in late.items():
        if count > LATE_CRASHES:
            world.broke("BUDGET", f"{kind} reached runners {count} times after "
                                  "as many had ended as are allowed")


def limited_runners(world, record):
    """No more reaches a runner than the limit that it names allows."""
    for at, runner, limit in record.limits:
        if limit is None:
            continue
        until = min((t for t, r, _ in record.limits if r == runner and t > at),
                    default=world.rest_ended)
        times = sorted(
            begin.at for name, begins in record.begins.items()
            for begin in begins
            if begin.runner == runner and name in world.attempts
            and at + CONTACT_S + SLACK_S < begin.at < until
            and world.in_touch(world.attempts[name].node, begin.at))
        most = max((sum(t <= s < t + LIMIT_WINDOW_S for s in times)
                    for t in times), default=0)
        if most > 1.5 * limit * LIMIT_WINDOW_S + 5:
            world.broke("LIMIT", f"{runner} named {limit} a second and got "
                                 f"{most} in {LIMIT_WINDOW_S:.0f} s")


def repeated_sends(record):
    """The sends that are repeats: all but the first of a request, the first
    prompt of it that was accepted, and moved runs that were."""
    reached, prompted = set(), set()
    for send in record.sends:
        if send.request == "-" or send.is_moved():
            continue
        if send.is_accepted_prompt() and send.request not in prompted:
            prompted.add(send.request)
        elif send.request not in reached:
            reached.add(send.request)
        else:
            yield send


def requests_of(world, record, service):
    """When callers sent the requests for SERVICE. Those that reached no runner
    may have been for either plain service."""
    first = {}
    for send in record.sends:
        first.setdefault(send.request, send)
    times = [send.at for send in first.values() if send.service() == service]
    for attempt in world.attempts.values():
        model = attempt.kind.startswith("stream")
        if attempt.id not in first and model == (service == "model"):
            times.append(attempt.began)
    return times


def repeats(world, record):
    """In no window does a service get more repeats than its budget."""
    sent = collections.defaultdict(list)
    for send in repeated_sends(record):
        sent[send.service()].append(send.at)
    for service, times in sent.items():
        requests = requests_of(world, record, service)
        half = REPEAT_WINDOW_S / 2
        for start in times:
            arrived = sum(start <= at < start + REPEAT_WINDOW_S
                          for at in times)
            counted = max(sum(since <= at < since + REPEAT_WINDOW_S
                              for at in requests)
                          for since in (start, start - half,
                                        start - REPEAT_WINDOW_S))
            allowed = REPEAT_RATIO * counted + world.repeat_slack
            if arrived > allowed:
                world.broke("BUDGET", f"{service} got {arrived} repeats in "
                            f"{REPEAT_WINDOW_S:.0f} s for {counted} requests, "
                            f"{allowed:.0f} are allowed")
                break


def callers_gone(world, record):
    for attempt in world.attempts.values():
        if attempt.outcome != "left":
            continue
        gone_at = attempt.ended + GONE_S
        scopes = [f"node-{attempt.node}", f"front-{attempt.node}", "runner"]
        if not world.calm(attempt.ended - 3, gone_at, scopes, planned=False):
            continue
        for begin in record.begins.get(attempt.id, []):
            # A runner that stands still neither begins nor ends anything.
            begun_at = begin.at - world.silent_s(
                begin.runner, attempt.ended, begin.at)
            ended_at = math.inf if begin.ended is None else (
                begin.ended - world.silent_s(begin.runner, attempt.ended,
                                             begin.ended))
            if begun_at > gone_at:
                world.broke("GONE", f"{attempt.id} began at {begin.runner} "
                            f"{begin.at - attempt.ended:.2f} s after its "
                            "caller had left")
            elif ended_at > gone_at:
                world.broke("GONE", f"{attempt.id} went on at "
                                    f"{begin.runner} after its caller left")


def ends_at_deadline(attempt):
    """Not before its time is up by any clock, and not held any longer."""
    left_s = min(attempt.left_s, ROUTE_TIMEOUT_S)
    return attempt.began + left_s <= attempt.ended \
        <= attempt.sent + left_s + LOSS_SLACK_S


def ends_with_the_stop(world, attempt, record):
    """Whether a runner was still at work when its node's time to stop ended."""
    stop_s = world.terms["stop_ms"] / 1000
    for stop in world.disturbances:
        last = stop.began + stop_s * (1 - STOP_LAST_PART)
        if stop.scope == f"node-{attempt.node}" and stop.text == "SIGTERM" \
                and attempt.sent <= stop.began + STOP_SENT_S \
                and last <= attempt.ended <= stop.began + stop_s + SLACK_S \
                and any(b.at <= attempt.ended
                        and (b.ended is None or b.ended >= last)
                        for b in record.runs(attempt.id)):
            return True
    return False


def works_beside(world, attempt):
    """What went on beside ATTEMPT that excuses nothing, or None."""
    if not world.calm(attempt.began, attempt.ended):
        return "planned work"
    if world.changing(attempt.began, attempt.ended):
        return "changes"
    if any(s.began <= attempt.ended and attempt.began <= s.until()
           for s in world.silences):
        return "silences"
    return None


def planned_work(world, record):
    """Nothing is cut off where only planned work went on, configurations
    changed or sound runners stood still."""
    for attempt in world.attempts.values():
        if attempt.sent is None or attempt.silenced \
                or attempt.outcome not in ("broken", "timeout"):
            continue
        beside = works_beside(world, attempt)
        if beside is None or not world.calm(attempt.began - 3, attempt.ended,
                                            planned=False):
            continue
        begins = record.begins.get(attempt.id, [])
        held_s = attempt.ended - attempt.sent
        if ends_at_deadline(attempt) \
                or ends_with_the_stop(world, attempt, record):
            continue
        if begins or held_s > LOSS_SLACK_S:
            world.broke("LOST", f"{attempt.id} ({attempt.kind}) "
                        f"{attempt.outcome} after {held_s:.2f} s at node "
                        f"{attempt.node}, "
                        f"{len(begins)} begins, {beside} only")


# A host that a node's configuration has not, or a key.
ABSENT = (401, 404)


def due_version(world, at):
    """The newest version that must be in use at AT, and its acknowledgement;
    None before the first."""
    bound_s = world.terms["configuration_delay_ms"] / 1000 + SLACK_S
    return next(((v, a) for a, v in reversed(world.versions)
                 if a + bound_s < at), None)


def configurations(world):
    newest_seen = collections.defaultdict(list)  # node: (time, version)
    for at, node, version, status in world.probes:
        due = due_version(world, at)
        sent = [v for a, v in world.versions if a - 0.2 < at + 1.5]
        if due is None or status == 0:
            continue
        if world.in_touch(node, at):
            if version == due[0] == max(sent) and status in ABSENT:
                world.broke("CONFIG", f"node {node}: host of version "
                            f"{version} is not there {at - due[1]:.2f} s "
                            "after its acknowledgement")
            if version < due[0] and status == 200:
                world.broke("CONFIG", f"node {node}: host of version "
                            f"{version} is there though {due[0]} is due")
        if status == 200:
            newest_seen[node].append((at, version))
    check_reverts(world, newest_seen)


def versions_in_use(world):
    """As the nodes themselves say it, also amid storms of changes."""
    seen = collections.defaultdict(list)
    for at, node, version in world.readings:
        due = due_version(world, at)
        if due is not None and version < due[0] and world.in_touch(node, at):
            world.broke("CONFIG", f"node {node} uses version {version} "
                        f"{at - due[1]:.2f} s after {due[0]} was acknowledged")
        seen[node].append((at, version))
    check_reverts(world, seen)


def keys_of_versions(world):
    """The key of one version opens no host of another: none is used in
    part."""
    for _, node, version, status in world.old_keys:
        if status == 200:
            world.broke("CONFIG", f"node {node}: the host of version {version} "
                                  "is open to a key of the version before")


def check_reverts(world, seen_by_node):
    for node, seen in seen_by_node.items():
        starts = world.nodes[node].starts
        for (before, high), (at, version) in reverts(seen):
            if not any(before <= start <= at + 1.5 for start in starts) \
                    and not world.nodes_paused_between(node, before, at):
                world.broke("CONFIG", f"node {node} went back from version "
                            f"{high} to {version} after {at - before:.2f} s")


def reverts(seen):
    high = None
    for at, version in seen:
        if high is not None and version < high[1] \
                and at - high[0] > NO_REVERT_S:
            yield high, (at, version)
        if high is None or version > high[1]:
            high = (at, version)


def recovery(world):
    """Connections that a proxy keeps silent for good have not recovered: what
    is sent on them tells nothing of the nodes."""
    since = world.rest_began + RECOVER_S
    last = [a for a in world.attempts.values()
            if a.began > since and a.outcome not in ("left", None)
            and not a.crashes() and not a.silenced]
    whole = sum(a.outcome == "whole" for a in last)
    if len(last) < 5 or whole < RECOVERED_PART * len(last):
        ways = collections.Counter(a.outcome for a in last)
        world.broke("RECOVER", f"only {whole} of {len(last)} after the "
                               f"troubles: {dict(ways)}")


def first_tries(world, cut):
    """The first tries during CUT, and whether each was served, at the nodes
    that were cut and at the others."""
    at_cut, elsewhere = [], []
    for attempt in world.attempts.values():
        if attempt.began < cut.began + CONTACT_S \
                or attempt.began > cut.ended \
                or not attempt.id.endswith("-0") or attempt.crashes() \
                or attempt.outcome in ("left", None) \
                or not world.in_touch(attempt.node, attempt.began):
            continue
        tries = at_cut if attempt.node in cut.nodes else elsewhere
        tries.append(attempt.outcome == "whole")
    return at_cut, elsewhere


def resumed_streams(world, record):
    """Streams go on when their callers take them up again."""
    tries = {True: [], False: []}
    for attempt in world.attempts.values():
        # One that got nothing but bytes that no run made ends in a 502.
        if attempt.status == 502 and record.is_spoilt(attempt.id):
            continue
        if attempt.kind == "stream" and attempt.served \
                and attempt.sent is not None and attempt.outcome != "left" \
                and world.in_touch(attempt.node, attempt.began):
            tries[attempt.resumes].append(attempt.events > 0)
    if len(tries[True]) < RESUMED_LEAST or not tries[False]:
        return
    resumed = sum(tries[True]) / len(tries[True])
    begun = sum(tries[False]) / len(tries[False])
    if resumed < RESUMED_PART * begun:
        world.broke("LOST", f"{resumed:.0%} of {len(tries[True])} streams that "
                    f"were taken up again went on, {begun:.0%} of "
                    f"{len(tries[False])} new ones began")


def cut_nodes(world):
    """Callers of nodes that have lost all runners are served like others."""
    for cut in world.cuts:
        at_cut, elsewhere = first_tries(world, cut)
        if not at_cut or not elsewhere:
            continue
        failed = len(at_cut) - sum(at_cut)
        if sum(at_cut) / len(at_cut) < CUT_PART * sum(elsewhere) \
                / len(elsewhere) and failed > CUT_FAILED_MOST + len(at_cut) / 50:
            world.broke("RECOVER", f"nodes {sorted(cut.nodes)} without runners "
                        f"served {sum(at_cut)} of {len(at_cut)} first tries, "
                        f"the others {sum(elsewhere)} of {len(elsewhere)}")


def processes(world):
    for node in world.nodes:
        for at, status, expected in node.ends:
            if not expected:
                world.broke("EXIT", f"node {node.index} ended by itself with "
                                    f"status {status}")
            elif status not in (0, -9):
                world.broke("EXIT", f"node {node.index} was stopped and ended "
                                    f"with status {status}")
        if not node.alive():
            world.broke("EXIT", f"node {node.index} is not running")
        elif world.measures_memory and node.memory_mb() > MEMORY_MB:
            world.broke("MEMORY", f"node {node.index} uses "
                                  f"{node.memory_mb():.0f} MB")
        elif node.descriptors() > DESCRIPTORS:
            world.broke("MEMORY", f"node {node.index} keeps "
                                  f"{node.descriptors()} descriptors")


def peak_memory(world):
    """What comes without an end is not kept, not even for a moment."""
    for node in world.nodes:
        if node.alive() and world.flat and world.measures_memory \
                and node.peak_mb() > MEMORY_MB:
            world.broke("MEMORY", f"node {node.index} has used "
                                  f"{node.peak_mb():.0f} MB")


def engine_memory(world, busy):
    """BUSY is what the stand-in says some seconds after the last caller."""
    counts = dict(word.split("=") for word in busy.split()[1:])
    if any(int(count) for count in counts.values()):
        world.broke("HELD", f"runners still keep: {busy}")


def all_of(world, busy):
    record = Record(world.platform.record)
    at_most_once(world, record)
    answers_made(world, record)
    leaving_runners(world, record)
    runners_that_said_so(world, record)
    pausing_runners(world, record)
    crashing_requests(world, record)
    limited_runners(world, record)
    repeats(world, record)
    callers_gone(world, record)
    planned_work(world, record)
    configurations(world)
    versions_in_use(world)
    keys_of_versions(world)
    recovery(world)
    cut_nodes(world)
    resumed_streams(world, record)
    processes(world)
    peak_memory(world)
    engine_memory(world, busy)
    return record
