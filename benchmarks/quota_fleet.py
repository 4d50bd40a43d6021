"""Simulates quotas of a fleet under normal load: real Gateways and a policy with delayed knowledge.

    python -m benchmarks.quota_fleet --ingresses 3 40 200 --seeds 20
    python -m benchmarks.quota_fleet --ingresses 40 --seeds 2 --late 1.0 --json

The price is the cost of units forwarded beyond the quotas, at each plan's cost, as a share of the worth that an
admission with complete knowledge of all first tries would admit.  The reference policy sees the true stores as
of `--late` seconds ago, and its own use since then.  Exit status 1: the Gateways' mean price exceeds that of the
reference policy by more than `--most`.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections import defaultdict
from functools import partial
from statistics import mean

from benchmarks.plays import run_parallel
from ingress.simulation.fleet_simulation import Simulation
from ingress.simulation.gateways import policy_gateways
from ingress.simulation.reference_gateways import DelayedQuotaGateway
from ingress.simulation.size import Size

FIGURES = ("over_price", "over", "with_room", "refused", "share")
Job = tuple[str, int, int]


def size_of(ingresses: int, seconds: float) -> Size:
    """Returns a size where 10% of the customers request three times their quota.

    The other customers stay within their quotas, some only by a small margin.
    """
    low_rate = ingresses > 50
    return Size(
        gateways=ingresses,
        backends=max(12, ingresses * 3 // 10),
        duration=seconds,
        client_retries=1,
        mean_core_s=0.2 if low_rate else 0.04,
        gateways_per_customer=min(12, max(2, ingresses // 3)),
        load=0.5,
        quota_use=0.55,
        heavy_share=0.1,
    )


def play(job: Job, seconds: float, late: float) -> tuple[Job, dict[str, float]]:
    name, ingresses, seed = job
    make = policy_gateways() if name == "gateways" else partial(DelayedQuotaGateway, delay=late)
    figures = Simulation(size_of(ingresses, seconds), (), seed, make).run().figures()
    return job, {key: figures[key] for key in FIGURES}


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--ingresses", type=int, nargs="+", default=[3, 40, 200])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument(
        "--late",
        type=float,
        default=0.5,
        help="delay of the reference policy's knowledge in seconds",
    )
    parser.add_argument("--most", type=float, default=0.1)
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    jobs = [
        (name, n, seed)
        for n in args.ingresses
        for name in ("gateways", "late")
        for seed in range(1, args.seeds + 1)
    ]
    figures_by_case: defaultdict[tuple[int, str], list[dict[str, float]]] = defaultdict(list)
    for (name, n, _), figures in run_parallel(
        partial(play, seconds=args.seconds, late=args.late), jobs, args.jobs
    ):
        figures_by_case[n, name].append(figures)
    rows = [
        {
            "ingresses": n,
            "policy": name,
            "plays": len(plays),
            "worst_price": max(p["over_price"] for p in plays),
        }
        | {key: mean(p[key] for p in plays) for key in FIGURES}
        for (n, name), plays in sorted(figures_by_case.items())
    ]
    if args.json:
        print(json.dumps(rows, indent=1))
    else:
        print(
            f"{'ingresses':>9} {'policy':>9} {'plays':>5} {'price':>6} {'worst':>6} "
            + " ".join(f"{key:>9}" for key in FIGURES[1:])
        )
        for row in rows:
            print(
                f"{row['ingresses']:9} {row['policy']:>9} {row['plays']:5} {row['over_price']:6.3f} "
                f"{row['worst_price']:6.3f} " + " ".join(f"{row[key]:9.3f}" for key in FIGURES[1:])
            )
    price = {key: mean(p["over_price"] for p in plays) for key, plays in figures_by_case.items()}
    return int(any(price[n, "gateways"] - price[n, "late"] > args.most for n in args.ingresses))


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
