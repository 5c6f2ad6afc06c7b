"""One self-contained page on a run: its faults over time, requests by their
outcome, and the checks."""
import collections
import html

WIDTH = 900
ROW = 18
COLOURS = {"whole": "#4a7", "refused": "#da4", "left": "#aaa"}
BAD = "#c44"


def lanes(world, since, span_s):
    parts = []
    for row, d in enumerate(world.disturbances):
        began = (d.began - since) / span_s * WIDTH
        width = max(2, ((d.ended or since + span_s) - d.began) / span_s
                    * WIDTH)
        colour = "#88b" if d.planned else "#b66"
        parts.append(
            f'<rect x="{began:.0f}" y="{row * ROW}" width="{width:.0f}" '
            f'height="{ROW - 4}" fill="{colour}"/><text x="{began + 4:.0f}" '
            f'y="{row * ROW + 11}">{html.escape(d.scope)}: '
            f'{html.escape(d.text)}</text>')
    return (f'<svg width="{WIDTH}" height="{max(1, len(parts)) * ROW}" '
            f'font-size="11">{"".join(parts)}</svg>')


def bars(world, since, span_s):
    seconds = collections.defaultdict(collections.Counter)
    for a in world.attempts.values():
        seconds[int(a.began - since)][a.outcome] += 1
    most = max((sum(c.values()) for c in seconds.values()), default=1)
    step = WIDTH / max(1, span_s)
    parts = []
    for second, ways in seconds.items():
        y = 120
        for way, count in sorted(ways.items(), key=str):
            height = 110 * count / most
            y -= height
            parts.append(
                f'<rect x="{second * step:.0f}" y="{y:.1f}" '
                f'width="{step - 2:.0f}" height="{height:.1f}" '
                f'fill="{COLOURS.get(way, BAD)}"><title>{second} s: {count} '
                f'{html.escape(str(way))}</title></rect>')
    return f'<svg width="{WIDTH}" height="120">{"".join(parts)}</svg>'


def write(path, world, record):
    since = min((a.began for a in world.attempts.values()),
                default=world.began)
    span_s = world.rest_ended - since
    ways = collections.Counter(a.outcome for a in world.attempts.values())
    rows = "".join(f"<tr><td>{html.escape(str(w))}<td>{c}"
                   for w, c in ways.most_common())
    broken = "".join(f"<li>{html.escape(b.rule)}: {html.escape(b.text)}"
                     for b in world.broken) or "<li>none"
    with open(path, "w") as file:
        file.write(
            "<!doctype html><meta charset=utf-8><title>Fault soak</title>"
            "<style>body{font-family:sans-serif;margin:2em}</style>"
            f"<h1>Fault soak, seed {world.seed}, profile {world.profile}</h1>"
            f"<h2>Faults over {span_s:.0f} s</h2>{lanes(world, since, span_s)}"
            f"<h2>Attempts by second and outcome</h2>"
            f"{bars(world, since, span_s)}"
            f"<table><tr><th>outcome<th>attempts{rows}</table>"
            f"<p>{sum(map(len, record.begins.values()))} begins at runners, "
            f"{len(world.probes)} probes of {len(world.versions)} "
            f"configurations.<h2>Broken promises</h2><ul>{broken}</ul>\n")
