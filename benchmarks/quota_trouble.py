"""Compares quota enforcement of the Gateway with three simple policies while the counter is faulty.

Example: python -m benchmarks.quota_trouble --seeds 20 --json trouble.json

Runs every case over the seeds in virtual time (benchmarks/quota_world.py), with the same requests for all
subjects, and prints one row for each.  A row has the units forwarded beyond the quotas as a share of the allowed
units, for all plans and for `editorial` alone, and the tries refused although the true store had room, as a
share of all tries.  Figures are the median over the seeds, with the lowest and the highest.  Exit status: 0;
1 if a fault did not occur or a ceiling was exceeded; 130 if interrupted.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from statistics import median
from typing import Any

from benchmarks.quota_world import SUBJECTS, Size, Tally, Trouble, World

CASES: dict[str, list[Trouble]] = {
    "calm": [],
    "lost": [Trouble("lost")],
    "silent": [Trouble("silent")],
    "slow": [Trouble("slow", figure=0.12)],
    "lost answers": [Trouble("answers", figure=0.3)],
    "parted": [Trouble("split")],
    "parted, restart": [Trouble("split"), Trouble("restart", 10.0)],
    "empty": [Trouble("empty", 8.0)],
    "empty every 3 s": [Trouble("empty", 4.0 + 3 * n) for n in range(6)],
    "older": [Trouble("older", 10.0, figure=5.0)],
    "flaps each second": [Trouble("flap", figure=1.0)],
    "one part of three": [Trouble("part")],
    "restart": [Trouble("restart", 10.0)],
}


def play(case: str, subject: str, seed: int, size: Size) -> dict[str, Any]:
    """Runs one simulation and returns its figures."""
    started_at = time.process_time()
    tally = World(size, CASES[case], seed, SUBJECTS[subject]).play()
    return {
        "case": case,
        "subject": subject,
        "seed": seed,
        **figures(tally, size),
        "came_about": sum(tally.occurred.values()) == len(CASES[case]),
        "cpu_s": time.process_time() - started_at,
    }


def figures(tally: Tally, size: Size) -> dict[str, float]:
    """Returns the figures of a run.

    Shares are fractions of 1.  `ceiling` is the number of units by which a ceiling's slack was exceeded.
    """
    return {
        "over": sum(tally.over.values()) / sum(tally.allowed.values()),
        "over_editorial": tally.over["editorial"] / tally.allowed["editorial"],
        "with_room": sum(tally.with_room.values()) / tally.asked,
        "sent": sum(tally.sent.values()) / tally.asked,
        "asked": tally.asked,
        "calls": tally.calls / tally.asked,
        "calls_per_s": tally.calls / size.seconds,
        "unanswered": 1 - tally.answered / tally.calls if tally.calls else 0.0,
        "ceiling": tally.ceiling,
    }


def table(runs: Sequence[dict[str, Any]], cases: Sequence[str]) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for case in cases:
        for subject in SUBJECTS:
            selected = [run for run in runs if run["case"] == case and run["subject"] == subject]
            if selected:
                rows.append(
                    {"case": case, "subject": subject}
                    | {
                        key: (
                            median(run[key] for run in selected),
                            min(run[key] for run in selected),
                            max(run[key] for run in selected),
                        )
                        for key in (
                            "over",
                            "over_editorial",
                            "with_room",
                            "calls",
                            "calls_per_s",
                            "unanswered",
                            "ceiling",
                        )
                    }
                )
    return rows


def percent(spread: tuple[float, float, float]) -> str:
    return f"{spread[0]:6.1%} ({spread[1]:.1%} to {spread[2]:.1%})"


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=(__doc__ or "").partition("\n\n")[0],
        epilog="Example: python -m benchmarks.quota_trouble --case parted",
    )
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument(
        "--case",
        action="append",
        choices=list(CASES),
        metavar="NAME",
        help="run only this case; may be repeated: " + "; ".join(CASES),
    )
    parser.add_argument(
        "--subject",
        action="append",
        choices=list(SUBJECTS),
        metavar="NAME",
        help="run only this subject; may be repeated: " + "; ".join(SUBJECTS),
    )
    for name, kind, description in (
        ("ingresses", int, "number of ingresses"),
        ("spread", int, "number of ingresses that a customer may use"),
        ("rate", float, "first tries per second"),
        ("seconds", float, "duration of a run in virtual time"),
        ("calm", float, "share of its quota that a normal customer requests"),
        ("heavy", float, "share of the customers that request 3 times their quota"),
        ("counter-rate", float, "calls per second that the counter can serve"),
    ):
        default = getattr(Size(), name.replace("-", "_"))
        parser.add_argument(
            f"--{name}", type=kind, default=default, help=f"{description} ({default:g})"
        )
    parser.add_argument("--processes", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument("--json", metavar="FILE", help="write all runs and the table to FILE")
    options = parser.parse_args(arguments)
    size = Size(
        options.ingresses,
        options.rate,
        options.seconds,
        min(options.spread, options.ingresses),
        counter_rate=options.counter_rate,
        calm=options.calm,
        heavy=options.heavy,
    )
    cases, subjects = options.case or list(CASES), options.subject or list(SUBJECTS)
    jobs = [
        (case, subject, seed)
        for case in cases
        for subject in subjects
        for seed in range(options.seeds)
    ]
    runs: list[dict[str, Any]] = []
    with ProcessPoolExecutor(options.processes) as pool:
        try:
            for future in as_completed([pool.submit(play, *one, size) for one in jobs]):
                runs.append(future.result())
                print(f"\r{len(runs)} of {len(jobs)} runs ", end="", file=sys.stderr, flush=True)
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            print("\ninterrupted", file=sys.stderr)
            return 130
    print(file=sys.stderr)
    rows = table(runs, cases)
    print(
        f"{'case':<19}{'subject':<13}{'beyond the quotas':<26}{'of editorial':<26}{'refused with room':<26}"
        f"{'calls a try':>12}"
    )
    for row in rows:
        print(
            f"{row['case']:<19}{row['subject']:<13}{percent(row['over']):<26}"
            f"{percent(row['over_editorial']):<26}{percent(row['with_room']):<26}{row['calls'][0]:>12.2f}"
        )
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump({"runs": runs, "table": rows}, file, indent=1)
    # The other subjects are expected to exceed ceilings: they show the effect of simpler policies.
    broken = [run for run in runs if run["subject"] == "module" and run["ceiling"] > 0]
    for run in broken:
        print(
            f"a ceiling was exceeded: {run['case']}, seed {run['seed']}, {run['ceiling']:.1f} units"
        )
    return 1 if broken or not all(run["came_about"] for run in runs) else 0


if __name__ == "__main__":
    sys.exit(main())
