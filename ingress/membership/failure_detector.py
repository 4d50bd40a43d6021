"""The failure detector component of SWIM: direct and indirect probes, and local health."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple, Protocol

from ingress.membership.member_state import MemberState
from ingress.membership.member_table import Member, MemberTable
from ingress.membership.messages import Message, MessageKind
from ingress.membership.settings import SwimSettings

Address = tuple[str, int]

MAX_RELAYS: Final = 256
PROBE_DEADLINE_TIMEOUTS: Final = 2.5  # probe timeouts, including indirect probes


class OutgoingMessage(NamedTuple):
    """A message and its destination."""

    address: Address
    message: Message


class MakeMessage(Protocol):
    """Creates a message with piggybacked updates for `receiver`."""

    def __call__(
        self,
        kind: MessageKind,
        sequence_number: int = 0,
        receiver: Member | None = None,
        target: str = "",
    ) -> Message:
        """Returns the message; `target` is the member that a PING_REQ asks to ping."""


@dataclass(slots=True)
class Probe:
    """A ping without an ack yet.

    `nacks` counts helpers that received no ack either; `helpers` are the names of those asked.
    """

    target: str
    started_at: float
    is_indirect: bool = False
    nacks: int = 0
    helpers: set[str] = field(default_factory=set)

    def accepts_ack_of(self, sender: str) -> bool:
        """Returns whether the sender is the target, or pinged it on behalf of this member."""
        return sender == self.target or sender in self.helpers


@dataclass(slots=True)
class Relay:
    """A ping of a target on behalf of a requester, with the requester's own sequence number."""

    sequence_number: int
    requester: Address
    deadline: float
    target: str


@dataclass(slots=True)
class ProbeCounts:
    """Counts since the start."""

    probes: int = 0
    missed_acks: int = 0


