"""Runs members in virtual time, over a network that loses, delays and duplicates datagrams.

The network also simulates partitions. Runs the real `SwimProtocol` for up to 1,000 members, without
the rest of a gateway.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random
from typing import Any, Final

from ingress.membership.failure_detector import Address, OutgoingMessage
from ingress.membership.messages import Message
from ingress.membership.settings import SwimSettings
from ingress.membership.swim import SwimProtocol

TICK_INTERVAL_S: Final = 0.1
DELAY_RANGE_S: Final = (0.0005, 0.005)
DUPLICATE_DELAY_RANGE_S: Final = (0.01, 2.0)
MAX_BUFFERED_MESSAGES: Final = 64  # in the socket of a stalled member
SEED_MEMBER_COUNT: Final = 3  # members whose addresses the others have at their start


class MembershipNetwork:
    """Members and the datagrams between them.

    Attributes:
        now: Virtual time in seconds.
        members: Process of each member by index; None if it is not running.
        stalled: Indices of stalled members.
        tick_delay: Additional seconds between the ticks of a member, by index.
        is_partitioned: Returns whether a partition currently drops datagrams from one member to
            another; takes the indices of sender and receiver.
        lost: Number of datagrams that were lost.
        duplicated: Number of datagrams that were delivered twice.
        partitioned: Number of datagrams that a partition dropped.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        loss: float = 0.0,
        duplication: float = 0.0,
    ) -> None:
        """Starts all members at once.

        Args:
            count: Number of members.
            seed: Seed of all random generators.
            loss: Share of the datagrams that are lost.
            duplication: Share of the datagrams that are delivered a second time, up to 2 s later.
        """
        self.rng = Random(f"gossip {seed}")
        self.seed = seed
        self.settings = SwimSettings()
        self.loss = loss
        self.duplication = duplication
        self.now = 0.0
        self.scheduled_count = 0
        self.callbacks: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.lost = 0
        self.duplicated = 0
        self.partitioned = 0
        self.is_partitioned: Callable[[int, int], bool] = lambda _sender, _receiver: False
        self.seed_addresses = [_address(index) for index in range(min(SEED_MEMBER_COUNT, count))]
        self.members: list[SwimProtocol | None] = [None] * count
        self.stalled: set[int] = set()
        self.buffered: dict[int, list[tuple[Address, Message]]] = {}  # by stalled member
        self.tick_delay: dict[int, float] = {}
        for index in range(count):
            self.start(index)

    def start(self, index: int, max_format: int = 1) -> SwimProtocol:
        """Starts the process of a member with the addresses of the seed members only."""
        member = SwimProtocol(
            f"m{index}",
            _address(index),
            1 + int(self.now * 1000),
            self.seed_addresses,
            Random(f"{self.seed} {index} {self.now}"),
            self.settings,
            max_format,
        )
        self.members[index] = member
        self._call_later(self.rng.uniform(0.0, TICK_INTERVAL_S), self._tick, index, member)
        return member

    def kill(self, index: int) -> None:
        """Ends the process of a member."""
        self.members[index] = None

    def stall(self, index: int) -> None:
        """Stops a member as SIGSTOP does: messages to it are buffered in its socket."""
        self.stalled.add(index)

    def resume(self, index: int) -> None:
        """Resumes a stalled member; handles its overdue timers and buffered messages at once."""
        self.stalled.discard(index)
        member = self.members[index]
        if member is None:
            return
        self.send(index, member.tick(self.now))
        for source, message in self.buffered.pop(index, [])[-MAX_BUFFERED_MESSAGES:]:
            self.send(index, member.receive(self.now, source, message))
        self._call_later(TICK_INTERVAL_S, self._tick, index, member)

    def run(self, seconds: float) -> None:
        """Advances virtual time by `seconds` and runs the callbacks that become due."""
        end = self.now + seconds
        while self.callbacks and self.callbacks[0][0] <= end:
            self.now, _, callback, arguments = heapq.heappop(self.callbacks)
            callback(*arguments)
        self.now = end

    def run_until(self, condition: Callable[[], bool], timeout: float) -> float:
        """Runs until a condition is true; returns the elapsed virtual seconds.

        Raises:
            TimeoutError: The condition is still false after `timeout` seconds.
        """
        started_at = self.now
        while not condition():
            if self.now - started_at > timeout:
                raise TimeoutError(f"condition is still false after {timeout:g} s")
            self.run(TICK_INTERVAL_S)
        return self.now - started_at

    def live_members(self) -> list[SwimProtocol]:
        """Returns the running members."""
        return [member for member in self.members if member is not None]

    def has_converged(self, names: set[str]) -> bool:
        """Returns whether each running member is among `names` and can reach exactly the others."""
        return all(
            {member.name, *member.reachable_names()} == names for member in self.live_members()
        )

    def send(self, sender: int, messages: list[OutgoingMessage]) -> None:
        """Sends messages of a member through the network."""
        for (_, port), message in messages:
            receiver = port - 1
            if self.is_partitioned(sender, receiver):
                self.partitioned += 1
                continue
            if self.rng.random() < self.loss:
                self.lost += 1
                continue
            delay = self.rng.uniform(*DELAY_RANGE_S)
            self._call_later(delay, self.deliver, sender, receiver, message)
            if self.rng.random() < self.duplication:
                self.duplicated += 1
                delay = self.rng.uniform(*DUPLICATE_DELAY_RANGE_S)
                self._call_later(delay, self.deliver, sender, receiver, message)

    def deliver(self, sender: int, receiver: int, message: Message) -> None:
        """Delivers a message to a member, or to the socket of a stalled member."""
        member = self.members[receiver] if receiver < len(self.members) else None
        if member is None:
            return
        if receiver in self.stalled:
            self.buffered.setdefault(receiver, []).append((_address(sender), message))
        else:
            self.send(receiver, member.receive(self.now, _address(sender), message))

    def _call_later(self, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        self.scheduled_count += 1  # breaks ties between callbacks that are due at one time
        entry = (self.now + delay, self.scheduled_count, callback, arguments)
        heapq.heappush(self.callbacks, entry)

    def _tick(self, index: int, member: SwimProtocol) -> None:
        if self.members[index] is not member or index in self.stalled:
            return
        self.send(index, member.tick(self.now))
        delay = TICK_INTERVAL_S + self.tick_delay.get(index, 0.0)
        self._call_later(delay, self._tick, index, member)


def _address(index: int) -> Address:
    return ("127.0.0.1", index + 1)
