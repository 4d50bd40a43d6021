"""Load balancing: selects the backend for the next attempt of a request."""

from __future__ import annotations

import random
from math import log
from typing import Final
from zlib import crc32

from ingress.policy import outlier_detection
from ingress.policy.backend_state import BackendState
from ingress.policy.concurrency_limiter import ConcurrencyLimiter
from ingress.policy.events import BackendsChanged, EndpointListKind, Readiness
from ingress.policy.request_cost import RequestCost
from ingress.policy.request_state import RequestState
from ingress.policy.settings import Settings
from ingress.policy.slow_start import SlowStart

INITIAL_ATTEMPTS_PER_BACKEND: Final = 12.0
"""Attempts in flight that all gateways together may send to each backend before any response."""
SUBSET_SIZE: Final = 12
"""Preferred backends per gateway: few enough to learn about each, many enough to lose some."""
MIN_ELIGIBLE_SHARE: Final = 0.5
"""Share of the usable backends below which ejection never reduces the eligible ones."""


class LoadBalancer:
    """The backends and the choice between them.

    Attributes:
        backends: All known backends by name, in order of discovery.
        ready: The backends that the endpoint list names as ready.
        subset: The ready backends that this gateway prefers, chosen by rendezvous hashing, so that
            its measurements of each are meaningful.
        concurrency: The limit on all attempts in flight from this gateway.
        slow_start: The limit on attempts at backends that are warming up.
    """

    def __init__(self, settings: Settings, rng: random.Random, cost: RequestCost) -> None:
        self.settings = settings
        self.rng = rng
        self.cost = cost
        self.slow_start = SlowStart(settings)
        self.concurrency = ConcurrencyLimiter()
        self.backends: dict[str, BackendState] = {}
        self.ready: list[BackendState] = []
        self.subset: list[BackendState] = []

    def backends_changed(self, event: BackendsChanged, now: float) -> None:
        """Applies a change of the endpoint list; a failed poll changes nothing."""
        if event.kind is EndpointListKind.UNAVAILABLE:
            return
        listed = {entry.id for entry in event.backends}
        if event.kind is not EndpointListKind.UPDATE:
            for target in self.backends.values():
                target.is_ready = target.is_ready and target.backend.id in listed
        self._update_entries(event, now)
        self._drop_removed(listed)
        self.ready = [target for target in self.backends.values() if target.is_ready]
        self.subset = sorted(self.ready, key=self._rendezvous_hash)[:SUBSET_SIZE]
        self.slow_start.backends_changed(self.ready)
        # The backends' capacity is still unknown, so each receives as much as all gateways
        # together may send it.
        self.concurrency.start(
            INITIAL_ATTEMPTS_PER_BACKEND * len(self.ready) / self.settings.gateway_count
        )

    def _update_entries(self, event: BackendsChanged, now: float) -> None:
        for entry in event.backends:
            if entry.id not in self.backends:
                self.backends[entry.id] = BackendState(entry, now, self.rng.random())
            target = self.backends[entry.id]
            if entry.started_at != target.backend.started_at:
                target.reset(now, self.rng.random())
            target.backend = entry
            target.is_ready = entry.readiness is Readiness.READY

    def _drop_removed(self, listed: set[str]) -> None:
        """Drops backends that are no longer listed and have no attempts in flight."""
        unused = [
            name
            for name, target in self.backends.items()
            if not target.is_ready and not target.in_flight
        ]
        for name in unused:
            if self.backends[name].backend.readiness is Readiness.REMOVED or name not in listed:
                del self.backends[name]

    def _rendezvous_hash(self, target: BackendState) -> int:
        return crc32(f"{self.settings.gateway_index} {target.backend.id}".encode())

    def set_ejected_by_peers(self, names: tuple[str, ...], until: float) -> None:
        """Ejects these backends until a time in seconds, while other gateways probe them."""
        for name in names:
            target = self.backends.get(name)
            if target is not None:
                target.ejected_by_peers_until = until

    def choose(self, request: RequestState, now: float) -> BackendState | None:
        """Returns the backend for the next attempt, from the subset if possible.

        Takes the attempt's work from the backend's warm-up budget if the backend is warming up.
        """
        return self._choose_among(request, now, self.subset) or self._choose_among(
            request, now, self.ready
        )

    def _choose_among(
        self, request: RequestState, now: float, targets: list[BackendState]
    ) -> BackendState | None:
        tried = {attempt.target.backend.id for attempt in request.attempts}
        usable = targets
        if request.attempts or request.cell:  # a first attempt may use any backend
            usable = [
                target for target in targets if request.may_attempt(target, now, self.settings)
            ]
        has_untried = len(usable) > len(tried)
        mean_latency = self.cost.mean_latency(request.request_class)
        decay_time = self.cost.longest_objective
        best: BackendState | None = None
        best_score = float("inf")
        for target in self._eligible(usable, now):
            if has_untried and target.backend.id in tried:
                continue
            jitter = -log(1.0 - self.rng.random())  # exponentially distributed with mean 1
            score = target.load_score(now, mean_latency, decay_time, self.settings.zone, jitter)
            if score < best_score and self._is_warm_enough(target, now, request):
                best = target
                best_score = score
        if best is not None and best.is_warming_up(now, self.settings):
            best.warmup_budget.level -= self.cost.relative_work(request)
        return best

    def _eligible(self, usable: list[BackendState], now: float) -> list[BackendState]:
        """Returns the backends that are neither stalled nor ejected, unless too few remain."""
        slowest = self.cost.slowest_mean_latency()
        healthy = [
            target
            for target in usable
            if not outlier_detection.is_stalled(target, now, slowest)
            and not outlier_detection.is_ejected(target, now)
        ]
        if len(healthy) >= MIN_ELIGIBLE_SHARE * len(usable):
            return healthy
        # When so many backends fail, the cause is probably shared.  A backend that refuses
        # connections stays excluded: it fails immediately and would attract all traffic.
        return [target for target in usable if target in healthy or not target.unreachable]

    def _is_warm_enough(self, target: BackendState, now: float, request: RequestState) -> bool:
        return not target.is_warming_up(now, self.settings) or self.slow_start.has_capacity(
            target, now, self.cost.relative_work(request)
        )