class FailureDetector:
    """Probes the members of a table in random order.

    `local_health` is Lifeguard's local health multiplier: 0 is healthy, and each missed ack that is
    blamed on this member adds 1.

    Args:
        table: The other members.
        rng: The source of all random choices.
        settings: Timing and bounds.
        make_message: Creates the messages to send.
        on_probe_failed: Called with the time and a member that acknowledged neither the direct
            ping nor an indirect one.
    """

    def __init__(
        self,
        table: MemberTable,
        rng: Random,
        settings: SwimSettings,
        make_message: MakeMessage,
        on_probe_failed: Callable[[float, Member], None],
    ) -> None:
        self.table = table
        self.rng = rng
        self.settings = settings
        self.make_message = make_message
        self.on_probe_failed = on_probe_failed
        self.sequence_number = rng.randrange(1 << 48)
        self.probe_order: list[str] = []  # the last one is probed next
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.local_health = 0
        self.counts = ProbeCounts()

    def reset_after_stall(self) -> None:
        """Drops the probes in flight when this process stalled, and assumes the worst health."""
        self.local_health = self.settings.max_local_health
        self.probes.clear()
        self.relays.clear()

    def adjust_local_health(self, change: int) -> None:
        """Adds `change` to the local health multiplier, within its bounds."""
        health = self.local_health + change
        self.local_health = max(0, min(self.settings.max_local_health, health))

    def add_member(self, name: str) -> None:
        """Inserts a new member at a random position in the current round."""
        self.probe_order.insert(self.rng.randint(0, len(self.probe_order)), name)

    def probe_next(self, now: float) -> list[OutgoingMessage]:
        """Returns a ping for the next member in the round, if there is one."""
        if not self.probe_order:
            self._begin_round()
        while self.probe_order:
            member = self.table.get(self.probe_order.pop())
            if member is not None and member.state is not MemberState.LEFT:
                sequence_number = self._next_sequence_number()
                self.probes[sequence_number] = Probe(member.name, now)
                self.counts.probes += 1
                ping = self.make_message(MessageKind.PING, sequence_number, member)
                return [OutgoingMessage(member.address, ping)]
        return []

    def _begin_round(self) -> None:
        self.probe_order = [member.name for member in self.table.reachable()]
        self.rng.shuffle(self.probe_order)
        # Probes one dead member per round, so that the sides of a healed partition merge again.
        dead = self.table.dead()
        if dead:
            self.probe_order.insert(0, self.rng.choice(dead).name)

    def check_probes(self, now: float) -> list[OutgoingMessage]:
        """Returns requests for indirect probes, and calls `on_probe_failed` for failed probes."""
        out: list[OutgoingMessage] = []
        period_s = self.settings.protocol_period_s
        timeout_s = self.settings.probe_timeout_s * (1 + self.local_health / 2)
        for sequence_number, probe in list(self.probes.items()):
            member = self.table.get(probe.target)
            elapsed_s = now - probe.started_at
            if member is None or member.state >= MemberState.DEAD:
                if elapsed_s > period_s:
                    del self.probes[sequence_number]
            elif not probe.is_indirect and elapsed_s > timeout_s:
                probe.is_indirect = True
                out += self._probe_indirectly(sequence_number, probe.target)
            elif elapsed_s > max(period_s, PROBE_DEADLINE_TIMEOUTS * timeout_s):
                del self.probes[sequence_number]
                self.counts.missed_acks += 1
                self._penalize_local_health(probe)
                self.on_probe_failed(now, member)
        return out

    def _probe_indirectly(self, sequence_number: int, target: str) -> list[OutgoingMessage]:
        out = []
        helpers = self.table.random_alive(self.rng, self.settings.indirect_probes, excluded=target)
        self.probes[sequence_number].helpers.update(helper.name for helper in helpers)
        for helper in helpers:
            request = self.make_message(MessageKind.PING_REQ, sequence_number, None, target)
            out.append(OutgoingMessage(helper.address, request))
        return out

    def _penalize_local_health(self, probe: Probe) -> None:
        # Fewer nacks than helpers asked indicate that this member's own messages are lost.
        helpers = max(0, len(self.table.reachable()) - 1)
        expected_nacks = min(self.settings.indirect_probes, helpers)
        if probe.nacks < expected_nacks or not expected_nacks:
            self.adjust_local_health(1)

    def relay_ping(self, now: float, requester: Address, request: Message) -> list[OutgoingMessage]:
        """Returns the ping that a PING_REQ asks for, if its target is known and a relay is free."""
        target = self.table.get(request.target)
        if target is None or len(self.relays) >= MAX_RELAYS:
            return []
        sequence_number = self._next_sequence_number()
        deadline = now + self.settings.probe_timeout_s
        self.relays[sequence_number] = Relay(
            request.sequence_number, requester, deadline, target.name
        )
        ping = self.make_message(MessageKind.PING, sequence_number, target)
        return [OutgoingMessage(target.address, ping)]

    def handle_ack(self, sequence_number: int, sender: str) -> list[OutgoingMessage]:
        """Completes a probe, or returns the ack for the member that requested the ping.

        Another member may have started at the address of a failed one; its ack proves nothing.
        """
        relay = self.relays.get(sequence_number)
        if relay is not None and relay.target == sender:
            del self.relays[sequence_number]
            ack = self.make_message(MessageKind.ACK, relay.sequence_number)
            return [OutgoingMessage(relay.requester, ack)]
        probe = self.probes.get(sequence_number)
        if probe is not None and probe.accepts_ack_of(sender):
            del self.probes[sequence_number]
            self.adjust_local_health(-1)
        return []

    def handle_nack(self, sequence_number: int) -> None:
        """Records that a helper received no ack either."""
        if probe := self.probes.get(sequence_number):
            probe.nacks += 1

    def expire_relays(self, now: float) -> list[OutgoingMessage]:
        """Returns nacks for the pings on behalf of others that were not acknowledged in time."""
        out = []
        for sequence_number, relay in list(self.relays.items()):
            if now >= relay.deadline:
                del self.relays[sequence_number]
                nack = self.make_message(MessageKind.NACK, relay.sequence_number)
                out.append(OutgoingMessage(relay.requester, nack))
        return out

    def _next_sequence_number(self) -> int:
        self.sequence_number += 1
        return self.sequence_number
