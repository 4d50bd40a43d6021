"""The report of a run: a table, and the same figures under stable names."""

from __future__ import annotations

import json
from typing import Any

from ingress.testbed.invariant_checker import RULES, Verdict, held_back, judge
from ingress.testbed.measure import KINDS, measure, pairs
from ingress.testbed.world import World

MAX_BEHIND_S = 0.5  # clients that are later no longer follow their drawn schedule
MAX_BREACHES_SHOWN = 12  # in the table; the JSON report holds all


def report(world: World) -> tuple[dict[str, Any], Verdict]:
    """Returns the figures of a completed run under stable names, and the verdict.

    `served`, `refused`, `failed` and `unanswered` count tries, `rules` counts breaches, `p50_ms` and
    `p99_ms` are of served tries, and `cpu_us_per_request` and `rss_mb` are by ingress.
    """
    scenario, verdict = world.scenario, judge(world.record, world.deployment)
    figures = measure(world.record, world.customers.asked, world.deployment)
    held_back_counts = held_back(world.record)
    tries_by_ingress = [
        sum(t.ingress == i.number for t in world.record.tries) for i in world.ingresses
    ]
    logged = {"placements": placements(world, verdict)} if world.record.placements else {}
    return {
        "scenario": scenario.name,
        "seed": scenario.seed,
        "seconds": scenario.seconds,
        "ingresses": world.deployment.ingresses,
        "servers": world.deployment.servers,
        "rate": world.deployment.rate,
        "tries": figures.tries,
        "not_taken": world.customers.not_taken,
        **{kind: figures.count(kind) for kind in KINDS},
        "by_plan": figures.by_plan,
        "service": round(figures.service, 4),
        "service_by_plan": {
            name: round(value, 4) for name, value in figures.by_plan_service.items()
        },
        "over_quota": {name: round(value, 4) for name, value in verdict.over_quota.items()},
        "p50_ms": round(figures.p50_ms, 1),
        "p99_ms": round(figures.p99_ms, 1),
        "cpu_us_per_request": [
            round(i.cpu * 1e6 / n) if n else 0
            for i, n in zip(world.ingresses, tries_by_ingress, strict=True)
        ],
        "rss_mb": [round(i.peak_rss, 1) for i in world.ingresses],
        "rss_mb_by_quarter": [
            quarter_means(i.memory, world.began, scenario.seconds) for i in world.ingresses
        ],
        "files": [i.files for i in world.ingresses],
        "asked_per_s": round(len(world.customers.asked) / scenario.seconds, 1),
        "behind_s": round(world.customers.behind, 3),
        "client_connections": world.customers.peak_connections,
        "counter_calls": world.counter.calls,
        "counter_seen": world.counter.seen,
        "faults": [f"{at:.1f} s: {text.partition(': ')[2]}" for at, text in world.faults_done],
        "held_back": {"in_a_try": held_back_counts[0], "between_tries": held_back_counts[1]},
        "counts": world.counts,
        "pairs": pairs(world.record),
        "fell_over": [s.name for s in world.servers if s.fell],
        "rules": verdict.counts(),
        "breaches": [str(b) for b in verdict.breaches],
        "doubtful": [str(b) for b in verdict.doubtful],
        "judged": verdict.judged,
        "kept_up": world.customers.behind <= MAX_BEHIND_S,
        "crashes": world.crashes,
        **logged,
    }, verdict


def placements(world: World, verdict: Verdict) -> list[str]:
    """Returns the placements and arrivals of submissions that violated a rule, in order of time.

    Ingresses log placements only if INGRESS_LOG_LEVEL is `debug`.
    """
    record = world.record
    requests = {breach.request for breach in verdict.breaches}
    asks = {tried.ask for tried in record.tries if tried.key and tried.id in requests}
    ids = {tried.id for tried in record.tries if tried.ask in asks}
    keys = {tried.key for tried in record.tries if tried.ask in asks}
    events = [
        (row["at"] - world.unix, json.dumps(row | {"at": round(row["at"] - world.unix, 3)}))
        for row in record.placements
        if row["key"] in keys or row["request"] in ids
    ]
    events += [
        (x.at, f"arrival at {x.at:.3f}, sent from {x.first:.3f}: {x}")
        for x in record.arrivals
        if x.id in ids
    ]
    if events:
        events += [(notice.at, str(notice)) for notice in record.told]
        events += [(start.at, str(start)) for start in record.starts]
    return [text for _, text in sorted(events)]


