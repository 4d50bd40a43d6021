"""Statistics of the ratios that benchmarks compute in each round."""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median


def spread(ratios: Iterable[float]) -> tuple[float, float, float]:
    """Returns the median, the lowest and the highest ratio.

    Raises:
        ValueError: There are no ratios.
    """
    ordered = sorted(ratios)
    if not ordered:
        raise ValueError("no ratios: no round was played")
    return median(ordered), ordered[0], ordered[-1]
