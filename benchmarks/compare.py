"""Compares CPU per request and latency of one ingress at two commits, in interleaved rounds.

Example: python -m benchmarks.compare HEAD~5 HEAD --rounds 12

Each round sends the same steady load to a new ingress process of each commit.  The order alternates
between rounds, so that drift of the machine affects both commits.  Compare only the ratios of each round;
their median is the result.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import shlex
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from statistics import median
from typing import Any

import uvloop

from benchmarks.ratios import spread
from benchmarks.revisions import program_package
from ingress.testbed.deployment import Deployment
from ingress.testbed.report import report
from ingress.testbed.scenario import Scenario
from ingress.testbed.world import running_world

ROOT = Path(__file__).resolve().parent.parent
NAMES = ("cpu_us_per_request", "p50_ms", "p99_ms", "rss_mb")


@contextmanager
def checked_out(commit: str, folder: Path) -> Iterator[Path]:
    """Creates a work tree of the commit and removes it afterwards."""
    add = ["git", "worktree", "add", "--quiet", "--detach", str(folder), commit]
    subprocess.run(add, cwd=ROOT, check=True)
    try:
        yield folder
    finally:
        subprocess.run(["git", "worktree", "remove", "--force", str(folder)], cwd=ROOT, check=True)


async def run_round(tree: Path, seconds: float, rate: float, seed: int) -> dict[str, float]:
    """Runs one round against the ingress in `tree` and returns its figures by name."""
    # Requests are short, so that servers never queue and latency depends on the ingress.
    deployment = Deployment(
        ingresses=1, servers=6, rate=rate, busy=0.2, retries=0.0, counter_rate=5000.0
    )
    command = (
        f"cd {shlex.quote(str(tree))} && exec env PYTHONPATH={shlex.quote(str(tree))} "
        f"{shlex.quote(sys.executable)} -m {program_package(tree)}"
    )
    async with running_world(Scenario("compare", seconds, seed, deployment), command) as world:
        await world.play()
        for ingress in world.ingresses:
            ingress.sample()
    figures, verdict = report(world)
    if verdict.breaches or world.crashes:
        raise SystemExit(f"{tree}: {[str(b) for b in verdict.breaches] + world.crashes}")
    return {
        name: figures[name][0] if isinstance(figures[name], list) else figures[name]
        for name in NAMES
    }


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=(__doc__ or "").partition("\n\n")[0],
        epilog="Example: python -m benchmarks.compare HEAD~5 HEAD --rounds 12",
    )
    parser.add_argument("old")
    parser.add_argument("new")
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=4.0, help="duration of each round (4)")
    parser.add_argument("--rate", type=float, default=600.0, help="requests per second (600)")
    parser.add_argument("--json", metavar="FILE", help="write all rounds to FILE")
    options = parser.parse_args(arguments)
    rounds: list[tuple[dict[str, float], dict[str, float]]] = []
    with tempfile.TemporaryDirectory(prefix="compare-") as folder, contextlib.ExitStack() as stack:
        trees = [
            stack.enter_context(checked_out(commit, Path(folder) / name))
            for name, commit in (("old", options.old), ("new", options.new))
        ]
        for n in range(options.rounds):
            figures_by_tree: dict[int, dict[str, float]] = {}
            for tree_index in ((0, 1), (1, 0))[n % 2]:
                figures_by_tree[tree_index] = uvloop.run(
                    run_round(trees[tree_index], options.seconds, options.rate, n)
                )
            rounds.append((figures_by_tree[0], figures_by_tree[1]))
            print(
                f"round {n + 1} of {options.rounds}: CPU {figures_by_tree[0]['cpu_us_per_request']:.0f} and "
                f"{figures_by_tree[1]['cpu_us_per_request']:.0f} us per request",
                file=sys.stderr,
                flush=True,
            )
    print(
        f"{'':<22}{options.old[:10]:>12}{options.new[:10]:>12}{'ratio':>9}   lowest and highest ratio"
    )
    result: dict[str, Any] = {"rounds": rounds}
    for name in NAMES:
        ratio, lowest, highest = spread(new[name] / old[name] for old, new in rounds if old[name])
        result[name] = ratio
        old, new = (median(pair[tree_index][name] for pair in rounds) for tree_index in (0, 1))
        print(f"{name:<22}{old:>12.1f}{new:>12.1f}{ratio:>9.3f}   {lowest:.3f} {highest:.3f}")
    if options.json:
        Path(options.json).write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
