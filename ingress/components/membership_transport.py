"""The membership protocol over UDP. Imported only if the operator's file has [members]."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from random import Random
from typing import Any, Final

from ingress.core.clock import Clock
from ingress.fleet_shedding.gossip_bridge import GossipBridge
from ingress.membership.failure_detector import OutgoingMessage
from ingress.membership.messages import Codec, MalformedMessageError
from ingress.membership.settings import SwimSettings
from ingress.membership.swim import SwimProtocol
from ingress.platform.operator_config import Membership
from ingress.policy.events import Event
from ingress.policy.gateway import Gateway

log = logging.getLogger(__name__)

TICK_INTERVAL_S: Final = 0.1
READ_DELAY_S: Final = 0.002  # for the event loop to read the datagrams that have arrived
PROBE_TIMEOUT_PERIODS: Final = 0.4  # protocol periods to wait for an ack
DATAGRAMS_PER_TICK: Final = 64  # processed; further ones are dropped
DATAGRAMS_PER_TICK_AND_MEMBER: Final = 4  # processed in addition, for each known member
MAX_ERRORS_LOGGED: Final = 20  # each; after that, only one in LOG_EVERY
LOG_EVERY: Final = 1000


class MembershipTransport(asyncio.DatagramProtocol):
    """Sends and receives the datagrams of a `GossipBridge`; a `Component` of the program.

    Args:
        name: The name of this instance.
        membership: The operator's settings.
        clock: Returns the Unix time in seconds.
        seed: Seed of the random choices.
        gateway: The policy, whose load and backends are read.
        count_requests: Returns the numbers of requests received and of attempts forwarded so far.
        handle_event: Passes an event to the policy.
    """

    def __init__(
        self,
        name: str,
        membership: Membership,
        clock: Clock,
        seed: int,
        gateway: Gateway,
        count_requests: Callable[[], tuple[int, int]],
        handle_event: Callable[[Event], None],
    ) -> None:
        self.clock = clock
        self.count_requests = count_requests
        self.handle_event = handle_event
        self.loop = asyncio.get_running_loop()
        self.bind_address = membership.address
        self.codec = Codec(membership.keys, membership.active_key_id)
        now = clock()
        swim = SwimProtocol(
            name,
            membership.advertise,
            int(now * 1000),
            membership.seeds,
            Random(seed),
            SwimSettings(
                protocol_period_s=membership.protocol_period,
                probe_timeout_s=PROBE_TIMEOUT_PERIODS * membership.protocol_period,
            ),
        )
        balancer = gateway.load_balancer
        self.bridge = GossipBridge(
            swim, balancer.concurrency, balancer.backends, gateway.settings.zone, now
        )
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.tick_due_at = now
        self.tick_postponed = False
        self.datagram_budget = DATAGRAMS_PER_TICK  # for the rest of this tick
        self.rejected = 0
        self.dropped = 0
        self.last_logged = (0, 0)  # numbers of reachable and of dead members

    async def open(self) -> None:
        """Binds the socket and starts the protocol.

        Raises:
            OSError: The address can't be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(self.bind_address)
        except OSError:
            sock.close()
            raise
        self.transport, _ = await self.loop.create_datagram_endpoint(lambda: self, sock=sock)
        self._schedule_tick(self.clock())

    def _schedule_tick(self, now: float) -> None:
        self.tick_due_at = now + TICK_INTERVAL_S
        self.timer = self.loop.call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        now = self.clock()
        held_up = now - self.tick_due_at > TICK_INTERVAL_S
        self.tick_postponed = held_up and not self.tick_postponed
        if self.tick_postponed:
            # Acks may have arrived; without them, the members would miss their probe timeouts.
            self.timer = self.loop.call_later(READ_DELAY_S, self._tick)
            return
        self._schedule_tick(now)
        members = len(self.bridge.swim.table)
        self.datagram_budget = DATAGRAMS_PER_TICK + DATAGRAMS_PER_TICK_AND_MEMBER * members
        out, events = self.bridge.tick(now, *self.count_requests())
        self._send(out)
        for event in events:
            self.handle_event(event)
        self._log_changes(now)

    def _log_changes(self, now: float) -> None:
        swim = self.bridge.swim
        counts = (len(swim.reachable_names()), self._recently_dead(now))
        if counts != self.last_logged:
            self.last_logged = counts
            log.info(
                "membership changed: %d other members reachable, %d dead, local health %d",
                *counts,
                swim.detector.local_health,
            )

    def _recently_dead(self, now: float) -> int:
        swim = self.bridge.swim
        return swim.recently_dead(now, swim.settings.dead_retention_s)

    def _send(self, out: list[OutgoingMessage]) -> None:
        if self.transport is not None:
            for address, message in out:
                self.transport.sendto(self.codec.encode(message), address)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Processes a datagram, or drops it if too many arrived since the last tick."""
        if self.datagram_budget <= 0:
            self.dropped += 1  # a flood of datagrams must not delay requests
            return
        self.datagram_budget -= 1
        try:
            message = self.codec.decode(data)
        except MalformedMessageError as error:
            self.rejected += 1
            if self.rejected <= MAX_ERRORS_LOGGED or self.rejected % LOG_EVERY == 0:
                log.warning("membership datagram rejected (%d so far): %s", self.rejected, error)
            return
        self._send(self.bridge.receive(self.clock(), addr, message))

    def error_received(self, exc: Exception) -> None:
        """Ignores ICMP errors from a member's host, since probes detect that it is unreachable."""

    def counts(self) -> dict[str, Any]:
        """Returns the counts since the start, by the keys under which the program reports them."""
        swim = self.bridge.swim
        bridge_counts = self.bridge.counts
        load = self.bridge.last_load
        return {
            "fleet": {
                "there": len(swim.reachable_names()),
                "lost": self._recently_dead(self.clock()),
                "health": swim.detector.local_health,
                "woken": swim.counts.stalls,
                "missed": swim.detector.counts.missed_acks,
                "suspected": swim.counts.suspected,
                "buried": swim.counts.declared_dead,
                "refuted": swim.counts.refuted,
                "sent": swim.counts.sent,
                "received": swim.counts.received,
                "refused": self.rejected,
                "dropped": self.dropped,
                "views": bridge_counts.fleet_loads,
                "cuts": bridge_counts.shedding,
                "alone": bridge_counts.too_few_reports,
                "asleep": bridge_counts.after_stall,
                "cut": round(load.shed_fraction, 3) if load else 0.0,
                "heard": load.report_count if load else 0,
                "shunned": sorted(self.bridge.health_gossip.ejected),
                "looks": self._health_counts(),
            }
        }

    def _health_counts(self) -> dict[str, int]:
        counts = self.bridge.health_gossip.counts
        return {
            "told": counts.own_changes,
            "taken": counts.accepted,
            "refused": counts.rejected,
            "shunned": counts.ejections,
            "looker": counts.prober_selections,
        }

    def close(self) -> None:
        """Leaves the fleet gracefully by notifying some of the other members immediately."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self._send(self.bridge.swim.leave(self.clock()))
            self.transport.close()
