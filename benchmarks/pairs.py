"""Measures CPU per request of each pair of dialects, relative to resp2-v1 on both sides.

Example: python -m benchmarks.pairs --rounds 10

Each round sends the same steady load to a new ingress process for every pair, in an order that changes
between rounds; ratios are computed within a round.  resp2-v1 on both sides runs without an operator file.
Needs requirements-lab.txt.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
from collections.abc import Sequence
from pathlib import Path
from statistics import median
from typing import Any

import uvloop

from benchmarks.ratios import spread
from ingress.testbed.deployment import Deployment
from ingress.testbed.report import report
from ingress.testbed.scenario import DIALECTS, OLD_DIALECT, Scenario
from ingress.testbed.world import running_world

PAIRS = [(client, server) for client in DIALECTS for server in DIALECTS]
SERVERS = 6


async def measure_pair(client: str, server: str, seconds: float, rate: float, seed: int) -> float:
    """Returns the CPU time per request in microseconds."""
    deployment = Deployment(
        ingresses=1, servers=SERVERS, rate=rate, busy=0.2, retries=0.0, counter_rate=5000.0
    )
    clients = {} if client == OLD_DIALECT else {client: 1.0}
    generations = {} if server == OLD_DIALECT else {f"server-{n}": server for n in range(SERVERS)}
    scenario = Scenario(f"{client} {server}", seconds, seed, deployment, (), clients, generations)
    async with running_world(scenario) as world:
        await world.play()
        for ingress in world.ingresses:
            ingress.sample()
    figures, verdict = report(world)
    if verdict.breaches or world.crashes or world.faults:
        raise SystemExit(
            f"{client} to {server}: {[str(b) for b in verdict.breaches] + world.crashes}"
        )
    cpu: float = figures["cpu_us_per_request"][0]
    return cpu


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=(__doc__ or "").partition("\n\n")[0],
        epilog="Example: python -m benchmarks.pairs --rounds 10",
    )
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=3.0, help="duration of each run (3)")
    parser.add_argument("--rate", type=float, default=400.0, help="requests per second (400)")
    parser.add_argument("--json", metavar="FILE", help="write all rounds to FILE")
    options = parser.parse_args(arguments)
    rounds: list[dict[tuple[str, str], float]] = []
    for n in range(options.rounds):
        order = random.Random(n).sample(PAIRS, len(PAIRS))
        rounds.append(
            {
                pair: uvloop.run(measure_pair(*pair, options.seconds, options.rate, n))
                for pair in order
            }
        )
        print(
            f"round {n + 1} of {options.rounds}: {rounds[-1][OLD_DIALECT, OLD_DIALECT]:.0f} us per request on the old path",
            file=sys.stderr,
            flush=True,
        )
    print(f"{'clients':<10}{'servers':<10}{'us':>7}{'ratio':>8}   lowest and highest ratio")
    result: list[dict[str, Any]] = []
    for client, server in PAIRS:
        ratios = sorted(row[client, server] / row[OLD_DIALECT, OLD_DIALECT] for row in rounds)
        ratio, lowest, highest = spread(ratios)
        cpu = median(row[client, server] for row in rounds)
        result.append(
            {"clients": client, "servers": server, "cpu_us_per_request": cpu, "ratios": ratios}
        )
        print(f"{client:<10}{server:<10}{cpu:>7.0f}{ratio:>8.3f}   {lowest:.3f} {highest:.3f}")
    if options.json:
        Path(options.json).write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
