"""State of a model checker run: three coordinators, their network and a backend."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from math import inf
from typing import Final

from ingress.handover.coordinator import Coordinator
from ingress.handover.decision import (
    REPORTED_VERDICTS,
    CoordinatorSettings,
    Decision,
    Verdict,
)
from ingress.handover.messages import Heartbeat, Message, SyncRecord, SyncRequest, record_name

INSTANCES: Final = ("a", "b", "c")
INSTANCE_COUNT: Final = len(INSTANCES)
KEYS: Final = ("k1", "k2")  # idempotency keys
START_TIME_S: Final = 100.0
NEVER: Final = -1e18  # time of an event that has not happened
# Keys of `State.observed`, in addition to the names of actions and verdicts.
RETRIES_ADMITTED: Final = "repeat"
WRITES_EXPIRED: Final = "too late"


@dataclass
class Budget:
    """Number of actions of each kind that a run may still perform."""

    requests: int = 4
    drops: int = 2
    duplicates: int = 1
    waits: int = 3
    pauses: int = 1
    crashes: int = 1


@dataclass
class MessageInFlight:
    """A message that is neither delivered nor dropped; sender and receiver are indices."""

    sender: int
    receiver: int
    message: Message


@dataclass
class PendingWrite:
    """An admitted request that is not written to the backend yet, or has no outcome yet.

    Attributes:
        instance: Index of the instance.
        incarnation: Incarnation of the instance when the request was admitted.
        operation: Number of the operation at the coordinator.
        key: Idempotency key.
        protected: Whether the replicas granted the request.
        send_before: Time from which the request must not be written.
        written: Whether the request was written to the backend.
    """

    instance: int
    incarnation: int
    operation: int
    key: str
    protected: bool
    send_before: float
    written: bool = False


@dataclass
class BackendModel:
    """A backend that deduplicates by key for `deduplication_window` seconds.

    Attributes:
        last_effect: Time of the latest effect of each key.
        effects: Times of all effects of each key.
        unprotected: Keys that were written without a grant of the replicas.
    """

    deduplication_window: float
    last_effect: dict[str, float] = field(default_factory=dict)
    effects: dict[str, list[float]] = field(default_factory=dict)
    unprotected: set[str] = field(default_factory=set)

    def receive(self, now: float, key: str) -> None:
        """Executes a request unless its key took effect within the window."""
        if now >= self.last_effect.get(key, NEVER) + self.deduplication_window:
            self.last_effect[key] = now
            self.effects.setdefault(key, []).append(now)


class State:
    """Complete state of a run at one moment; copied with `pickle`."""

    def __init__(self, budget: Budget, settings: CoordinatorSettings | None = None) -> None:
        self.budget = budget
        self.settings = settings or CoordinatorSettings()
        self.now = START_TIME_S
        self.coordinators = [
            Coordinator(name, 1, INSTANCES, self.settings, self.now) for name in INSTANCES
        ]
        for coordinator in self.coordinators:
            coordinator.replica.recovering_until = 0.0  # recovery completed long ago
        self.messages_in_flight: list[MessageInFlight] = []
        self.writes: list[PendingWrite] = []
        self.paused: set[int] = set()
        self.backend = BackendModel(self.settings.deduplication_window)
        self.submitted_keys: tuple[str, ...] = KEYS  # keys that `OPEN` can submit
        self.observed: Counter[str] = Counter()  # counts of actions and verdicts
        for index, coordinator in enumerate(self.coordinators):
            for other in INSTANCES:
                if other != INSTANCES[index]:
                    coordinator.on_connection_change(self.now, other, True)
        self.flush()

    def flush(self) -> None:
        """Processes messages and decisions of the coordinators until none are pending."""
        for index, coordinator in enumerate(self.coordinators):
            while coordinator.outbox or coordinator.decisions:
                outbox, decisions = coordinator.drain()
                for receiver, message in outbox:
                    self._send(index, INSTANCES.index(receiver), message)
                for decision in decisions:
                    self._apply_decision(index, decision)
        if any(coordinator.outbox for coordinator in self.coordinators):
            self.flush()

    def _send(self, sender: int, receiver: int, message: Message) -> None:
        # Heartbeats and record transfers are delivered at once, but not to a paused instance. Only
        # requests to replicas and their replies are reordered, lost and duplicated.
        if isinstance(message, Heartbeat | SyncRequest | SyncRecord):
            if receiver not in self.paused:
                self.deliver(sender, receiver, message)
        elif sender == receiver:
            self.deliver(sender, receiver, message)
        else:
            self.messages_in_flight.append(MessageInFlight(sender, receiver, message))

    def deliver(self, sender: int, receiver: int, message: Message) -> None:
        """Delivers a message to its receiver at once."""
        self.coordinators[receiver].receive(self.now, INSTANCES[sender], message)

    def _apply_decision(self, index: int, decision: Decision) -> None:
        self.observed[reported_name(decision.verdict)] += 1
        if decision.verdict not in (Verdict.PROCEED, Verdict.UNPROTECTED):
            return
        coordinator = self.coordinators[index]
        name = coordinator.operations[decision.operation].name
        self.writes.append(
            PendingWrite(
                index,
                coordinator.incarnation,
                decision.operation,
                next(key for key in KEYS if record_name_of(key) == name),
                decision.verdict is Verdict.PROCEED,
                decision.send_before,
            )
        )
        self.observed[RETRIES_ADMITTED] += decision.send_before < inf


def record_name_of(key: str) -> bytes:
    """Returns the name of the replicated record of an idempotency key."""
    return record_name("c", "x", key)


def reported_name(verdict: Verdict) -> str:
    """Returns the key of a verdict in `State.observed`."""
    return REPORTED_VERDICTS[verdict].upper()
