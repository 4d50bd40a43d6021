"""Slow start: limits attempts at backends that started recently.

A warming backend that all gateways load at once collapses and does not recover.  Each gateway
limits itself to its own share of the backend's capacity: the rate that warm backends serve for this
gateway, times the fraction of that rate that a warming backend can serve.
"""

from __future__ import annotations

from typing import Final

from ingress.policy.backend_state import BackendState
from ingress.policy.settings import Settings

SLOW_START_MARGIN: Final = 0.7
"""Share of a warming backend's capacity that all gateways together may use."""
MIN_WARM_SHARE: Final = 0.5
"""Share of the total weight; while less of it is warm, the previously measured rate is used."""
MIN_RATE_WINDOW_S: Final = 1.0
MIN_COLLAPSE_WINDOW_ATTEMPTS: Final = 0.5
"""Attempts that all gateways together may always send within one collapse window."""


class SlowStart:
    """Limits the attempts at backends that are warming up.

    Attributes:
        rate_per_weight: Responses per second to this gateway per unit of a warm backend's weight.
        response_rate: Responses per second to this gateway, smoothed over a part of the warm-up
            time.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._ready: list[BackendState] = []
        self._total_weight = 0.0
        self._warm_weight = 0.0
        self._warm_weight_until = -1e18
        self.rate_per_weight = 0.0
        self.response_rate = 0.0
        self._response_rate_at = 0.0

    def backends_changed(self, ready: list[BackendState]) -> None:
        """Replaces the backends that the endpoint list names as ready."""
        self._ready = ready
        self._total_weight = sum(target.backend.weight for target in ready)
        self._warm_weight_until = -1e18

    def response_received(self, now: float) -> None:
        """Adds a response to the response rate."""
        window = max(self._settings.warmup_time / 4, MIN_RATE_WINDOW_S)
        remaining = max(0.0, 1 - (now - self._response_rate_at) / window)
        self.response_rate = self.response_rate * remaining + 1.0 / window
        self._response_rate_at = now

    def has_capacity(self, target: BackendState, now: float, work: float) -> bool:
        """Returns whether a backend that is warming up may receive another attempt.

        Args:
            target: The backend.
            now: The time in seconds.
            work: The work of the request as a multiple of the mean request's work.
        """
        budget = target.warmup_budget
        budget.refill_rate = self._refill_rate(target, now)
        has_free_slot = len(target.in_flight) < max(1.0, budget.refill_rate)
        return has_free_slot and budget.has_tokens(now, work, max(1.0, work))

    def _refill_rate(self, target: BackendState, now: float) -> float:
        """Returns the attempts per second that this gateway may send to the backend."""
        settings = self._settings
        warm_weight = self._current_warm_weight(now)
        if warm_weight >= MIN_WARM_SHARE * self._total_weight:
            self.rate_per_weight = self.response_rate / warm_weight
        age = now - target.backend.started_at
        capacity_share = settings.cold_capacity + (1 - settings.cold_capacity) * age / max(
            settings.warmup_time, 1e-6
        )
        warm_rate = self.rate_per_weight * target.backend.weight
        min_rate = MIN_COLLAPSE_WINDOW_ATTEMPTS / (
            settings.collapse_window * settings.gateway_count
        )
        return max(
            min_rate,
            SLOW_START_MARGIN * settings.collapse_factor * min(1.0, capacity_share) * warm_rate,
        )

    def _current_warm_weight(self, now: float) -> float:
        """Returns the weight of the warm backends.

        Iterates over all backends only after the list has changed or a backend has become warm.
        """
        if now < self._warm_weight_until:
            return self._warm_weight
        settings = self._settings
        self._warm_weight = sum(
            target.backend.weight
            for target in self._ready
            if not target.is_warming_up(now, settings)
        )
        self._warm_weight_until = min(
            (
                target.backend.started_at + settings.warmup_time
                for target in self._ready
                if target.is_warming_up(now, settings)
            ),
            default=float("inf"),
        )
        return self._warm_weight
