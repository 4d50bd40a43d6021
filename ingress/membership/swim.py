"""The membership protocol of one member: failure detection and dissemination.

A state machine that takes messages and the time and returns messages. It implements SWIM with the
three extensions of Lifeguard: a member in poor local health waits longer before it suspects others;
a suspicion lasts longer the fewer members confirm it; and a suspected member is notified in the
next message to it, so that it can refute the suspicion.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Final

from ingress.membership.broadcasts import BroadcastQueue
from ingress.membership.failure_detector import Address, FailureDetector, OutgoingMessage
from ingress.membership.member_state import MemberState, supersedes
from ingress.membership.member_table import Member, MemberTable
from ingress.membership.messages import (
    FORMAT_VERSION,
    MAX_PAYLOADS,
    MAX_UPDATES,
    MemberUpdate,
    Message,
    MessageKind,
)
from ingress.membership.settings import SwimSettings

UPDATES_PER_MESSAGE: Final = MAX_UPDATES // 2
MAX_RECEIVED_PAYLOADS: Final = 4 * MAX_PAYLOADS  # the oldest are dropped
MAX_STATE_MESSAGES: Final = 100  # per reply to a PULL_STATE
PULL_INTERVAL_ALONE_S: Final = 1.0  # while no other member is reachable
PERIODS_WITHOUT_SUSPICION: Final = 2.0  # protocol periods after a stall
PERIODS_TO_RECOVER: Final = 4.0  # protocol periods after a stall until the state is current again


@dataclass(slots=True)
class SwimCounts:
    """Counts since the start; the failure detector counts its probes separately."""

    sent: int = 0
    received: int = 0
    suspected: int = 0
    declared_dead: int = 0
    refuted: int = 0
    stalls: int = 0
    rejected: int = 0


class SwimProtocol:
    """The protocol's state machine for one member. Times are in seconds of the caller's clock.

    The caller sets `payloads`, which are added to each message, and consumes `received_payloads`.

    Args:
        name: The name of this member.
        address: The address at which other members reach it.
        incarnation: Must be greater than all earlier ones of this name; the start time in Unix
            milliseconds is suitable.
        seeds: Addresses of the members to contact first.
        rng: The source of all random choices.
        settings: Timing and bounds.
        max_format: The newest datagram format that this member understands.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        incarnation: int,
        seeds: Iterable[Address],
        rng: Random,
        settings: SwimSettings | None = None,
        max_format: int = FORMAT_VERSION,
    ) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.seeds = [seed for seed in seeds if seed != address]
        self.rng = rng
        self.settings = settings or SwimSettings()
        self.max_format = max_format
        self.table = MemberTable()
        self.detector = FailureDetector(
            self.table, rng, self.settings, self._message, self._on_probe_failed
        )
        self.broadcasts = BroadcastQueue()
        self.next_probe_at = 0.0
        self.next_pull_at = 0.0
        self.last_tick_at: float | None = None
        self.stall_ended_at = -1e18
        self.has_left = False
        self.counts = SwimCounts()
        self.payloads: list[bytes] = []
        self.received_payloads: list[bytes] = []

    def reachable_names(self) -> list[str]:
        """Returns the names of the other members that are neither dead nor have left."""
        return [member.name for member in self.table.reachable()]

    def recently_dead(self, now: float, within_s: float) -> int:
        """Returns how many members were declared dead within the last `within_s` seconds.

        Some of them may be alive but partitioned from this member.
        """
        return sum(now - member.changed_at < within_s for member in self.table.dead())

    def recovered_from_stall(self, now: float) -> bool:
        """Returns whether the state is current; it is not until four periods after a stall."""
        return now - self.stall_ended_at > PERIODS_TO_RECOVER * self.settings.protocol_period_s

    def tick(self, now: float) -> list[OutgoingMessage]:
        """Returns the messages that are due. Must be called several times per protocol period."""
        settings = self.settings
        stall_s = settings.stall_periods * settings.protocol_period_s
        if self.last_tick_at is not None and now - self.last_tick_at > stall_s:
            self._recover_from_stall(now)
        self.last_tick_at = now
        out = self.detector.check_probes(now)
        out += self.detector.expire_relays(now)
        self._expire_members(now)
        if now >= self.next_probe_at:
            interval_s = settings.protocol_period_s * (1 + self.detector.local_health)
            self.next_probe_at = now + interval_s * self.rng.uniform(0.9, 1.1)
            out += self.detector.probe_next(now)
        if now >= self.next_pull_at:
            out += self._pull_state(now)
        self.counts.sent += len(out)
        return out

    def leave(self, now: float) -> list[OutgoingMessage]:
        """Returns messages that announce this member's shutdown to some members, which relay it."""
        self.has_left = True
        self.broadcasts.add(self.own_update(MemberState.LEFT))
        out = [
            OutgoingMessage(member.address, self._message(MessageKind.LEAVE))
            for member in self.table.random_alive(self.rng, 2 * self.settings.indirect_probes)
        ]
        self.counts.sent += len(out)
        return out

    def own_update(self, state: MemberState) -> MemberUpdate:
        """Returns an update that puts this member into `state`."""
        host, port = self.address
        return MemberUpdate(self.name, host, port, int(state), self.incarnation, self.max_format)

    def receive(self, now: float, source: Address, message: Message) -> list[OutgoingMessage]:
        """Processes a message that `messages.validate` accepted, and returns the replies."""
        if message.sender == self.name or self.has_left:
            self.counts.rejected += 1
            return []
        self.counts.received += 1
        for update in message.updates:
            self._apply(now, update)
        received = self.received_payloads + message.payloads
        self.received_payloads = received[-MAX_RECEIVED_PAYLOADS:]
        out = self._reply(now, source, message)
        self.counts.sent += len(out)
        return out

    def _reply(self, now: float, source: Address, message: Message) -> list[OutgoingMessage]:
        match message.kind:
            case MessageKind.PING:
                sender = self.table.get(message.sender)
                ack = self._message(MessageKind.ACK, message.sequence_number, sender)
                return [OutgoingMessage(source, ack)]
            case MessageKind.PING_REQ:
                return self.detector.relay_ping(now, source, message)
            case MessageKind.ACK:
                return self.detector.handle_ack(message.sequence_number, message.sender)
            case MessageKind.NACK:
                self.detector.handle_nack(message.sequence_number)
            case MessageKind.PULL_STATE:
                return self._push_state(source)
            case _:
                pass  # PUSH_STATE and LEAVE consist of updates only
        return []

    def _recover_from_stall(self, now: float) -> None:
        # It received nothing during the stall; without this it would suspect all other members.
        self.counts.stalls += 1
        self.stall_ended_at = now
        self.detector.reset_after_stall()
        for member in self.table.not_alive_members():
            member.suspicion_ends_at = now + self._suspicion_timeout_s(1)
        self.next_pull_at = now
        self.incarnation += 1  # others may have declared it dead during the stall
        self.broadcasts.add(self.own_update(MemberState.ALIVE))

    def _on_probe_failed(self, now: float, member: Member) -> None:
        since_stall_s = now - self.stall_ended_at
        grace_s = PERIODS_WITHOUT_SUSPICION * self.settings.protocol_period_s
        if member.state is MemberState.ALIVE and since_stall_s > grace_s:
            self.counts.suspected += 1
            self._apply(now, member.update_with_state(MemberState.SUSPECT, self.name))

    def _expire_members(self, now: float) -> None:
        """Declares expired suspects dead, and removes members that have long been dead or left."""
        for member in self.table.not_alive_members():
            if member.state is MemberState.SUSPECT:
                if now >= member.suspicion_ends_at:
                    self._apply(now, member.update_with_state(MemberState.DEAD))
            elif now - member.changed_at > self.settings.dead_retention_s:
                self.table.remove(member.name)
                self.broadcasts.discard(member.name)

    # State transfer

    def _pull_state(self, now: float) -> list[OutgoingMessage]:
        known = [member.address for member in self.table.reachable()]
        interval_s = self.settings.pull_interval_s if known else PULL_INTERVAL_ALONE_S
        self.next_pull_at = now + interval_s * self.rng.uniform(0.5, 1.5)
        # Also asks a seed that is not reachable, so that the sides of a partition merge again.
        other_seeds = [seed for seed in self.seeds if seed not in known]
        addresses = []
        if known:
            addresses.append(self.rng.choice(known))
        if other_seeds:
            addresses.append(self.rng.choice(other_seeds))
        return [
            OutgoingMessage(address, self._message(MessageKind.PULL_STATE)) for address in addresses
        ]

    def _push_state(self, destination: Address) -> list[OutgoingMessage]:
        updates = [self.own_update(MemberState.ALIVE)]
        for member in self.table.members.values():
            # Suspicions are not sent as state: each counts for the member whose probes failed.
            if member.state is not MemberState.SUSPECT:
                updates.append(member.update_with_state(member.state))
        self.rng.shuffle(updates)
        end = min(len(updates), MAX_STATE_MESSAGES * UPDATES_PER_MESSAGE)
        out = []
        for start in range(0, end, UPDATES_PER_MESSAGE):
            chunk = updates[start : start + UPDATES_PER_MESSAGE]
            message = Message(MessageKind.PUSH_STATE, self.name, 0, "", chunk)
            out.append(OutgoingMessage(destination, message))
        return out

    # Updates

    def _apply(self, now: float, update: MemberUpdate) -> None:
        state = MemberState(update.state)
        if update.name == self.name:
            self._refute(state, update.incarnation)
            return
        member = self.table.get(update.name)
        if member is None:
            if state >= MemberState.DEAD or len(self.table) >= self.settings.max_members:
                return  # a member that was never known needs no removal
            member = self.table.add(update, now)
            self.detector.add_member(update.name)
            if state is MemberState.ALIVE:
                self.broadcasts.add(update)
                return
        elif not supersedes(state, update.incarnation, member.state, member.incarnation):
            if state is member.state is MemberState.SUSPECT:
                self._confirm_suspicion(member, update)
            return
        if state is MemberState.DEAD:
            self.counts.declared_dead += 1
        self.table.apply(member, update, now)
        if state is MemberState.SUSPECT:
            member.suspected_by = {update.suspected_by}
            member.suspicion_ends_at = now + self._suspicion_timeout_s(1)
        self.broadcasts.add(update)

    def _refute(self, state: MemberState, incarnation: int) -> None:
        """Refutes an update that declares this member not alive."""
        if state is MemberState.ALIVE or incarnation < self.incarnation or self.has_left:
            return
        self.incarnation = incarnation + 1
        self.counts.refuted += 1
        self.detector.adjust_local_health(1)
        self.broadcasts.add(self.own_update(MemberState.ALIVE))

    def _confirm_suspicion(self, member: Member, update: MemberUpdate) -> None:
        """Shortens a suspicion that another member confirms.

        Only members whose own probes failed count as confirmations; otherwise members that merely
        relay a suspicion would shorten every one.
        """
        if (
            update.incarnation == member.incarnation
            and update.suspected_by not in member.suspected_by
            and len(member.suspected_by) <= self.settings.expected_confirmations
        ):
            member.suspected_by.add(update.suspected_by)
            timeout_s = self._suspicion_timeout_s(len(member.suspected_by))
            member.suspicion_ends_at = min(member.suspicion_ends_at, member.changed_at + timeout_s)
            self.broadcasts.add(update)

    def _suspicion_timeout_s(self, confirmations: int) -> float:
        return self.settings.suspicion_timeout_s(len(self.table), confirmations)

    # Messages

    def _message(
        self,
        kind: MessageKind,
        sequence_number: int = 0,
        receiver: Member | None = None,
        target: str = "",
    ) -> Message:
        updates: list[MemberUpdate] = []
        if receiver is not None and receiver.state is MemberState.SUSPECT:
            updates.append(receiver.update_with_state(MemberState.SUSPECT, self.name))
        elif receiver is not None and receiver.state is MemberState.DEAD:
            updates.append(receiver.update_with_state(MemberState.DEAD))
        if not self.has_left and (kind is MessageKind.PULL_STATE or not len(self.table)):
            updates.append(self.own_update(MemberState.ALIVE))
        max_transmissions = self.settings.max_transmissions(len(self.table))
        updates += self.broadcasts.take(UPDATES_PER_MESSAGE, max_transmissions)
        return Message(
            kind, self.name, sequence_number, target, updates[:MAX_UPDATES], list(self.payloads)
        )
