"""Simulates gateways that gossip: each policy has the real membership and gossip bridge.

Datagrams are delayed, may be lost, and are not delivered between partitioned zones.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple

from ingress.fleet_shedding.gossip_bridge import GossipBridge
from ingress.membership.failure_detector import Address, OutgoingMessage
from ingress.membership.messages import MAX_PAYLOADS, Message
from ingress.membership.swim import SwimProtocol
from ingress.policy.events import PeerEjections
from ingress.simulation.fleet_simulation import GatewayFactory, Simulation
from ingress.simulation.gateways import PolicyGateway

TICK_INTERVAL_S: Final = 0.1
SEED_GATEWAY_COUNT: Final = 3  # gateways whose addresses the others have at their start
DELAY_VARIATION: Final = (0.5, 2.0)  # range of a random factor


class ReportedLoad(NamedTuple):
    """Contents of a load report: requests a second, and the share of the capacity in use."""

    offered_rate: float = 0.0
    admitted_rate: float = 0.0
    utilization: float = 0.0


@dataclass(frozen=True, slots=True)
class GossipConditions:
    """Network conditions and faults of the gossip.

    Attributes:
        use_ejections: Whether gateways act on the ejections that their peers report.
        loss: Share of the datagrams that are lost.
        delay: Approximate mean delay of a datagram in seconds.
        false_reporters: Number of gateways that send a false load report.
        false_report: Load report that these gateways send.
    """

    use_ejections: bool = True
    loss: float = 0.0
    delay: float = 0.002
    false_reporters: int = 0
    false_report: ReportedLoad = field(default_factory=ReportedLoad)


class GossipingGateway(PolicyGateway):
    """A gateway that runs the gossip bridge of the program in the simulation."""

    def __init__(self, simulation: Simulation, index: int, conditions: GossipConditions) -> None:
        super().__init__(simulation, index)
        self.conditions = conditions
        incarnation = 1 + int(simulation.now * 1000)
        identity = f"{simulation.seed} {index} {incarnation}"
        swim = SwimProtocol(
            f"i{index}",
            _address(index),
            incarnation,
            [_address(seed) for seed in range(min(SEED_GATEWAY_COUNT, simulation.size.gateways))],
            Random(f"talk {identity}"),
        )
        balancer = self.gateway.load_balancer
        self.bridge = GossipBridge(
            swim, balancer.concurrency, balancer.backends, simulation.zone(index), simulation.now
        )
        self.network_rng = Random(f"net {identity}")

    def start(self, now: float) -> None:
        """Starts the ticks after a random delay, so that gateways do not tick in step."""
        self.simulation.schedule(self.network_rng.uniform(0.0, TICK_INTERVAL_S), self._tick)

    def receive(self, now: float, sender: int, message: Message) -> None:
        """Handles a message from another gateway and sends the replies."""
        self._send(self.bridge.receive(now, _address(sender), message))

    def _tick(self, now: float) -> None:
        if not self.is_running():
            return
        self.simulation.schedule(TICK_INTERVAL_S, self._tick)
        messages, events = self.bridge.tick(now, self.requests_received, self.attempts_sent)
        if self.index < self.conditions.false_reporters:
            self._set_false_report(now)
        self._send(messages)
        for event in events:
            if self.conditions.use_ejections or not isinstance(event, PeerEjections):
                self.handle(now, event)

    def _set_false_report(self, now: float) -> None:
        load_reports = self.bridge.load_reports
        load_reports.record_own(now, *self.conditions.false_report)
        self.bridge.swim.payloads = load_reports.encode_newest(now, MAX_PAYLOADS)

    def _send(self, messages: list[OutgoingMessage]) -> None:
        for (_, port), message in messages:
            self._send_datagram(port - 1, message)

    def _send_datagram(self, receiver: int, message: Message) -> None:
        simulation = self.simulation
        if self._is_partitioned_from(receiver):
            return
        if self.network_rng.random() < self.conditions.loss or not simulation.gateway_up[receiver]:
            return
        delay = self.conditions.delay * self.network_rng.uniform(*DELAY_VARIATION)
        simulation.schedule(delay, _deliver, simulation, receiver, self.index, message)

    def _is_partitioned_from(self, other: int) -> bool:
        simulation = self.simulation
        if simulation.active_fault("zone_cut") is None:
            return False
        return (simulation.zone(self.index) == "z0") != (simulation.zone(other) == "z0")


def _deliver(
    now: float, simulation: Simulation, receiver: int, sender: int, message: Message
) -> None:
    gateway = simulation.gateways[receiver]
    if simulation.gateway_up[receiver] and isinstance(gateway, GossipingGateway):
        gateway.receive(now, sender, message)


def _address(index: int) -> Address:
    return ("127.0.0.1", index + 1)


def gossiping_gateways(conditions: GossipConditions | None = None) -> GatewayFactory:
    """Returns a factory of gateways that gossip."""
    return lambda simulation, index: GossipingGateway(
        simulation, index, conditions or GossipConditions()
    )
