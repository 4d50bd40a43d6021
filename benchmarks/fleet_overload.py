"""Simulates overload of a whole fleet in virtual time and compares shedding policies.

    python -m benchmarks.fleet_overload --ingresses 12 --loads 1 2 5 10 --seeds 20
    python -m benchmarks.fleet_overload --ingresses 200 --loads 5 --seeds 3 --before old_logic.py --json
    python -m benchmarks.fleet_overload --ingresses 40 --days unsaid --loads 0.6 --seeds 4 --seconds 20

The policies are the current one without gossip (`module`), with gossip (`talking`), with gossip but without
ejections (`no looks`), that of an earlier revision (`before`) and a shedder with complete knowledge
(`sees all`).  Worth is the number of requests served in time per request of backend capacity.  `--before`
names a policy file of an earlier revision, from `git show REV:ingress/policy/gateway.py`.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections import defaultdict
from functools import partial
from pathlib import Path
from statistics import mean

from benchmarks.plays import run_parallel
from ingress.simulation.fleet_simulation import GatewayFactory, Simulation
from ingress.simulation.gateways import load_module, policy_gateways
from ingress.simulation.gossip_network import GossipConditions, gossiping_gateways
from ingress.simulation.reference_gateways import OmniscientGateway
from ingress.simulation.size import SCENARIOS, Size

FIGURES = (
    "attempts_per_first",
    "refused",
    "wasted",
    "both",
    "handshakes",
    "peak",
    "first_crowd",
    "connections",
    "unreached",
)
Job = tuple[str, int, float, str, int, str]


def size_of(ingresses: int, load: float, seconds: float) -> Size:
    """Returns a size with many tries per ingress, or with a few per second above 50 ingresses."""
    low_rate = ingresses > 50
    return Size(
        gateways=ingresses,
        backends=max(12, ingresses * 3 // 10),
        mean_core_s=0.2 if low_rate else 0.04,
        gateways_per_customer=min(12, max(3, ingresses // 3)),
        load=load,
        duration=seconds,
    )


def policy_factory(name: str, before: str) -> GatewayFactory:
    if name == "sees all":
        return lambda world, number: OmniscientGateway(world, number)
    if name == "before":
        return policy_gateways(load_module(Path(before), "policy_before").Gateway)
    if name == "no looks":
        return gossiping_gateways(GossipConditions(use_ejections=False))
    return gossiping_gateways() if name == "talking" else policy_gateways()


def play(job: Job, seconds: float) -> tuple[Job, dict[str, float]]:
    name, ingresses, load, day, seed, before = job
    size = size_of(ingresses, load, seconds)
    figures = Simulation(size, SCENARIOS[day], seed, policy_factory(name, before)).run().figures()
    return job, figures | {"worth": figures["served"] / (size.capacity * seconds)}


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--ingresses", type=int, default=12)
    parser.add_argument("--loads", type=float, nargs="+", default=[1.0, 2.0, 5.0, 10.0])
    parser.add_argument("--days", nargs="+", default=["calm"], choices=sorted(SCENARIOS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument(
        "--before", default="", help="a policy file of an earlier revision to compare with"
    )
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    names = ["module", "talking", "no looks", *(["before"] if args.before else []), "sees all"]
    jobs: list[Job] = [
        (name, args.ingresses, load, day, seed, args.before)
        for day in args.days
        for load in args.loads
        for name in names
        for seed in range(1, args.seeds + 1)
    ]
    figures_by_case: defaultdict[tuple[str, float, str], list[dict[str, float]]] = defaultdict(list)
    for job, figures in run_parallel(partial(play, seconds=args.seconds), jobs, args.jobs):
        figures_by_case[job[3], job[2], job[0]].append(figures)
    rows = [
        {
            "day": day,
            "load": load,
            "subject": name,
            "plays": len(runs),
            "worth": mean(r["worth"] for r in runs),
            "worst": min(r["worth"] for r in runs),
            **{key: mean(r[key] for r in runs) for key in FIGURES},
        }
        for (day, load, name), runs in sorted(figures_by_case.items())
    ]
    if args.json:
        print(json.dumps(rows, indent=1))
        return 0
    best = {(r["day"], r["load"]): r["worth"] for r in rows if r["subject"] == "sees all"}
    for r in rows:
        share = float(r["worth"]) / max(1e-9, float(best[r["day"], r["load"]]))  # type: ignore[arg-type]
        print(
            f"{r['day']:8} {r['load']:5} {r['subject']:9} {r['plays']:3} plays  worth {r['worth']:.2f} "
            f"(worst {r['worst']:.2f}, {share:.2f} of complete knowledge)  "
            + "  ".join(f"{key} {r[key]:.3f}" for key in FIGURES)
        )
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
