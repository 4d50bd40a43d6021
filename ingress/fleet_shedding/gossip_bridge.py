"""Connects the membership protocol, the fleet's reports and the policy.

Every membership message carries reports. The policy receives the fleet's shed fraction and the
ejected backends as events. Does no I/O and reads no clock: the caller, the program or the
simulation, passes in the messages and the time.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import exp
from typing import Final

from ingress.fleet_shedding.health_gossip import (
    HealthGossip,
    ObservedBackend,
    decode_observation,
)
from ingress.fleet_shedding.load_reports import LoadReports
from ingress.fleet_shedding.shed_fraction import (
    MAX_REPORT_AGE_S,
    FleetLoad,
    IdleDetector,
    compute_fleet_load,
)
from ingress.membership.failure_detector import Address, OutgoingMessage
from ingress.membership.messages import MAX_PAYLOADS, Message
from ingress.membership.swim import SwimProtocol
from ingress.policy.concurrency_limiter import ConcurrencyLimiter
from ingress.policy.events import Event, FleetShedFraction, PeerEjections

EVENT_VALIDITY_S: Final = 1.0  # so that a process does not use an old event after a stall
EJECTION_THRESHOLD: Final = 3  # consecutive failures, as in the policy
RATE_TIME_CONSTANT_S: Final = 2.0


@dataclass(slots=True)
class BridgeCounts:
    """Numbers of ticks since the start, by result.

    Attributes:
        fleet_loads: The fleet's load was known.
        shedding: The fleet's shed fraction was above 0.
        too_few_reports: Too few reports were fresh, so this instance used its own load alone.
        after_stall: This process had just stalled and ignored all reports received before.
    """

    fleet_loads: int = 0
    shedding: int = 0
    too_few_reports: int = 0
    after_stall: int = 0


class RateMeter:
    """Measures the growth of a counter per second, as an exponentially weighted average."""

    def __init__(self, now: float) -> None:
        self.updated_at = now
        self.count = 0
        self.rate = 0.0

    def update(self, now: float, count: int) -> None:
        """Updates the rate from the current value of the counter."""
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0:
            return
        decay = exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        self.rate = self.rate * decay + (count - self.count) / elapsed_s * (1.0 - decay)
        self.count = count
        self.updated_at = now


class GossipBridge:
    """Exchanges reports with the fleet on behalf of one instance.

    `last_load` is the fleet's load as of the last tick, or None if it was unknown.

    Args:
        swim: The membership protocol.
        limiter: The policy's concurrency limiter, read only.
        backends: The policy's backends by name, read only.
        zone: The zone of this instance.
        now: The current time in seconds.
    """

    def __init__(
        self,
        swim: SwimProtocol,
        limiter: ConcurrencyLimiter,
        backends: Mapping[str, ObservedBackend],
        zone: str,
        now: float,
    ) -> None:
        self.swim = swim
        self.limiter = limiter
        self.backends = backends
        self.load_reports = LoadReports(swim.name, swim.incarnation, zone)
        self.health_gossip = HealthGossip(swim.name, zone, swim.incarnation)
        self.idle_detector = IdleDetector()
        self.offered = RateMeter(now)
        self.admitted = RateMeter(now)
        self.last_load: FleetLoad | None = None
        self.counts = BridgeCounts()

    def tick(
        self, now: float, requests: int, attempts: int
    ) -> tuple[list[OutgoingMessage], list[Event]]:
        """Returns the messages to send and the events for the policy.

        Must be called several times per second.

        Args:
            now: The current time in seconds.
            requests: Number of requests received from clients since the start.
            attempts: Number of attempts forwarded since the start.
        """
        self._report(now, requests, attempts)
        out = self.swim.tick(now)
        if not self.swim.recovered_from_stall(now):
            self.counts.after_stall += 1
            return out, []  # all reports held are from before the stall
        events: list[Event] = []
        fleet_shed_fraction = self._fleet_shed_fraction(now)
        if fleet_shed_fraction is not None:
            events.append(fleet_shed_fraction)
        ejected = self.health_gossip.update_ejected(
            now, self.swim.reachable_names(), self.backends.keys(), self.load_reports.zones()
        )
        if ejected:
            events.append(PeerEjections(ejected, now + EVENT_VALIDITY_S))
        return out, events

    def _report(self, now: float, requests: int, attempts: int) -> None:
        self.offered.update(now, requests)
        self.admitted.update(now, attempts)
        self.load_reports.record_own(
            now, self.offered.rate, self.admitted.rate, self.limiter.utilization(now)
        )
        local_health = self.swim.detector.local_health
        self.health_gossip.observe_backends(now, self.backends, EJECTION_THRESHOLD, local_health)
        # A datagram has room for about a dozen reports and a dozen observations; the encoder drops
        # the last ones if they do not fit.
        own, *others = self.load_reports.encode_newest(now, MAX_PAYLOADS)
        observations = self.health_gossip.encode_newest(now)
        self.swim.payloads = [own, *observations, *others][:MAX_PAYLOADS]

    def _fleet_shed_fraction(self, now: float) -> FleetShedFraction | None:
        members = 1 + len(self.swim.reachable_names())
        load = compute_fleet_load(self.load_reports.fresh(now, MAX_REPORT_AGE_S), members)
        if load is not None and self.idle_detector.update(now, load.utilization):
            load = replace(load, shed_fraction=0.0)
        self.last_load = load
        if load is None:
            self.counts.too_few_reports += members > 1
            return None
        self.counts.fleet_loads += 1
        self.counts.shedding += load.shed_fraction > 0.0
        return FleetShedFraction(load.shed_fraction, now + EVENT_VALIDITY_S)

    def receive(self, now: float, source: Address, message: Message) -> list[OutgoingMessage]:
        """Processes a message and the reports in it, and returns the replies."""
        out = self.swim.receive(now, source, message)
        payloads = self.swim.received_payloads
        self.swim.received_payloads = []
        for payload in payloads:
            observation = decode_observation(payload)
            if observation is not None:
                self.health_gossip.merge(now, observation)
            else:
                self.load_reports.merge(now, [payload])
        return out
