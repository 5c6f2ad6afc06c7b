"""What the benches with real processes share."""
import json, math, os, signal, statistics, subprocess, urllib.request

BUILD = os.environ.get("BERYL_BUILD", "build")
CENTRES = ["hal-noord", "hal-zuid", "hal-oost", "hal-west"]


def http(method, url, body=None, timeout=3, headers=None):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method,
                                     headers=headers or {})
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


class Process:
    """A program that prints "listening ..." once it is up."""

    def __init__(self, arguments, directory, name):
        self.log = open(os.path.join(directory, name + ".log"), "w")
        self.process = subprocess.Popen(
            arguments, stdout=subprocess.PIPE, stderr=self.log, text=True)
        self.said = self.process.stdout.readline().split()
        if not self.said or self.said[0] != "listening":
            raise RuntimeError(f"{name} did not start: {arguments}")

    def end(self, how=signal.SIGKILL):
        if self.process.poll() is None:
            self.process.send_signal(how)
        if how == signal.SIGKILL:
            self.process.wait()


def least_squares(xs, ys):
    """Slope and intercept with the slope's standard error."""
    n = len(xs)
    mx, my = statistics.mean(xs), statistics.mean(ys)
    sxx = sum((x - mx) ** 2 for x in xs)
    if n < 2 or sxx == 0:
        return None
    slope = sum((x - mx) * (y - my) for x, y in zip(xs, ys)) / sxx
    rest = [y - my - slope * (x - mx) for x, y in zip(xs, ys)]
    error = math.sqrt(sum(r * r for r in rest) / (n - 2) / sxx) if n > 2 \
        else 0.0
    return {"per_node": slope, "at_zero": my - slope * mx, "error": error}


def show(value, digits=2):
    return "-" if value is None else f"{value:.{digits}f}"
