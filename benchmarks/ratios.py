"""What the benchmarks tell of ratios that were made round by round."""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median


def spread(ratios: Iterable[float]) -> tuple[float, float, float]:
    """The median, the lowest and the highest.  Raises ValueError where there is none."""
    ordered = sorted(ratios)
    if not ordered:
        raise ValueError("no round to tell of")
    return median(ordered), ordered[0], ordered[-1]
