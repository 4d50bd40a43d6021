"""A replica: stores the records of submissions and replies to requests about them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import Final, NamedTuple

from ingress.handover.messages import ReplicaReply, ReplicaRequest, ReplyCode, SyncRecord
from ingress.handover.transition_table import (
    PHASE_AFTER,
    TRANSITIONS,
    HolderStatus,
    Phase,
    RequestKind,
    Transition,
)

RECORD_TTL_S: Final = 30.0  # far longer than any deduplication window and client timeout
RECORD_OVERHEAD_BYTES: Final = 200  # estimated memory without the call and the response
DEFAULT_MAX_BYTES: Final = 64 << 20
REPLY_CODES: Final = {
    Transition.GRANT: ReplyCode.GRANTED,
    Transition.KEEP: ReplyCode.GRANTED,
    Transition.REPORT_RESPONSE: ReplyCode.DONE,
    Transition.REPORT_BUSY: ReplyCode.BUSY,
    Transition.REPORT_FROZEN: ReplyCode.FROZEN,
    Transition.REJECT_STALE: ReplyCode.STALE,
}


class Grant(NamedTuple):
    """The identity of an operation: the opening instance, its incarnation and its number there."""

    instance: str
    incarnation: int
    operation: int


NO_HOLDER: Final = Grant("", 0, 0)
HolderLookup = Callable[[Grant], HolderStatus]


def replicas_for(name: bytes, instances: tuple[str, ...], copies: int) -> list[str]:
    """Returns the 2 `copies` - 1 instances that replicate a record, by rendezvous hashing.

    All instances with the same `instances` get the same result; any two majorities of it overlap.
    """
    ranked = sorted(
        instances,
        key=lambda instance: blake2b(instance.encode(), key=name, digest_size=8).digest(),
    )
    return ranked[: 2 * copies - 1]


@dataclass(frozen=True, slots=True)
class Record:
    """The state of a submission. Times are in seconds, by the caller's clock.

    `opened_at`: when the first holder that may have sent it opened it; `previous_phase` and
    `previous_holder`: the state that a RELEASE restores.
    """

    phase: Phase
    holder: Grant
    digest: bytes
    opened_at: float
    changed_at: float
    previous_phase: Phase = Phase.FREE
    previous_holder: Grant = NO_HOLDER
    call: bytes = b""
    response: bytes = b""

    def size(self) -> int:
        """Returns the estimated memory in bytes."""
        return RECORD_OVERHEAD_BYTES + len(self.call) + len(self.response)


class Replica:
    """The records of one replica.

    Beyond `max_bytes` the replica evicts the oldest responses, or rejects new records if there are
    none. Before `recovering_until` it may have lost records, and grants nothing.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES, recovering_until: float = 0.0) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.recovering_until = recovering_until
        self.records: OrderedDict[bytes, Record] = OrderedDict()  # by last change, oldest first
        self.changed_names: list[bytes] = []  # since the driver last took them
        self.counts = {code.name.lower(): 0 for code in ReplyCode} | {"dropped": 0}

    def copy(self) -> Replica:
        """Returns a replica with the same records and no pending changes."""
        other = Replica(self.max_bytes, self.recovering_until)
        other.records = self.records.copy()
        other.used_bytes = self.used_bytes
        return other

    def is_complete(self, now: float) -> bool:
        """Returns whether no record of this replica can be missing undetected."""
        return now >= self.recovering_until

    def handle(
        self, now: float, requester: str, request: ReplicaRequest, holder_status: HolderLookup
    ) -> ReplicaReply | None:
        """Applies a request; returns the reply to an OPEN, and None for the other kinds."""
        self._expire(now)
        grant = Grant(requester, request.incarnation, request.operation)
        kind = RequestKind(request.kind)
        record = self.records.get(request.name)
        if kind is RequestKind.OPEN:
            return self._open(now, grant, request, record, holder_status)
        if record is not None:
            is_holder = record.holder == grant
            status = HolderStatus.REQUESTER if is_holder else holder_status(record.holder)
            self._apply(now, request, record, TRANSITIONS[record.phase, kind, status])
        return None

    def _open(
        self,
        now: float,
        grant: Grant,
        request: ReplicaRequest,
        record: Record | None,
        holder_status: HolderLookup,
    ) -> ReplicaReply:
        # A record that was merged after a loss has a certain response, but an uncertain age.
        has_response = record is not None and record.phase is Phase.DONE
        if not has_response and not self.is_complete(now):
            return self._reply(ReplyCode.NEW, request)
        if record is None:
            return self._create(now, grant, request)
        transition = _transition_on_open(record, grant, holder_status)
        if record.phase is not Phase.FREE and record.digest != request.digest:
            return self._reply(ReplyCode.CLASH, request)
        if transition is Transition.GRANT:
            self._grant(now, grant, request, record)
        repeated = record.holder == grant
        return self._reply_with_record(REPLY_CODES[transition], request, record, now, repeated)

    def _create(self, now: float, grant: Grant, request: ReplicaRequest) -> ReplicaReply:
        if self.used_bytes > self.max_bytes and not self._evict():
            return self._reply(ReplyCode.FULL, request)
        record = Record(Phase.HELD, grant, request.digest, now, now, call=request.call)
        self.put(request.name, record)
        return self._reply(ReplyCode.GRANTED, request)

    def _grant(self, now: float, grant: Grant, request: ReplicaRequest, record: Record) -> None:
        was_free = record.phase is Phase.FREE
        self.put(
            request.name,
            Record(
                phase=Phase.HELD,
                holder=grant,
                digest=request.digest,
                opened_at=now if was_free else record.opened_at,
                changed_at=now,
                previous_phase=Phase.FREE if was_free else record.phase,
                previous_holder=NO_HOLDER if was_free else record.holder,
                call=request.call or record.call,
            ),
        )

    def _apply(
        self, now: float, request: ReplicaRequest, record: Record, transition: Transition
    ) -> None:
        if transition is Transition.ADVANCE:
            self._advance(now, request, record)
        elif transition is Transition.ROLL_BACK:
            self._roll_back(now, request.name, record)

    def _advance(self, now: float, request: ReplicaRequest, record: Record) -> None:
        phase = PHASE_AFTER[RequestKind(request.kind)]
        self.put(
            request.name,
            Record(
                phase=phase,
                holder=record.holder,
                digest=record.digest,
                opened_at=record.opened_at,
                changed_at=now,
                previous_phase=record.previous_phase,
                previous_holder=record.previous_holder,
                call=b"" if phase is Phase.DONE else record.call,
                response=request.response,
            ),
        )

    def _roll_back(self, now: float, name: bytes, record: Record) -> None:
        # Nothing ran for this holder, but the record keeps what an earlier holder may have sent.
        was_free = record.previous_phase is Phase.FREE
        self.put(
            name,
            Record(
                phase=record.previous_phase,
                holder=record.holder if was_free else record.previous_holder,
                digest=record.digest,
                opened_at=record.opened_at,
                changed_at=now,
                call=b"" if was_free else record.call,
            ),
        )

    def _reply(self, code: ReplyCode, request: ReplicaRequest) -> ReplicaReply:
        """Returns a reply without a record."""
        self.counts[code.name.lower()] += 1
        return ReplicaReply(code, request.name, request.incarnation, request.operation)

    def _reply_with_record(
        self, code: ReplyCode, request: ReplicaRequest, record: Record, now: float, repeated: bool
    ) -> ReplicaReply:
        """Returns a reply with the state of the record before the request.

        `repeated`: the requester already holds the record; it gets the state before its grant.
        """
        self.counts[code.name.lower()] += 1
        phase = record.previous_phase if repeated else record.phase
        age = 0.0 if phase is Phase.FREE else max(0.0, now - record.opened_at)
        return ReplicaReply(
            code,
            request.name,
            request.incarnation,
            request.operation,
            phase,
            round(age, 4),
            record.response if code is ReplyCode.DONE else b"",
        )

    def put(self, name: bytes, record: Record) -> None:
        """Sets a record and marks it as the latest change."""
        old = self.records.pop(name, None)
        old_size = old.size() if old is not None else 0
        self.used_bytes += record.size() - old_size
        self.records[name] = record
        self.changed_names.append(name)

    def _expire(self, now: float) -> None:
        while self.records:
            name, record = next(iter(self.records.items()))
            if now - record.changed_at <= RECORD_TTL_S:
                return
            self._remove(name)

    def _remove(self, name: bytes) -> None:
        self.used_bytes -= self.records.pop(name).size()
        self.changed_names.append(name)

    def _evict(self) -> bool:
        """Removes the oldest record with an outcome, or a FREE one; returns False if none exists.

        A record that may have run and has no outcome is never removed to save memory.
        """
        for name, record in self.records.items():
            if record.phase in (Phase.DONE, Phase.FREE):
                self._remove(name)
                self.counts["dropped"] += 1
                return True
        return False

    def sync_records(
        self, now: float, sync_id: int, is_wanted: Callable[[bytes], bool]
    ) -> Iterator[SyncRecord]:
        """Yields the unexpired records whose name is wanted, then a final empty one."""
        for name, record in self.records.items():
            if not is_wanted(name) or now - record.changed_at > RECORD_TTL_S:
                continue
            yield SyncRecord(
                sync_id,
                last=False,
                name=name,
                phase=record.phase,
                holder=record.holder.instance,
                holder_incarnation=record.holder.incarnation,
                holder_operation=record.holder.operation,
                digest=record.digest,
                age=round(max(0.0, now - record.opened_at), 4),
                response=record.response,
                call=record.call,
            )
        yield SyncRecord(sync_id, last=True)

    def merge(self, now: float, received: SyncRecord) -> None:
        """Takes another replica's record if its phase is later, and the earlier `opened_at`."""
        own = self.records.get(received.name)
        opened_at = now - received.age
        if own is not None:
            opened_at = min(opened_at, own.opened_at)
        if own is None or own.phase < received.phase:
            holder = Grant(received.holder, received.holder_incarnation, received.holder_operation)
            self.put(
                received.name,
                Record(
                    phase=Phase(received.phase),
                    holder=holder,
                    digest=received.digest,
                    opened_at=opened_at,
                    changed_at=now,
                    call=received.call,
                    response=received.response,
                ),
            )
        elif opened_at < own.opened_at:
            self.put(received.name, replace(own, opened_at=opened_at))

    def in_flight(self) -> Iterator[tuple[bytes, Record]]:
        """Yields names and records without an outcome, by last change, oldest first."""
        for name, record in self.records.items():
            if record.phase not in (Phase.FREE, Phase.DONE):
                yield name, record


def _transition_on_open(record: Record, grant: Grant, holder_status: HolderLookup) -> Transition:
    holder = record.holder
    same_process = holder.instance == grant.instance and holder.incarnation == grant.incarnation
    if same_process and holder.operation > grant.operation:
        return Transition.REJECT_STALE  # delayed: older than the operation that holds the record
    is_holder = same_process and holder.operation == grant.operation
    status = HolderStatus.REQUESTER if is_holder else holder_status(holder)
    return TRANSITIONS[record.phase, RequestKind.OPEN, status]
