"""Values that all instances derive identically, without exchanging messages."""

from __future__ import annotations

from typing import Any
from uuid import UUID

from tests.golden_cases.handover import NAME
from tests.golden_cases.names import (
    CounterConsistency,
    body_digest,
    counter_key,
    due_check_keys,
    epoch_offset,
    key_number,
    key_of,
    probers,
    replicas_for,
    ring_point,
    shed_rank,
    uuid_of,
)
from tests.golden_cases.plain import CUSTOMERS, INSTANCES, plain_values

TIMES = (0.0, 29.9, 1_760_000_000.0, 1_760_000_030.0, 1_760_000_059.5)


def derived() -> dict[str, Any]:
    """Returns counter keys, shed ranks, rendezvous and ring positions, and translated keys."""
    return plain_values(counters() | placements() | translated_keys())


def counters() -> dict[str, Any]:
    """Returns the counter keys and shed ranks of customers and of consistency checks."""
    values: dict[str, Any] = {}
    for text in (*CUSTOMERS, "check 0", "check 1"):
        number = key_number(text)
        values[f"key number of {text}"] = number
        values[f"epoch offset of {text}"] = epoch_offset(number)
        values[f"counter keys of {text}"] = [counter_key(number, now) for now in TIMES]
        values[f"shed ranks of {text}"] = [shed_rank(number, now) for now in TIMES]
    checks = CounterConsistency(24)
    values["check keys"] = [due_check_keys(checks, now) for now in (1000.0, 1001.0, 1002.0)]
    return values


def placements() -> dict[str, Any]:
    """Returns the replicas of a record, the probers of a backend and its points on the ring."""
    values: dict[str, Any] = {}
    values["handover name"] = NAME
    values["digests"] = [body_digest(body) for body in (None, b"", b"a body")]
    for copies in (1, 2, 3):
        values[f"replicas for {copies} copies"] = replicas_for(NAME, INSTANCES, copies)
    for backend in ("server-0", "server-1", "server-2"):
        values[f"probers of {backend}"] = probers(backend, INSTANCES)
        values[f"ring points of {backend}"] = [ring_point(f"{backend}/{n}") for n in range(3)]
    return values


def translated_keys() -> dict[str, Any]:
    """Returns idempotency keys translated to the other protocol's form and back."""
    values: dict[str, Any] = {}
    for key in ("5c0f6e1a2b3d4c59", "5C0F6E1A2B3D4C59", "any other key"):
        for name in CUSTOMERS[:2]:
            uuid = uuid_of(key, name, "solution-submit")
            values[f"UUID of {key} of {name}"] = uuid
            values[f"key of the UUID of {key} of {name}"] = key_of(uuid, name, "solution-submit")
    values["key of a foreign UUID"] = key_of(UUID(int=1 << 100 | 7), CUSTOMERS[0], "order")
    return values
