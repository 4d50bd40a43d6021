"""Messages and decisions of three instances that replicate submissions to one another."""

from __future__ import annotations

from collections import deque
from typing import Any

import msgspec

from tests.golden_cases.names import (
    REPORTED_VERDICTS,
    Coordinator,
    CoordinatorSettings,
    HandoverMessage,
    Phase,
    RequestKind,
    record_name,
)
from tests.golden_cases.plain import CUSTOMERS, checksum, plain

INSTANCES = ("edge-1", "edge-2", "edge-3")
STEP_S = 0.02
DONE_QUESTION = 4  # on the wire
RELEASE_QUESTION = 5  # on the wire
STARTED = 1_760_000_000_000


class Fleet:
    """Instances without sockets; time advances in steps, and messages arrive within one step."""

    def __init__(self) -> None:
        self.now = 100.0
        self.instances = {name: self.start(name, STARTED) for name in INSTANCES}
        self.messages: list[str] = []
        self.decisions: list[Any] = []
        for name in INSTANCES:
            self.connect(name)
        self.run(2.0)

    def start(self, name: str, incarnation: int) -> Coordinator:
        """Returns the coordinator of a newly started process without records."""
        return Coordinator(name, incarnation, INSTANCES, CoordinatorSettings(), self.now)

    def connect(self, name: str) -> None:
        """Establishes the connections from and to this instance."""
        for other in [one for one in self.instances if one != name]:
            self.instances[name].on_connection_change(self.now, other, True)
            self.instances[other].on_connection_change(self.now, name, True)

    def kill(self, name: str) -> None:
        """Ends the process and its connections."""
        del self.instances[name]
        for one in self.instances.values():
            one.on_connection_change(self.now, name, False)

    def run(self, seconds: float) -> None:
        """Advances the time by `seconds`."""
        for _ in range(round(seconds / STEP_S)):
            self.now = round(self.now + STEP_S, 6)
            for one in list(self.instances.values()):
                one.tick(self.now)
            self.deliver()

    def deliver(self) -> None:
        """Delivers all messages and the replies to them, and records the decisions."""
        waiting = deque(self.drain_outgoing())
        while waiting:
            sender, receiver, message = waiting.popleft()
            data = msgspec.msgpack.encode(message)
            self.messages.append(f"{self.now:.2f} {sender}>{receiver} {data.hex()}")
            if receiver in self.instances:
                read: HandoverMessage = msgspec.msgpack.decode(data, type=HandoverMessage)
                self.instances[receiver].receive(self.now, sender, read)
            waiting.extend(self.drain_outgoing())

    def drain_outgoing(self) -> list[tuple[str, str, HandoverMessage]]:
        """Returns the messages that each instance sends; records its decisions."""
        outgoing: list[tuple[str, str, HandoverMessage]] = []
        for name, one in self.instances.items():
            out, decided = one.drain()
            outgoing += [(name, receiver, message) for receiver, message in out]
            self.decisions += [[name, self.now, plain(decision_fields(each))] for each in decided]
        return outgoing


def decision_fields(decision: Any) -> list[Any]:
    """Returns a decision with its verdict by name, as in the counts, and the end time as text."""
    number, verdict, value, wait, until = plain_fields(decision)
    return [number, REPORTED_VERDICTS[verdict], value, round(wait, 9), str(until)]


def plain_fields(decision: Any) -> list[Any]:
    """Returns the values of a slotted dataclass's fields, in order."""
    return [getattr(decision, field) for field in decision.__dataclass_fields__]


def coordination() -> dict[str, Any]:
    """One submission completes, one is lost with its owner, one is released; all are retried."""
    fleet = Fleet()
    names = [record_name(CUSTOMERS[0], "solution-submit", f"{number:016x}") for number in range(3)]
    owner = fleet.instances["edge-1"]
    opened = [owner.open(fleet.now, one, b"digest", b"call") for one in names]
    fleet.run(0.1)
    for number in opened[:2]:
        owner.sent(number)
    fleet.run(0.1)
    owner.ended(opened[0], RequestKind(DONE_QUESTION), b"the response")
    owner.ended(opened[2], RequestKind(RELEASE_QUESTION))
    fleet.run(0.1)
    busy = fleet.instances["edge-2"]
    busy.open(fleet.now, names[1], b"digest")
    fleet.run(0.2)
    fleet.kill("edge-1")
    fleet.run(1.0)
    successor = fleet.instances["edge-2"]
    for one in names:
        successor.open(fleet.now, one, b"digest")
    successor.open(fleet.now, names[0], b"another")
    fleet.run(0.2)
    fleet.instances["edge-1"] = fleet.start("edge-1", STARTED + 5000)
    fleet.connect("edge-1")
    fleet.run(1.0)
    fleet.run(4.0)
    for one in names:
        fleet.instances["edge-3"].open(fleet.now, one, b"digest")
    fleet.run(0.2)
    return {
        "first": fleet.messages[:8],
        "count": len(fleet.messages),
        "checksum": checksum("\n".join(fleet.messages).encode()),
        "decisions": fleet.decisions,
        "counts": {name: dict(one.counts) for name, one in fleet.instances.items()},
        "phases": [phase.name.lower() for phase in Phase],
    }
