"""The figures of a run: outcomes by kind and plan, latency and the service measure, from the record."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import ceil

from ingress.testbed.deployment import Deployment
from ingress.testbed.invariant_checker import take_from_quota
from ingress.testbed.record import Arrival, Record

# Weights of the service measure.
RUN_WEIGHT, WORST_WINDOW_WEIGHT, WORST_PLAN_WEIGHT = 0.55, 0.2, 0.25
WINDOW_S = 10.0
KINDS = ("served", "refused", "failed", "unanswered")

Asked = tuple[float, str, str, str, float]
"""A first try: time, customer, plan, class, units."""


@dataclass(slots=True)
class Figures:
    """Figures of a run.

    Attributes:
        tries: The number of tries.
        by_plan: Counts of tries by plan and kind.
        p50_ms: The median latency of served tries.
        p99_ms: The 99th percentile of the latency of served tries.
        service: The service measure, from 0 to 1.
        by_plan_service: The service of each plan, from 0 to 1.
    """

    tries: int = 0
    by_plan: dict[str, dict[str, int]] = field(default_factory=dict)
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    service: float = 0.0
    by_plan_service: dict[str, float] = field(default_factory=dict)

    def count(self, kind: str) -> int:
        """Returns the number of tries of this kind."""
        return sum(counts[kind] for counts in self.by_plan.values())


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the least value that at least `share` of the sorted values don't exceed; 0 for none."""
    return values[max(0, ceil(share * len(values)) - 1)] if values else 0.0


def measure(record: Record, asked: Sequence[Asked], deployment: Deployment) -> Figures:
    """Returns the figures of a run.

    The service measure is the worth that was served within its latency objective, divided by the worth
    requested within the quota. Only tries that were within the quota when they were forwarded earn
    worth. The measure weighs the whole run with 55%, the worst 10 s with 20% and the worst plan with
    25%. Requests forwarded beyond a quota lower the share of their plan.
    """
    figures = Figures(
        len(record.tries), {p.name: dict.fromkeys(KINDS, 0) for p in deployment.plans}
    )
    firsts: dict[str, Arrival] = {}
    for x in record.arrivals:
        firsts.setdefault(x.id, x)
    within_quota, buckets = set[str](), dict[str, tuple[float, float]]()
    for x in sorted(firsts.values(), key=lambda a: a.at):
        if take_from_quota(deployment.by_plan[x.plan], buckets, x.customer, x.at, x.units):
            within_quota.add(x.id)
    earned, cost, latencies = dict[int, float](), defaultdict[str, float](float), []
    for tried in record.tries:
        if not tried.kind and tried.ended < tried.sent + 0.05 and not tried.first:
            continue  # the client sent it again on a new connection: one try
        figures.by_plan[tried.plan][tried.kind or "unanswered"] += 1
        cls, plan = deployment.by_class[tried.request_class], deployment.by_plan[tried.plan]
        worth = cls.worth * plan.price * tried.units
        if tried.id in firsts and tried.id not in within_quota:
            cost[tried.plan] += plan.over_cost * worth
        if tried.kind == "served":
            latencies.append((tried.answered - tried.sent) * 1000)
            late = tried.answered - asked[tried.ask][0] > cls.aim
            if tried.id in within_quota:
                earned[tried.ask] = worth * (cls.late_worth if late else 1.0)
    latencies.sort()
    figures.p50_ms, figures.p99_ms = percentile(latencies, 0.5), percentile(latencies, 0.99)
    _service(figures, asked, earned, cost, deployment)
    return figures


def pairs(record: Record) -> dict[str, int]:
    """Returns the number of tries served per pair of dialects, by "client>server"."""
    dialects = {(x.id, x.value): x.dialect for x in record.arrivals if x.value}
    counts: dict[str, int] = defaultdict(int)
    for tried in record.tries:
        if tried.kind == "served" and (tried.id, tried.value) in dialects:
            counts[f"{tried.dialect}>{dialects[tried.id, tried.value]}"] += 1
    return dict(sorted(counts.items()))


def _service(
    figures: Figures,
    asked: Sequence[Asked],
    earned: dict[int, float],
    cost: dict[str, float],
    deployment: Deployment,
) -> None:
    buckets: dict[str, tuple[float, float]] = {}
    offered, gained = defaultdict[str, float](float), defaultdict[str, float](float)
    windows: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for number, (at, customer, plan, cls, units) in enumerate(asked):
        worth = deployment.by_class[cls].worth * deployment.by_plan[plan].price * units
        if take_from_quota(deployment.by_plan[plan], buckets, customer, at, units):
            offered[plan] += worth
            windows[int((at - asked[0][0]) / WINDOW_S)][0] += worth
        gained[plan] += earned.get(number, 0.0)
        windows[int((at - asked[0][0]) / WINDOW_S)][1] += earned.get(number, 0.0)
    if not offered:
        return

    def share(part: float, total: float) -> float:
        return max(0.0, min(1.0, part / total)) if total else 1.0

    figures.by_plan_service = {p: share(gained[p] - cost.get(p, 0.0), offered[p]) for p in offered}
    whole_run = share(sum(gained.values()) - sum(cost.values()), sum(offered.values()))
    worst_window = min(share(part, total) for total, part in windows.values())
    figures.service = (
        RUN_WEIGHT * whole_run
        + WORST_WINDOW_WEIGHT * worst_window
        + WORST_PLAN_WEIGHT * min(figures.by_plan_service.values())
    )
