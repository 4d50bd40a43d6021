"""Simulation of one gateway under random faults, to compare the decisions of two builds.

The policy's modules are parameters, so that the same simulation runs on the current sources and on
their compiled form.  tests/test_decisions.py compares it with recorded digests of earlier sources.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import Counter
from dataclasses import fields
from typing import Any

# Names of the actions at the time when the digests were recorded.
RECORDED_NAMES = {
    "StartAttempt": "Send",
    "CancelAttempt": "Cancel",
    "RejectRequest": "Refuse",
    "FailRequest": "Fail",
    "StartProbe": "Probe",
    "CloseIdleConnections": "CloseIdle",
    "SendPeerMessage": "TellPeers",
    "AddToCounter": "Count",
    "WatchBackends": "Subscribe",
    "WriteLog": "Log",
}


class Simulation:
    """One gateway with random backends, clients and a random counter; a seed determines them.

    Attributes:
        api: The namespace of the policy's plain data classes, in the form under test.
        lines: The gateway's actions as text.
        seen: The number of actions, outcomes and endpoint list changes, by kind.
    """

    def __init__(
        self, api: Any, gateway_module: Any, seed: int, seconds: float = 12.0, rate: float = 60.0
    ) -> None:
        self.api, self.rng, self.seconds, self.rate = api, random.Random(seed), seconds, rate
        rng = self.rng
        self.classes = (
            api.RequestClass("fetch", 1.5, 4.0, priority_weight=2.0),
            api.RequestClass(
                "submit",
                1.5,
                4.0,
                priority_weight=6.0,
                late_priority_weight=0.2,
                semantics=api.RetrySemantics.IDEMPOTENCY_KEY,
                deduplication_window=4.0,
                deduplication_scope=rng.choice(list(api.DeduplicationScope)),
            ),
            api.RequestClass(
                "pay", 1.0, 3.0, priority_weight=3.0, semantics=api.RetrySemantics.NON_IDEMPOTENT
            ),
        )
        self.plans = (
            api.Plan("base", 0.8, 3.0, price=0.72, over_quota_cost=1.2),
            api.Plan("plus", 2.4, 10.0, price=1.3),
            api.Plan(
                "top",
                9.0,
                22.0,
                price=1.6,
                over_quota_cost=0.6,
                ceiling_rate=18.0,
                ceiling_burst=45.0,
            ),
            api.Plan("free", 0.0, 0.0, max_concurrent=rng.choice((0, 4))),
        )
        self.settings = api.Settings(
            self.classes,
            self.plans,
            gateway_count=rng.choice((1, 3)),
            zone="a",
            tick_interval=0.002,
            drain_grace=1.0,
            warmup_time=rng.choice((0.0, 8.0)),
            cold_capacity=0.16,
            collapse_factor=2.0,
            max_attempts=rng.choice((1, 4)),
            counter_available=rng.random() < 0.7,
            counter_timeout=0.08,
            peer_messages_allowed=rng.random() < 0.3,
            peer_message_rate=20.0,
            max_units=3.0,
        )
        self.now, self.request_count, self.sequence = 1000.0, 0, 0
        self.backends = [self.new_backend(f"s{n:03}") for n in range(rng.choice((3, 9, 40)))]
        self.mean_latencies = {b.id: rng.uniform(0.05, 0.3) for b in self.backends}
        self.gateway = gateway_module.Gateway(self.settings, seed)
        self.event_queue: list[tuple[float, int, str, Any]] = []
        self.deadlines: dict[str, float] = {}
        self.attempt_counts: Counter[str] = Counter()
        self.counter_totals: Counter[int] = Counter()
        self.seen: Counter[str] = Counter()
        self.lines: list[str] = []

    def new_backend(self, name: str, started_at: float = 0.0, readiness: Any = None) -> Any:
        rng = self.rng
        return self.api.Backend(
            name,
            rng.choice("ab"),
            "small",
            rng.randrange(1, 4),
            readiness or self.api.Readiness.READY,
            rng.choice((1.0, 1.0, 2.0)),
            started_at,
        )

    def schedule(self, delay: float, kind: str, event: Any = None) -> None:
        self.sequence += 1
        heapq.heappush(self.event_queue, (self.now + delay, self.sequence, kind, event))

    def run(self) -> str:
        """Runs the simulation to its end and returns a digest of all actions."""
        self.deliver(
            self.api.BackendsChanged(self.api.EndpointListKind.RESTORED, tuple(self.backends), 1)
        )
        self.schedule(0.0, "send_request")
        for _ in range(self.rng.randrange(2, 8)):
            self.schedule(
                self.rng.uniform(0.0, self.seconds),
                self.rng.choice(
                    ("change_endpoint_list", "slow_backend_down", "change_request_rate")
                ),
            )
        end = self.now + self.seconds
        while self.event_queue:
            self.now, _, kind, event = heapq.heappop(self.event_queue)
            if self.now > end + 8.0 or (kind != "event" and self.now > end):
                continue
            if kind == "event":
                self.deliver(event)
            else:
                getattr(self, kind)()
        return hashlib.sha256("\n".join(self.lines).encode()).hexdigest()

    def send_request(self) -> None:
        rng, api = self.rng, self.api
        self.schedule(rng.expovariate(self.rate), "send_request")
        self.request_count += 1
        cls, plan = rng.choice(self.classes), rng.choice(self.plans)
        request_id, time_left = f"r{self.request_count}", cls.deadline * rng.choice((1.0, 1.0, 0.5))
        number = int(rng.paretovariate(0.8)) % 40
        customer_gateways = 1 + number % self.settings.gateway_count
        self.deadlines[request_id] = self.now + time_left
        self.deliver(
            api.RequestReceived(
                request_id,
                cls.name,
                plan.name,
                f"{plan.name}-{number}",
                time_left,
                float(rng.choice((1, 1, 2, 3))),
                customer_gateways,
                0,
                rng.random() < 0.1,
                cls.semantics is not api.RetrySemantics.IDEMPOTENT,
            )
        )
        if rng.random() < 0.03:
            self.schedule(rng.uniform(0.0, time_left), "event", api.ClientDisconnected(request_id))

    def change_endpoint_list(self) -> None:
        """Drains, removes, restarts or adds a backend."""
        rng, api = self.rng, self.api
        change, index = (
            rng.choice(("drain", "gone", "restart", "new")),
            rng.randrange(len(self.backends)),
        )
        self.seen[change] += 1
        previous = self.backends[index]
        if change == "new":
            entry = self.new_backend(f"n{self.sequence:03}", self.now)
            self.backends.append(entry)
            self.mean_latencies[entry.id] = 0.15
        else:
            readiness = {"drain": api.Readiness.DRAINING, "gone": api.Readiness.REMOVED}.get(change)
            start_time = self.now if change == "restart" else previous.started_at
            entry = self.backends[index] = self.new_backend(previous.id, start_time, readiness)
        self.deliver(api.BackendsChanged(api.EndpointListKind.UPDATE, (entry,), 2 + self.sequence))

    def slow_backend_down(self) -> None:
        self.mean_latencies[self.rng.choice(self.backends).id] *= 12.0

    def change_request_rate(self) -> None:
        self.rate *= self.rng.choice((0.4, 3.0))

    def deliver(self, event: Any) -> None:
        api = self.api
        for action in self.gateway.handle(self.now, event):
            name = type(action).__name__
            self.seen[name] += 1
            values = (getattr(action, field.name) for field in fields(action))
            text = " ".join(f"{v:.9g}" if isinstance(v, float) else str(v) for v in values)
            self.lines.append(f"{self.now:.6f} {RECORDED_NAMES.get(name, name)} {text}")
            if isinstance(action, api.StartAttempt):
                self.schedule_outcome(action)
            elif isinstance(action, api.RejectRequest | api.FailRequest):
                self.deadlines.pop(action.request_id, None)
            elif isinstance(action, api.SetTimer):
                self.schedule(max(action.delay, 0.001), "event", api.TimerFired(action.token))
            elif isinstance(action, api.AddToCounter):
                self.schedule_counter_reply(action)

    def schedule_outcome(self, action: Any) -> None:
        rng, api = self.rng, self.api
        number = self.attempt_counts[action.request_id]
        self.attempt_counts[action.request_id] += 1
        latency = rng.expovariate(1.0 / self.mean_latencies[action.backend])
        outcome = rng.choices(
            ("OK", "ERROR", "OVERLOADED", "CONNECT_FAILED", "RESET", "CANCELLED"),
            (90, 3, 3, 2, 1.5, 0.5),
        )[0]
        if outcome in ("OVERLOADED", "CONNECT_FAILED"):
            latency = 0.002
        if latency >= action.timeout:
            latency, outcome = action.timeout, "TIMEOUT"
        self.seen[outcome] += 1
        finished = outcome == "OK" or self.now + latency > self.deadlines.get(
            action.request_id, 0.0
        )
        self.schedule(
            latency,
            "event",
            api.AttemptEnded(
                action.request_id, number, action.backend, api.Outcome[outcome], latency, finished
            ),
        )

    def schedule_counter_reply(self, action: Any) -> None:
        rng, api = self.rng, self.api
        outcome = rng.choices(("OK", "TIMEOUT", "OVERLOADED"), (90, 6, 4))[0]
        self.counter_totals[action.key] += (
            (action.amount + rng.choice((0, 0, 1))) if outcome != "OVERLOADED" else 0
        )
        latency = 0.08 if outcome == "TIMEOUT" else rng.uniform(0.001, 0.06)
        self.seen[f"count {outcome}"] += 1
        total = float(self.counter_totals[action.key]) if outcome == "OK" else 0.0
        self.schedule(
            latency, "event", api.CounterReply(action.key, api.Outcome[outcome], total, latency)
        )
