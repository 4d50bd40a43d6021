"""Messages between instances about handover records, and their validation.

On the wire a message is a MessagePack array that starts with the tag of its class. The order and
types of the fields define the format. Extra fields at the end, from a later version, are ignored.
"""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b
from math import isfinite
from typing import Final

import msgspec

from ingress.handover.transition_table import Phase, RequestKind

FORMAT_VERSION: Final = 1
NAME_BYTES: Final = 16  # length of a record name
BODY_DIGEST_BYTES: Final = 8
MAX_DIGEST_BYTES: Final = 16  # of a body digest or a store id, on receipt
MAX_INSTANCE_NAME_LENGTH: Final = 64
MAX_BODY_BYTES: Final = 64 * 1024  # of a request body or a response
MAX_CALL_OVERHEAD_BYTES: Final = 4096  # of an encoded call without its body
MAX_FRAME_MESSAGES: Final = 512
MAX_AGE_S: Final = 3600.0
COUNTER_LIMIT: Final = 1 << 62  # exclusive, for incarnations, operations and store positions


class ReplyCode(IntEnum):
    """The result of an OPEN. The numbers are sent on the wire, the names are reported in counts."""

    GRANTED = 1
    BUSY = 2  # another instance holds it
    DONE = 3  # it has run; the reply carries the response
    CLASH = 4  # the idempotency key was used with another body
    STALE = 5  # the requester no longer holds it
    NEW = 6  # the replica is recovering and may have lost the record
    FULL = 7  # no memory for another record
    FROZEN = 8  # its holder is suspect and may still write


class ReplicaRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A request from a coordinator to a replica.

    `operation`: sequence number of the operation in its process; together with the process's
    `incarnation` it identifies the grant. `digest`: of the body; `call`: the encoded call that
    another instance needs to resend it, in OPEN; `response`: in DONE.
    """

    kind: int
    name: bytes
    incarnation: int
    operation: int
    digest: bytes = b""
    call: bytes = b""
    response: bytes = b""


class ReplicaReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The reply to an OPEN, identified by its `incarnation` and `operation`.

    `previous_phase`: the record's phase before the grant; `age`: seconds since the first OPEN whose
    holder may have sent the submission; `durable_position`: of the replica's store.
    """

    code: int
    name: bytes
    incarnation: int
    operation: int
    previous_phase: int = 0
    age: float = 0.0
    response: bytes = b""
    durable_position: int = 0


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The message that is sent to each connected instance several times a second.

    `store_id`, `durable_position`: the sender's store and the position up to which its records are
    durable; `complete`: the sender's replica has all its records. The `known_` fields hold the
    sender's knowledge of the receiver: the greatest incarnation received from it, and the store
    and position of its previous process.
    """

    format_version: int
    incarnation: int
    store_id: bytes = b""
    durable_position: int = 0
    complete: bool = False
    known_incarnation: int = 0
    known_store_id: bytes = b""
    known_position: int = 0


class SyncRequest(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A request, from an instance that may have lost records, for all records it replicates."""

    sync_id: int


class SyncRecord(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """One record in reply to a `SyncRequest`; a final empty one has `last` set.

    `age`: seconds since the first OPEN whose holder may have sent the submission.
    """

    sync_id: int
    last: bool
    name: bytes = b""
    phase: int = 0
    holder: str = ""
    holder_incarnation: int = 0
    holder_operation: int = 0
    digest: bytes = b""
    age: float = 0.0
    response: bytes = b""
    call: bytes = b""


class OwnershipQuery(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """A replica's question whether an operation is still open: its last request may be lost."""

    name: bytes
    incarnation: int
    operation: int


Message = ReplicaRequest | ReplicaReply | Heartbeat | SyncRequest | SyncRecord | OwnershipQuery


class MalformedMessageError(Exception):
    """Received bytes are not a valid message; the text gives the reason and contains no secret."""


def record_name(customer: str, request_class: str, key: str) -> bytes:
    """Returns the name of the record for a customer, request class and idempotency key."""
    joined = "\0".join((customer, request_class, key))
    return blake2b(joined.encode("utf-8", "replace"), digest_size=NAME_BYTES).digest()


def body_digest(body: bytes | None) -> bytes:
    """Returns the digest that detects the reuse of an idempotency key with another body."""
    return blake2b(body or b"", digest_size=BODY_DIGEST_BYTES).digest()


def validate(message: Message) -> None:
    """Checks the ranges of a message's fields, even if it was sealed with a valid key.

    Raises:
        MalformedMessageError: a field is out of range.
    """
    match message:
        case ReplicaRequest():
            valid = _is_valid_request(message)
        case ReplicaReply():
            valid = _is_valid_reply(message)
        case Heartbeat():
            valid = _is_valid_heartbeat(message)
        case SyncRecord():
            valid = _is_valid_sync_record(message)
        case _:
            valid = True
    if not valid:
        raise MalformedMessageError(f"{type(message).__name__} has a field out of range")


_KINDS: Final = frozenset(int(kind) for kind in RequestKind)
_CODES: Final = frozenset(int(code) for code in ReplyCode)
_PHASES: Final = frozenset(int(phase) for phase in Phase)


def _is_valid_request(request: ReplicaRequest) -> bool:
    return (
        request.kind in _KINDS
        and len(request.name) == NAME_BYTES
        and 0 < request.incarnation < COUNTER_LIMIT
        and 0 < request.operation < COUNTER_LIMIT
        and len(request.digest) <= MAX_DIGEST_BYTES
        and len(request.response) <= MAX_BODY_BYTES
        and len(request.call) <= MAX_BODY_BYTES + MAX_CALL_OVERHEAD_BYTES
    )


def _is_valid_reply(reply: ReplicaReply) -> bool:
    return (
        reply.code in _CODES
        and len(reply.name) == NAME_BYTES
        and reply.previous_phase in _PHASES
        and isfinite(reply.age)
        and 0 <= reply.age <= MAX_AGE_S
        and len(reply.response) <= MAX_BODY_BYTES
        and 0 <= reply.durable_position < COUNTER_LIMIT
    )


def _is_valid_heartbeat(heartbeat: Heartbeat) -> bool:
    return (
        0 < heartbeat.incarnation < COUNTER_LIMIT
        and len(heartbeat.store_id) <= MAX_DIGEST_BYTES
        and len(heartbeat.known_store_id) <= MAX_DIGEST_BYTES
        and 0 <= heartbeat.durable_position < COUNTER_LIMIT
        and 0 <= heartbeat.known_position < COUNTER_LIMIT
        and 0 <= heartbeat.known_incarnation < COUNTER_LIMIT
    )


def _is_valid_sync_record(record: SyncRecord) -> bool:
    return (
        len(record.name) in (0, NAME_BYTES)
        and record.phase in _PHASES
        and len(record.holder) <= MAX_INSTANCE_NAME_LENGTH
        and isfinite(record.age)
        and 0 <= record.age <= MAX_AGE_S
        and len(record.response) <= MAX_BODY_BYTES
        and len(record.call) <= MAX_BODY_BYTES + MAX_CALL_OVERHEAD_BYTES
        and len(record.digest) <= MAX_DIGEST_BYTES
    )
