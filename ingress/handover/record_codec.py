"""Encodes and decodes handover records as entries of a store."""

from __future__ import annotations

from typing import Final

import msgspec

from ingress.handover.messages import NAME_BYTES
from ingress.handover.replica import RECORD_TTL_S, Grant, Record, Replica
from ingress.handover.transition_table import Phase

INCARNATION_KEY: Final = b"life"  # key of the entry with the latest process's incarnation


class StoredRecord(msgspec.Struct, array_like=True, frozen=True):
    """The stored form of a record: a MessagePack array in this order, with Unix times."""

    phase: int
    holder: Grant
    digest: bytes
    opened_at: float
    changed_at: float
    previous_phase: int
    previous_holder: Grant
    call: bytes
    response: bytes


_decoder: msgspec.msgpack.Decoder[StoredRecord] = msgspec.msgpack.Decoder(StoredRecord)


def encode(record: Record) -> bytes:
    """Returns the stored value of a record."""
    return msgspec.msgpack.encode(
        StoredRecord(
            record.phase,
            record.holder,
            record.digest,
            record.opened_at,
            record.changed_at,
            record.previous_phase,
            record.previous_holder,
            record.call,
            record.response,
        )
    )


def decode(data: bytes) -> Record | None:
    """Returns the record of a stored value, or None if the value is invalid."""
    try:
        stored = _decoder.decode(data)
        return Record(
            phase=Phase(stored.phase),
            holder=stored.holder,
            digest=stored.digest,
            opened_at=stored.opened_at,
            changed_at=stored.changed_at,
            previous_phase=Phase(stored.previous_phase),
            previous_holder=stored.previous_holder,
            call=stored.call,
            response=stored.response,
        )
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
        return None


def recover(
    replica: Replica, entries: dict[bytes, bytes], now: float, deduplication_window: float
) -> int:
    """Puts a store's records into a replica; returns the incarnation of the previous process.

    The clock may have been set back since the previous process ended. So each record counts as
    opened at least one whole deduplication window ago, and is kept as long as one changed just now.
    """
    for name, data in entries.items():
        record = decode(data) if len(name) == NAME_BYTES else None
        if record is None or now - record.changed_at >= 2 * RECORD_TTL_S:
            continue
        replica.put(
            name,
            Record(
                phase=record.phase,
                holder=record.holder,
                digest=record.digest,
                opened_at=min(record.opened_at, now - deduplication_window),
                changed_at=now,
                previous_phase=record.previous_phase,
                previous_holder=record.previous_holder,
                call=record.call,
                response=record.response,
            ),
        )
    return int.from_bytes(entries.get(INCARNATION_KEY, b""), "big")
