"""Compares a scenario over many seeds with the same runs without version changes or with another ingress.

Example: python -m benchmarks.migration --seeds 20 --json migration.json

Runs each seed with the scenario's faults, without its changes of generation and, with --beside, with that
command instead of the ingress.  Compares service seed by seed.  Exit status: 0; 1 if a run broke a rule, except
in runs of --beside; 130 if interrupted.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from statistics import median
from typing import Any

import uvloop

from ingress.testbed.__main__ import SCENARIOS
from ingress.testbed.report import report
from ingress.testbed.scenario import Scenario, read_scenario
from ingress.testbed.world import running_world

CHANGES = ("upgrade", "downgrade", "halfway", "swap")


async def run_process(
    scenario: Scenario, command: str | None, limiter: asyncio.Semaphore
) -> dict[str, Any]:
    async with limiter:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.migration",
            "--one",
            scenario.name,
            str(scenario.seed),
            command or "",
            str(int(not scenario.faults or not any(f.kind in CHANGES for f in scenario.faults))),
            stdout=asyncio.subprocess.PIPE,
        )
        out, _ = await process.communicate()
    result: dict[str, Any] = json.loads(out)
    print(
        f"seed {scenario.seed}: service {result['service']:.3f}, {result['effect']} breaches of effect",
        file=sys.stderr,
        flush=True,
    )
    return result


def scenario(name: str, seed: int, still: bool) -> Scenario:
    """Returns the scenario with the seed; with `still`, without its changes of generation."""
    path = SCENARIOS / f"{name}.toml"
    original = read_scenario(path.read_text(encoding="utf-8"), str(path), seed=seed)
    faults = tuple(f for f in original.faults if not still or f.kind not in CHANGES)
    return replace(original, name=name, faults=faults)


async def play(name: str, seed: int, command: str, still: bool) -> dict[str, Any]:
    """Runs the scenario once; each run has its own process, with its own loopback addresses."""
    async with running_world(scenario(name, seed, still), command or None) as world:
        await world.play()
        await world.close()
    figures, verdict = report(world)
    if world.faults:
        raise SystemExit(f"the testbed itself failed: {world.faults}")
    return {
        "service": figures["service"],
        "rules": figures["rules"],
        "effect": figures["rules"]["effect"],
        "twice": sum("recorded twice" in b.why for b in verdict.breaches),
        "judged": verdict.judged,
        "held_back": figures["held_back"],
        "breaches": figures["breaches"][:5],
    }


async def run_all(options: argparse.Namespace) -> dict[str, list[dict[str, Any]]]:
    limiter, seeds = asyncio.Semaphore(options.at_once), range(1, options.seeds + 1)
    kinds = {"moved": (False, None), "still": (True, None)}
    if options.beside:
        kinds["beside"] = (False, options.beside)
    rows = await asyncio.gather(
        *(
            run_process(scenario(options.scenario, seed, still), command, limiter)
            for seed in seeds
            for still, command in kinds.values()
        )
    )
    return {kind: rows[n :: len(kinds)] for n, kind in enumerate(kinds)}


def main(arguments: Sequence[str] | None = None) -> int:
    words = list(sys.argv[1:] if arguments is None else arguments)
    if words[:1] == ["--one"]:
        print(json.dumps(uvloop.run(play(words[1], int(words[2]), words[3], words[4] == "1"))))
        return 0
    parser = argparse.ArgumentParser(
        description=(__doc__ or "").partition("\n\n")[0],
        epilog="Example: python -m benchmarks.migration --seeds 20",
    )
    parser.add_argument("--scenario", default="migrate", help="name of a scenario of the testbed")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--at-once", type=int, default=3, help="concurrent runs (3)")
    parser.add_argument(
        "--beside",
        metavar="COMMAND",
        help="command of another ingress, also played with the faults",
    )
    parser.add_argument("--json", metavar="FILE", help="write all runs to FILE")
    options = parser.parse_args(words)
    try:
        results = uvloop.run(run_all(options))
    except KeyboardInterrupt:
        return 130
    print(
        f"{'':<10}{'service':>9}{'lowest':>9}{'highest':>9}{'breaches':>10}{'twice':>7}"
        f"{'held back':>11}{'too busy':>10}"
    )
    for kind, rows in results.items():
        service = [row["service"] for row in rows]
        print(
            f"{kind:<10}{median(service):>9.3f}{min(service):>9.3f}{max(service):>9.3f}"
            f"{sum(sum(row['rules'].values()) for row in rows):>10}{sum(row['twice'] for row in rows):>7}"
            f"{sum(row['held_back']['in_a_try'] for row in rows):>11}"
            f"{sum(not row['judged'] for row in rows):>10}"
        )
    differences = sorted(
        a["service"] - b["service"] for a, b in zip(results["moved"], results["still"], strict=True)
    )
    print(
        f"moved - still, seed by seed: median {median(differences):+.3f}, from {differences[0]:+.3f} to "
        f"{differences[-1]:+.3f}"
    )
    if options.json:
        Path(options.json).write_text(json.dumps(results, indent=1) + "\n", encoding="utf-8")
    return int(
        any(sum(row["rules"].values()) for kind in ("moved", "still") for row in results[kind])
    )


if __name__ == "__main__":
    sys.exit(main())
