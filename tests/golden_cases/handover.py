"""Handover messages, stored records and frames between instances."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from tests.golden_cases.names import (
    MAGIC,
    Call,
    Grant,
    HandoverMessage,
    Heartbeat,
    OwnershipQuery,
    PeerLink,
    Phase,
    Record,
    ReplicaReply,
    ReplicaRequest,
    ReplyCode,
    RequestKind,
    SyncRecord,
    SyncRequest,
    body_digest,
    encode_call,
    pack_record,
    record_name,
)
from tests.golden_cases.plain import (
    CUSTOMERS,
    KEY_USED,
    KEYS,
    RecordingTransport,
    fixed_random_bytes,
    plain_values,
)

NAME = record_name(CUSTOMERS[1], "solution-submit", "5c0f6e1a2b3d4c59")
DIGEST = body_digest(b"a body")
CALL = Call(
    b"r-1", CUSTOMERS[1], "solution-submit", "plus", 3.5, 1.5, 4, 2, True, True,
    "5c0f6e1a2b3d4c59", b"a body\x00\xff",
)  # fmt: skip
READ_CALL = Call(b"r-2", CUSTOMERS[0], "grid-fetch", "base", 0.0004, 1.0, 1, 0, False, False)


def handover_messages() -> dict[str, HandoverMessage]:
    """Returns messages of each type, with each request kind and reply code of the protocol."""
    requests: dict[str, HandoverMessage] = {
        f"question {kind}": ReplicaRequest(
            kind, NAME, 1_760_000_000_123, 17, DIGEST, b"call", b"value"
        )
        for kind in sorted(RequestKind)
    }
    replies: dict[str, HandoverMessage] = {
        f"reply {code}": ReplicaReply(code, NAME, 5, 17, 2, 0.25, b"value", 99)
        for code in sorted(ReplyCode)
    }
    return requests | replies | {
        "hello": Heartbeat(1, 5, b"diskdisk", 12, True, 6, b"olderdsk", 11),
        "first hello": Heartbeat(1, 5),
        "learn": SyncRequest(3),
        "row": SyncRecord(3, False, NAME, 2, "edge-2", 5, 17, DIGEST, 0.125, b"value", b"call"),
        "last row": SyncRecord(3, True),
        "still": OwnershipQuery(NAME, 5, 17),
    }  # fmt: skip


def decode_handover_message(data: bytes) -> HandoverMessage:
    """Decodes one message, as a peer connection decodes each message of a frame."""
    message: HandoverMessage = msgspec.msgpack.decode(data, type=HandoverMessage)
    return message


def encoded_messages() -> dict[str, Any]:
    """Returns each message encoded as in a frame."""
    return plain_values(
        {name: msgspec.msgpack.encode(message) for name, message in handover_messages().items()}
    )


def records() -> dict[str, Record]:
    """Returns a stored record in each phase, and one that holds its response."""
    holder = Grant("edge-2", 1_760_000_000_123, 17)
    before = Grant("edge-1", 5, 3)
    phases = {
        f"phase {phase.value}": Record(
            phase, holder, DIGEST, 100.5, 101.25, Phase(0), before, b"call", b""
        )
        for phase in Phase
    }
    phases["answered"] = Record(
        Phase(4), holder, DIGEST, 100.5, 101.25, Phase(2), Grant("", 0, 0), b"", b"value"
    )
    return phases


def record_rows() -> dict[str, Any]:
    """Returns the records encoded as values of a store."""
    return plain_values({name: pack_record(record) for name, record in records().items()})


def stored_calls() -> dict[str, Any]:
    """Returns the stored part of a call, which a successor continues from."""
    return plain_values({"submission": encode_call(CALL), "read": encode_call(READ_CALL)})


async def _peer_frames() -> dict[str, Any]:
    with fixed_random_bytes():
        link = PeerLink(KEYS, KEY_USED)
        dialed_transport = RecordingTransport()
        accepted_transport = RecordingTransport()
        link.dialed.connection_made(dialed_transport)  # type: ignore[arg-type]
        link.accepted.connection_made(accepted_transport)  # type: ignore[arg-type]
        assert dialed_transport.data.startswith(MAGIC)
        assert accepted_transport.data.startswith(MAGIC)
        frames = {"dials": dialed_transport.data, "accepts": accepted_transport.data}
        link.dialed.data_received(accepted_transport.data)
        groups: dict[str, list[HandoverMessage]] = {
            "one message": [Heartbeat(1, 5)],
            "all messages": list(handover_messages().values()),
            "the same again": [Heartbeat(1, 5)],
        }
        for name, messages in groups.items():
            before = len(dialed_transport.data)
            link.send(messages)
            frames[name] = dialed_transport.data[before:]
    link.accepted.data_received(dialed_transport.data)
    expected = [Heartbeat(1, 5), *handover_messages().values(), Heartbeat(1, 5)]
    assert link.received == [("edge-1", message) for message in expected]
    return plain_values(frames)


def peer_frames() -> dict[str, Any]:
    """Returns the first bytes of each side of a peer connection, then encrypted frames."""
    return asyncio.run(_peer_frames())
