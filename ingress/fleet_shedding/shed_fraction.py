"""The shed fraction of the whole fleet, and a bound on the influence of one instance on it.

The fraction is computed from the fleet's total offered and admitted load, with headroom to admit
more. Each instance sheds at least that fraction in the common shed order, and also bounds its
attempts in flight with its own concurrency limiter. The limiter reacts immediately. The fleet's
fraction lags by a second but is steady, whereas one instance handles few attempts and its own
fraction fluctuates. With too few fresh reports, each instance uses its own fraction.

Headroom multiplies the admitted load, so a fleet that temporarily admitted nothing, because there
was no backend or all limiters were full at once, would shed everything forever. Therefore, once
the limiters have been idle for IDLE_TIME_S, the fraction is 0 until they are in use again; the
limiters reject excess load in the meantime.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import Final

from ingress.fleet_shedding.load_reports import LoadReport

MAX_WEIGHT_RATIO: Final = 2.0  # highest weight, relative to the others' mean offered rate
MIN_HEADROOM: Final = 1.4  # multiple of the admitted load, at HIGH_UTILIZATION and above
MAX_HEADROOM: Final = 3.0  # multiple of the admitted load, up to LOW_UTILIZATION
HIGH_UTILIZATION: Final = 0.9
LOW_UTILIZATION: Final = 0.5
IDLE_UTILIZATION: Final = 0.05  # below it, nothing prevents the limiters from admitting more
IDLE_TIME_S: Final = 2.0  # covers the last responses of an overload and the age of reports
MAX_REPORT_AGE_S: Final = 2.0
MIN_REPORTS: Final = 3  # a fraction over fewer instances is not meaningful
MIN_REPORTING_SHARE: Final = 0.3  # of the members


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """The fraction to shed, the median utilization, and the number of reports used."""

    shed_fraction: float
    utilization: float
    report_count: int


def compute_fleet_load(reports: Sequence[LoadReport], members: int) -> FleetLoad | None:
    """Returns the fleet's load, or None if too few members reported or no load is offered.

    Args:
        reports: The fresh reports.
        members: Number of members, including this one.
    """
    if len(reports) < max(MIN_REPORTS, MIN_REPORTING_SHARE * members):
        return None
    weights = bounded_weights([report.offered_rate for report in reports])
    total = sum(weights)
    if total <= 0.0:
        return None
    weighted = list(zip(weights, reports, strict=True))
    admitted = sum(weight * _admitted_share(report) for weight, report in weighted) / total
    by_utilization = sorted((report.utilization, weight) for weight, report in weighted)
    utilization = weighted_median(by_utilization, total)
    shed_fraction = max(0.0, 1.0 - _headroom(utilization) * admitted)
    return FleetLoad(shed_fraction, utilization, len(reports))


def _admitted_share(report: LoadReport) -> float:
    return min(1.0, report.admitted_rate / max(report.offered_rate, 1e-9))


def _headroom(utilization: float) -> float:
    slack = (HIGH_UTILIZATION - utilization) / (HIGH_UTILIZATION - LOW_UTILIZATION)
    return MIN_HEADROOM + min(1.0, max(0.0, slack)) * (MAX_HEADROOM - MIN_HEADROOM)


class IdleDetector:
    """Detects that the limiters were idle and are not in use again yet. Times are in seconds."""

    def __init__(self) -> None:
        self.idle_since = inf

    def update(self, now: float, utilization: float) -> bool:
        """Processes the current utilization and returns whether the shed fraction must be 0."""
        if utilization >= LOW_UTILIZATION:
            self.idle_since = inf
        elif utilization < IDLE_UTILIZATION:
            self.idle_since = min(self.idle_since, now)
        return now - self.idle_since >= IDLE_TIME_S


def bounded_weights(values: Sequence[float]) -> list[float]:
    """Returns the values, each capped at MAX_WEIGHT_RATIO times the mean of the others.

    This bounds the effect of a single false report.
    """
    total = sum(values)
    others = max(1, len(values) - 1)
    return [min(value, MAX_WEIGHT_RATIO * (total - value) / others) for value in values]


def weighted_median(sorted_values: Sequence[tuple[float, float]], total_weight: float) -> float:
    """Returns the value at which half of the total weight is reached.

    Unlike a mean, a weighted median with a single false report stays within the range of the
    other reports.

    Args:
        sorted_values: Pairs of value and weight, in ascending order.
        total_weight: Sum of the weights.
    """
    cumulative_weight = 0.0
    for value, weight in sorted_values:
        cumulative_weight += weight
        if cumulative_weight >= total_weight / 2:
            return value
    return sorted_values[-1][0]


def max_deviation(reports: int, headroom: float) -> float:
    """Returns the most by which one false report moves the shed fraction.

    Assumes that all other instances report the same offered rate. A false report acts through its
    share of the weight; the median utilization stays within the range of the others.
    """
    return headroom * MAX_WEIGHT_RATIO / (reports - 1 + MAX_WEIGHT_RATIO)
