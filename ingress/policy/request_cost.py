"""Mean cost of requests: latency by request class, units and relative work."""

from __future__ import annotations

from typing import Final

from ingress.policy.request_state import RequestState
from ingress.policy.settings import RequestClass, Settings

SMOOTHING: Final = 0.15
SAMPLE_WEIGHT: Final = SMOOTHING / 4
"""Weight of a new sample in an exponential moving average."""
INITIAL_LATENCY_DIVISOR: Final = 8
"""A class's latency objective divided by this is its mean latency before its first response."""


class RequestCost:
    """Moving averages of the cost of requests.

    Attributes:
        mean_latencies: Mean latency in seconds by request class name, in order of the first
            response.
        mean_units: Mean units of a request.
        longest_objective: The longest latency objective of all classes, in seconds.
    """

    def __init__(self, settings: Settings) -> None:
        self.mean_latencies: dict[str, float] = {}
        self.mean_units = 1.0
        self.longest_objective = max(c.latency_objective for c in settings.classes)
        self._tick_interval = settings.tick_interval

    def mean_latency(self, request_class: RequestClass) -> float:
        """Returns the mean latency of the class, in seconds."""
        default = request_class.latency_objective / INITIAL_LATENCY_DIVISOR
        return max(self.mean_latencies.get(request_class.name, default), self._tick_interval)

    def slowest_mean_latency(self) -> float:
        """Returns the mean latency of the slowest class, in seconds."""
        return max(self.mean_latencies.values(), default=self.longest_objective)

    def response_received(self, request_class: RequestClass, latency: float) -> None:
        """Updates the mean latency of a class with the latency of a response, in seconds."""
        mean = self.mean_latencies.setdefault(request_class.name, latency)
        sample = min(latency, request_class.latency_objective)
        self.mean_latencies[request_class.name] = mean + SAMPLE_WEIGHT * (sample - mean)

    def record_request_units(self, units: float) -> None:
        """Updates the mean units with the units of a request."""
        self.mean_units += (units - self.mean_units) * SMOOTHING / 4

    def relative_work(self, request: RequestState) -> float:
        """Returns the expected work of a request as a multiple of the mean request's work."""
        means = list(self.mean_latencies.values()) or [self.mean_latency(request.request_class)]
        return (
            self.mean_latency(request.request_class)
            * len(means)
            / sum(means)
            * request.units
            / max(self.mean_units, 1e-6)
        )
