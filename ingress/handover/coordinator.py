"""The coordinator: asks the replicas before a request is sent, and tracks the other instances.

Its driver passes in the time, messages and connection changes. The coordinator appends messages to
`outbox`, also those to its own instance, and decisions to `decisions`. The driver takes both with
`drain`, and takes the names of changed records from the replica's `changed_names`. With a store,
the driver sends a reply only after the changes that it depends on are durable.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Final
from zlib import crc32

from ingress.handover.decision import (
    REPORTED_VERDICTS,
    CoordinatorSettings,
    Decision,
    Operation,
    Verdict,
    decide,
)
from ingress.handover.messages import (
    FORMAT_VERSION,
    Heartbeat,
    Message,
    OwnershipQuery,
    ReplicaReply,
    ReplicaRequest,
    ReplyCode,
    SyncRecord,
    SyncRequest,
)
from ingress.handover.replica import Grant, Replica, replicas_for
from ingress.handover.transition_table import HolderStatus, RequestKind

SYNC_RETRY_INTERVAL_S: Final = 0.5  # the peer's connection to this instance may not be up yet
MAX_OPERATIONS: Final = 20_000  # open at the same time; any further one is sent unprotected
NEVER: Final = -1e18  # as a time


@dataclass(slots=True)
class Peer:
    """The state of another instance, as known from its messages."""

    connected: bool = False
    last_message_at: float = NEVER
    incarnation: int = 0
    store_id: bytes = b""
    durable_position: int = 0
    previous_store_id: bytes = b""  # store and position of its previous process
    previous_position: int = 0
    # Whether it confirms that the recovered store reaches the durable position that it remembers.
    confirms_store: bool | None = None
    synced: bool = False  # it has sent all its records since this process started
    sync_requested_at: float = NEVER


class Coordinator:
    """The coordinator of one of `instances`.

    `incarnation`: greater than that of any earlier process of this name; `store_id`,
    `durable_position`: describe the store that the replica was recovered from.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        instances: tuple[str, ...],
        settings: CoordinatorSettings,
        now: float,
        replica: Replica | None = None,
        store_id: bytes = b"",
        durable_position: int = 0,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.instances = instances
        self.settings = settings
        self.started_at = now
        self.replica = replica or Replica()
        self.replica.recovering_until = now + settings.recovery_time
        self.store_id = store_id
        self.durable_position = durable_position
        self.recovered_position = durable_position
        self.peers = {instance: Peer() for instance in instances if instance != name}
        self.operations: dict[int, Operation] = {}
        self.last_operation = 0
        self.next_heartbeat = now
        self.outbox: list[tuple[str, Message]] = []
        self.decisions: list[Decision] = []
        self.counts = dict.fromkeys(REPORTED_VERDICTS.values(), 0)
        self.counts |= {"repeats": 0, "forgot": 0, "learnt": 0}

    def _replicas_for(self, name: bytes) -> list[str]:
        return replicas_for(name, self.instances, self.settings.copies)

    # Operations of this instance

    def open(self, now: float, name: bytes, digest: bytes, call: bytes = b"") -> int:
        """Asks the replicas whether an operation may be sent; returns its number.

        The decision is made at the latest at the first `tick` that is more than `max_delay` after
        `now`.
        """
        self.last_operation += 1
        number = self.last_operation
        operation = Operation(name, digest, now, self._replicas_for(name))
        self.operations[number] = operation
        if len(self.operations) > MAX_OPERATIONS:
            self._conclude(number, Decision(0, Verdict.UNPROTECTED))
        else:
            request = ReplicaRequest(RequestKind.OPEN, name, self.incarnation, number, digest, call)
            self._ask_replicas(operation, request)
        return number

    def sent(self, number: int) -> None:
        """Notifies the replicas that the operation was written."""
        operation = self.operations.get(number)
        if operation is not None and operation.granted:
            request = ReplicaRequest(RequestKind.SENT, operation.name, self.incarnation, number)
            self._ask_replicas(operation, request)

    def ended(self, number: int, kind: RequestKind, response: bytes = b"") -> None:
        """Ends an operation: DONE with its response, UNCLEAR, or RELEASE if nothing ran."""
        operation = self.operations.pop(number, None)
        if operation is not None and operation.granted:
            request = ReplicaRequest(
                kind, operation.name, self.incarnation, number, response=response
            )
            self._ask_replicas(operation, request)

    def _ask_replicas(self, operation: Operation, request: ReplicaRequest) -> None:
        self.outbox += [(replica, request) for replica in operation.replicas]

    def _conclude(self, number: int, decision: Decision) -> None:
        operation = self.operations[number]
        verdict = decision.verdict
        operation.decided = True
        operation.granted = verdict in (Verdict.PROCEED, Verdict.UNPROTECTED)
        self.counts[REPORTED_VERDICTS[verdict]] += 1
        self.counts["repeats"] += operation.granted and decision.send_before < inf
        # Jitter: operations that are deferred together must not be retried together.
        jitter = 0.5 + crc32(f"{self.name} {number}".encode()) / 2**32
        self.decisions.append(
            Decision(
                number,
                verdict,
                decision.response,
                decision.retry_after * jitter,
                decision.send_before,
            )
        )
        if not operation.granted:
            # Some replicas may have granted it: release their grants.
            request = ReplicaRequest(RequestKind.RELEASE, operation.name, self.incarnation, number)
            self._ask_replicas(operation, request)
            del self.operations[number]

    def _evaluate(self, now: float, number: int) -> None:
        operation = self.operations[number]
        if operation.decided:
            return
        decision = decide(self.settings, operation, now)
        if decision is not None:
            self._conclude(number, decision)

    # Messages

    def receive(self, now: float, source: str, message: Message) -> None:
        """Handles a valid message; ignores one from an unknown instance."""
        peer = self.peers.get(source)
        if peer is not None:
            peer.last_message_at = now
        elif source != self.name:
            return
        match message:
            case ReplicaRequest():
                self._on_request(now, source, message)
            case ReplicaReply():
                self._on_reply(now, source, peer, message)
            case OwnershipQuery():
                self._on_ownership_query(source, message)
            case Heartbeat() if peer is not None:
                self._on_heartbeat(now, peer, message)
            case SyncRequest() if peer is not None:
                self._on_sync_request(now, source, message)
            case SyncRecord() if peer is not None:
                self._on_sync_record(now, peer, message)
            case _:
                pass

    def _on_request(self, now: float, source: str, request: ReplicaRequest) -> None:
        reply = self.replica.handle(
            now, source, request, lambda grant: self.holder_status(now, grant)
        )
        if reply is None:
            return
        self.outbox.append((source, reply))
        if reply.code == ReplyCode.BUSY:
            holder = self.replica.records[request.name].holder
            query = OwnershipQuery(request.name, holder.incarnation, holder.operation)
            self.outbox.append((holder.instance, query))

    def _on_reply(self, now: float, source: str, peer: Peer | None, reply: ReplicaReply) -> None:
        if reply.incarnation != self.incarnation:
            return
        if peer is not None:
            peer.durable_position = max(peer.durable_position, reply.durable_position)
        operation = self.operations.get(reply.operation)
        if operation is not None and source in operation.replicas:
            operation.replies.setdefault(source, reply)
            self._evaluate(now, reply.operation)

    def _on_ownership_query(self, source: str, query: OwnershipQuery) -> None:
        # An operation that has ended writes nothing more; the other replicas know its outcome.
        if query.incarnation == self.incarnation and query.operation not in self.operations:
            request = ReplicaRequest(
                RequestKind.UNCLEAR, query.name, query.incarnation, query.operation
            )
            self.outbox.append((source, request))

    def _on_sync_request(self, now: float, source: str, request: SyncRequest) -> None:
        records = self.replica.sync_records(
            now, request.sync_id, lambda name: source in self._replicas_for(name)
        )
        self.outbox += [(source, record) for record in records]

    def _on_sync_record(self, now: float, peer: Peer, record: SyncRecord) -> None:
        if record.sync_id != self.incarnation:
            return
        if record.last:
            peer.synced = True
            self._update_recovery(now)
        elif self.name in self._replicas_for(record.name):
            self.replica.merge(now, record)

    def _on_heartbeat(self, now: float, peer: Peer, heartbeat: Heartbeat) -> None:
        if heartbeat.incarnation > peer.incarnation:
            # Its recovered store is compared with the position that its previous process reported,
            # not with the positions that the new process reports.
            peer.incarnation = heartbeat.incarnation
            peer.previous_store_id = peer.store_id
            peer.previous_position = peer.durable_position
        if heartbeat.store_id != peer.store_id:
            peer.store_id = heartbeat.store_id
            peer.durable_position = heartbeat.durable_position
        peer.durable_position = max(peer.durable_position, heartbeat.durable_position)
        if heartbeat.known_incarnation > self.incarnation:
            self._advance_incarnation(heartbeat.known_incarnation)
        if (
            self.recovered_position
            and peer.confirms_store is None
            and heartbeat.known_store_id == self.store_id
            and self.store_id
        ):
            peer.confirms_store = heartbeat.known_position <= self.recovered_position
            self._update_recovery(now)

    def _advance_incarnation(self, incarnation: int) -> None:
        """Adopts a greater incarnation than that of an earlier process whose clock ran ahead."""
        self.incarnation = incarnation + 1
        undecided = [
            number for number, operation in self.operations.items() if not operation.decided
        ]
        for number in undecided:
            self._conclude(number, Decision(0, Verdict.UNPROTECTED))

    def _update_recovery(self, now: float) -> None:
        """Ends the recovery once it is certain that no record is missing.

        A disk may return an old or an empty state as if it were the latest. Only the other
        instances know how much this instance had acknowledged.
        """
        peers = self.peers.values()
        if self.replica.is_complete(now) or not peers:
            return
        if any(peer.confirms_store is False for peer in peers):
            self.counts["forgot"] += self.recovered_position > 0
            self.recovered_position = 0
        confirming = sum(peer.confirms_store is True for peer in peers)
        if self.recovered_position and 2 * confirming >= len(peers):
            self.replica.recovering_until = now
        elif all(peer.synced for peer in peers):
            # By then no reply to a request of an earlier process is pending any more.
            earliest = self.started_at + 2 * self.settings.max_delay
            self.replica.recovering_until = max(now, earliest)
            self.counts["learnt"] += 1

    # Other instances

    def on_connection_change(self, now: float, other: str, connected: bool) -> None:
        """Records that the connection to another instance was established or lost."""
        peer = self.peers.get(other)
        if peer is None:
            return
        peer.connected = connected
        if connected:
            peer.last_message_at = now
            self._send_heartbeat(now, other, peer)

    def _send_heartbeat(self, now: float, other: str, peer: Peer) -> None:
        complete = self.replica.is_complete(now)
        since_request = now - peer.sync_requested_at
        if not complete and not peer.synced and since_request >= SYNC_RETRY_INTERVAL_S:
            peer.sync_requested_at = now
            self.outbox.append((other, SyncRequest(self.incarnation)))
        heartbeat = Heartbeat(
            FORMAT_VERSION,
            self.incarnation,
            self.store_id,
            self.durable_position,
            complete,
            peer.incarnation,
            peer.previous_store_id,
            peer.previous_position,
        )
        self.outbox.append((other, heartbeat))

    def exclude_hold_up(self, seconds: float) -> None:
        """Excludes a time in which this process read no messages from the silence of the others."""
        for peer in self.peers.values():
            peer.last_message_at += seconds

    def is_suspect(self, now: float, other: str) -> bool:
        """Returns whether an instance may be dead, partitioned or paused; these look the same."""
        peer = self.peers.get(other)
        if peer is None or not peer.connected:
            return True
        return now - peer.last_message_at > self.settings.suspect_after

    def holder_status(self, now: float, holder: Grant) -> HolderStatus:
        """Returns the status of the process that holds a record."""
        if holder.instance == self.name:
            same = holder.incarnation == self.incarnation
            return HolderStatus.ALIVE if same else HolderStatus.RESTARTED
        peer = self.peers.get(holder.instance)
        if peer is not None and peer.incarnation > holder.incarnation:
            return HolderStatus.RESTARTED
        suspect = self.is_suspect(now, holder.instance)
        return HolderStatus.SUSPECT if suspect else HolderStatus.ALIVE

    def tick(self, now: float) -> None:
        """Decides operations that have waited longer than `max_delay`, and sends due heartbeats.

        The driver calls it several times within `max_delay`.
        """
        for number, operation in list(self.operations.items()):
            if not operation.decided and now - operation.opened_at > self.settings.max_delay:
                self._evaluate(now, number)
        if now >= self.next_heartbeat:
            self.next_heartbeat = now + self.settings.heartbeat_interval
            for other, peer in self.peers.items():
                if peer.connected:
                    self._send_heartbeat(now, other, peer)

    def drain(self) -> tuple[list[tuple[str, Message]], list[Decision]]:
        """Returns the messages to send, each with its receiver, and the new decisions."""
        outbox = self.outbox
        decisions = self.decisions
        self.outbox = []
        self.decisions = []
        return outbox, decisions
