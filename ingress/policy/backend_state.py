"""Per-backend state of one gateway: attempts in flight, latencies and failures."""

from __future__ import annotations

from typing import Final

from ingress.policy.events import Backend
from ingress.policy.settings import Settings
from ingress.policy.token_bucket import TokenBucket

SAMPLE_WEIGHT: Final = 0.15
"""Weight of a new sample in a running mean, which then covers about the last dozen samples."""
BUSY_LATENCY_SHARE: Final = 0.18
"""Share of the latency objective above which a mean latency marks the backend as overloaded."""
MIN_RELATIVE_LATENCY: Final = 0.2
CROSS_ZONE_FACTOR: Final = 1.1
"""Factor on the load score of a backend in another zone, to break ties."""
MIN_WEIGHT: Final = 1e-6


class BackendState:
    """The state that this gateway keeps for one backend.

    Times are in seconds.

    Attributes:
        backend: The backend's latest entry in the endpoint list.
        is_ready: Whether the endpoint list names the backend as ready.
        in_flight: The start time of each attempt without an outcome, by request ID and attempt
            number, oldest first.
        oldest_sent_at: The start time of the oldest attempt in flight; 0 if there is none.
        relative_latency: The mean latency as a multiple of the request class's mean latency.
        latency_share: The mean latency as a share of the latency objective.
        consecutive_failures: The number of failures since the last response.
        unreachable: Whether the last failure was a connection failure.
        consecutive_overloads: The number of consecutive attempts rejected as overloaded.
        ejected_until: The time until which the backend receives no attempts.
        ejected_by_peers_until: The time until which other gateways report the backend as down and
            probe it on behalf of all gateways.
        warmup_budget: The budget for attempts while the backend is warming up.
    """

    def __init__(self, backend: Backend, now: float, warmup_level: float = 0.0) -> None:
        self.backend = backend
        self.is_ready = False
        self.in_flight: dict[tuple[str, int], float] = {}
        self.oldest_sent_at = 0.0
        self.reset(now, warmup_level)

    def reset(self, now: float, warmup_level: float) -> None:
        """Resets the state after a restart of the backend.

        Args:
            now: The time in seconds.
            warmup_level: The initial level of the warm-up budget, drawn uniformly from 0 to 1.
                If all gateways started with the same level, budgets far below one attempt would
                reach it at the same moment.  Random levels let all gateways together send at
                their combined rate from the start.
        """
        self.relative_latency = 1.0
        self.relative_latency_at = now
        self.latency_share = BUSY_LATENCY_SHARE
        self.consecutive_failures = 0
        self.unreachable = False
        self.ejected_until = now
        self.last_response_at = now
        self.consecutive_overloads = 0
        self.ejected_by_peers_until = 0.0
        self.warmup_budget = TokenBucket(0.0, 1.0, warmup_level, now)

    def is_warming_up(self, now: float, settings: Settings) -> bool:
        """Returns whether the backend is too recently started to handle its full weight."""
        return (
            self.backend.started_at > 0.0 and now < self.backend.started_at + settings.warmup_time
        )

    def attempt_started(self, key: tuple[str, int], now: float) -> None:
        """Records an attempt, identified by request ID and attempt number, as in flight."""
        if not self.in_flight:
            self.oldest_sent_at = now
        self.in_flight[key] = now

    def attempt_ended(self, key: tuple[str, int]) -> None:
        """Records that an attempt is no longer in flight."""
        if self.in_flight.pop(key, None) is None:
            return
        self.oldest_sent_at = next(iter(self.in_flight.values())) if self.in_flight else 0.0

    def response_received(
        self, now: float, latency: float, mean_latency: float, objective: float
    ) -> None:
        """Updates the running means with a response's latency.

        Args:
            now: The time in seconds.
            latency: The latency of this response in seconds.
            mean_latency: The mean latency of the request class in seconds.
            objective: The latency objective of the request class in seconds.
        """
        relative_latency = latency / max(mean_latency, 1e-6)
        self.relative_latency += SAMPLE_WEIGHT * (relative_latency - self.relative_latency)
        self.relative_latency_at = now
        self.last_response_at = now
        self.latency_share += SAMPLE_WEIGHT * (latency / objective - self.latency_share)

    def silent_for(self, now: float) -> float:
        """Returns for how many seconds the backend has had attempts in flight without a response.

        A single lost response does not count as silence while other responses arrive.
        """
        return now - max(self.last_response_at, self.oldest_sent_at) if self.in_flight else 0.0

    def load_score(
        self, now: float, mean_latency: float, decay_time: float, zone: str, jitter: float
    ) -> float:
        """Returns the load relative to the backend's weight; the lowest score is chosen.

        Args:
            now: The time in seconds.
            mean_latency: The mean latency of the request class in seconds.
            decay_time: A third of the half-life, in seconds, of the latency information.
            zone: The zone of this gateway.
            jitter: An exponentially distributed number that replaces the one additional attempt.
                Gateways with next to no attempts in flight would otherwise all choose the largest
                backend; with it, they choose idle backends in proportion to weight.
        """
        slowness: float = 1.0 + (self.relative_latency - 1.0) * 0.5 ** (
            (now - self.relative_latency_at) / (3 * decay_time)
        )
        slowness = max(
            slowness, self.silent_for(now) / max(mean_latency, 1e-6) / 3.0, MIN_RELATIVE_LATENCY
        )
        return (
            (len(self.in_flight) + jitter)
            * slowness
            / max(self.backend.weight, MIN_WEIGHT)
            * (CROSS_ZONE_FACTOR if zone != self.backend.zone else 1.0)
        )