def quarter_means(samples: list[tuple[float, float]], began: float, seconds: float) -> list[float]:
    """Returns the mean of the samples in each quarter of the run; 0 for a quarter without samples."""
    sums: list[list[float]] = [[], [], [], []]
    for at, value in samples:
        sums[min(3, max(0, int(4 * (at - began) / seconds)))].append(value)
    return [round(sum(values) / len(values), 2) if values else 0.0 for values in sums]


def table(figures: dict[str, Any], command: str) -> str:
    """Returns the figures as text; that of a failed run ends with the command that repeats it."""
    rows = [
        f"{figures['scenario']}: {figures['seconds']:g} s, seed {figures['seed']}, "
        f"{figures['ingresses']} ingresses, {figures['servers']} servers, {figures['rate']:g} requests/s"
    ]
    rows += [f"  fault {fault}" for fault in figures["faults"]]
    rows += [
        "",
        f"service {figures['service']:.3f}    p50 {figures['p50_ms']:.0f} ms    "
        f"p99 {figures['p99_ms']:.0f} ms    {figures['tries']} tries, "
        f"{figures['not_taken']} more found no available ingress",
        "",
    ]
    headings = (*KINDS, "service", "over quota")
    rows.append(f"{'plan':<12}" + "".join(f"{heading:>12}" for heading in headings))
    for name, counts in figures["by_plan"].items():
        rows.append(
            f"{name:<12}"
            + "".join(f"{counts[kind]:>12}" for kind in KINDS)
            + f"{figures['service_by_plan'].get(name, 1.0):>12.3f}"
            + f"{figures['over_quota'][name]:>12.1%}"
        )
    rows += [
        "",
        f"{'ingress':<12}{'CPU us/request':>16}{'memory MB':>12}{'files':>8}   MB by quarter",
    ]
    for n, (cpu, rss, files, mean) in enumerate(
        zip(
            figures["cpu_us_per_request"],
            figures["rss_mb"],
            figures["files"],
            figures["rss_mb_by_quarter"],
            strict=True,
        )
    ):
        rows.append(
            f"{n:<12}{cpu:>16}{rss:>12.1f}{files:>8}   " + " ".join(f"{x:.1f}" for x in mean)
        )
    rows += [
        "",
        f"at most {figures['client_connections']} client connections, calls to the counter: "
        f"{figures['counter_calls']}",
        "",
    ]
    if any(figures["held_back"].values()):
        held = figures["held_back"]
        rows += [
            f"held back from another memory of keys: {held['in_a_try']} attempts that may have run, "
            f"{held['between_tries']} of them repeated by their clients"
        ]
        rows += [f"  ingress {n}: {counts}" for n, counts in enumerate(figures["counts"])] + [""]
    rows += [
        f"rule {rule:<8} {'kept' if not figures['rules'][rule] else 'BROKEN'}"
        + (f", {figures['rules'][rule]} times" if figures["rules"][rule] else "")
        for rule in RULES
    ]
    rows += [f"  {text}" for text in figures["breaches"][:MAX_BREACHES_SHOWN]]
    if len(figures["breaches"]) > MAX_BREACHES_SHOWN:
        rows.append(f"  and {len(figures['breaches']) - MAX_BREACHES_SHOWN} more")
    rows += [f"  {text}" for text in figures["crashes"]]
    if not figures["kept_up"]:
        rows.append(
            f"the testbed could not reach the requested rate: {figures['behind_s']:.1f} s behind, "
            f"{figures['asked_per_s']:g} first tries per second; use a lower --rate or more --clients"
        )
    if not figures["judged"]:
        rows.append(
            f"the machine was too busy to judge: {len(figures['doubtful'])} limits were exceeded by "
            "no more than the machine itself was late; repeat the run on a less busy machine"
        )
    if figures["breaches"] or figures["crashes"]:
        rows += ["", f"repeat with: {command}"]
    return "\n".join(rows)
