"""A chart of a run: outcomes and latency over time, with the faults marked."""

from __future__ import annotations

from pathlib import Path

from ingress.testbed.measure import KINDS
from ingress.testbed.world import World

COLOURS = {"served": "#2a7f62", "refused": "#d9a441", "failed": "#b3413a", "unanswered": "#222222"}


def plot(world: World, path: Path) -> None:
    """Writes the chart as an image.

    Raises:
        ImportError: matplotlib is not installed.
    """
    import matplotlib  # type: ignore[import-not-found,unused-ignore]

    matplotlib.use("Agg")
    from matplotlib import pyplot  # type: ignore[import-not-found,unused-ignore]

    tries, start = world.record.tries, world.began
    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=(11, 7))
    seconds = int(world.scenario.seconds) + 1
    base = [0] * seconds
    for kind in KINDS:
        counts = [0] * seconds
        for tried in tries:
            if (tried.kind or "unanswered") == kind and 0 <= tried.sent - start < seconds:
                counts[int(tried.sent - start)] += 1
        upper.bar(range(seconds), counts, 0.9, base, align="edge", label=kind, color=COLOURS[kind])
        base = [a + b for a, b in zip(base, counts, strict=True)]
    upper.set_ylabel("tries per second")
    upper.legend(loc="upper right", ncols=4)
    for kind in ("served", "refused", "failed"):
        dots = [(t.sent - start, (t.answered - t.sent) * 1000) for t in tries if t.kind == kind]
        lower.scatter([x for x, _ in dots], [y for _, y in dots], 4, color=COLOURS[kind])
    lower.set_yscale("log")
    lower.set_ylabel("latency in ms")
    lower.set_xlabel("seconds")
    for at, text in world.faults_done:
        for axis in (upper, lower):
            axis.axvline(at, color="#555555", linewidth=0.8, linestyle="--")
        upper.annotate(
            text.partition(": ")[2],
            (at, 0.02),
            xycoords=("data", "axes fraction"),
            rotation=90,
            fontsize=7,
            verticalalignment="bottom",
        )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
