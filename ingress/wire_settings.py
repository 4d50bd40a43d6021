"""Reads settings and names of load figures from the simulator's wire protocol and `EDGE_CONFIG`.

Only this module, `simulator_messages`, `simulator_adapter` and `platform.config` use the names of
the wire protocol.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any, Final, TypeVar

from ingress.policy.settings import (
    DeduplicationScope,
    Plan,
    RequestClass,
    RetrySemantics,
    Settings,
)

Source = Mapping[str, Any]
"""One object of the settings, decoded from JSON."""

LOAD_FIELDS: Final = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "eps",
}
"""Fields of a load report, by their name in the wire protocol."""

RETRY_SEMANTICS: Final = {
    "safe": RetrySemantics.IDEMPOTENT,
    "keyed": RetrySemantics.IDEMPOTENCY_KEY,
    "unsafe": RetrySemantics.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES: Final = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
POLLED_DISCOVERY: Final = "on_request"

EnumT = TypeVar("EnumT", bound=Enum)


def read_enum(key: str, value: object, members: Mapping[str, EnumT]) -> EnumT:
    """Returns the enum member for a value of the wire protocol.

    Raises:
        ValueError: The value is unknown; the message names key, value and allowed values.
    """
    member = members.get(value) if isinstance(value, str) else None
    if member is None:
        raise ValueError(f"{key}: {value!r} is not one of {', '.join(members)}")
    return member


def _read_class(source: Source) -> RequestClass:
    return RequestClass(
        name=source["name"],
        latency_objective=source["aim-s"],
        deadline=source["give-up-s"],
        priority_weight=source["importance"],
        late_priority_weight=source.get("late-worth", 0.0),
        semantics=read_enum("semantics", source["semantics"], RETRY_SEMANTICS),
        deduplication_scope=read_enum(
            "key-scope", source.get("key-scope") or "all", DEDUPLICATION_SCOPES
        ),
        deduplication_window=source.get("dedup-window-s", 0.0),
        objective_stretch=source.get("aim-stretch", 0.0),
        streaming=source.get("stream", False),
    )


def _read_plan(source: Source) -> Plan:
    return Plan(
        name=source["name"],
        rate=source["refill"],
        burst=source["burst"],
        max_concurrent=source.get("at-once", 0),
        price=source.get("worth-factor", 1.0),
        over_quota_weight=source.get("over-worth", 0.0),
        over_quota_cost=source.get("excess-cost", 0.0),
        ceiling_rate=source.get("hard-rate", 0.0),
        ceiling_burst=source.get("ceiling-burst", 0.0),
        ceiling_slack=source.get("cap-slack", 0.0),
    )


def read_settings(source: Source) -> Settings:
    """Returns the settings of a `Start` message or of `EDGE_CONFIG`.

    Raises:
        KeyError: A key without a default is missing.
        TypeError, ValueError, AttributeError: A value has the wrong type or is not allowed.
    """
    limits: Source = source["limits"]
    rules: Source = source["rules"]
    info: Source = source["family-info"]
    return Settings(
        classes=tuple(_read_class(entry) for entry in source["categories"]),
        plans=tuple(_read_plan(entry) for entry in source["contracts"]),
        gateway_index=source["self-index"],
        gateway_count=source["balancers"],
        zone=source.get("zone", ""),
        tick_interval=source.get("tick-s", 0.001),
        response_slack=rules.get("answer-slack-s", 0.0),
        drain_grace=rules.get("drain-grace-s", 0.0),
        warmup_time=rules.get("cold-s", 0.0),
        cold_capacity=rules.get("start-capacity", 1.0),
        collapse_factor=rules.get("overload-factor", 1.0),
        collapse_window=rules.get("fall-s", 1.0),
        discovery_max_age=rules.get("ask-within-s", 0.0),
        discovery_polled=source.get("membership-mode", "pushed") == POLLED_DISCOVERY,
        max_attempts=limits.get("max-attempts", 1),
        hedging_allowed=limits.get("second-copies", False),
        cancellation_allowed=limits.get("cancel", False),
        probing_allowed=limits.get("probing", False),
        peer_messages_allowed=limits.get("peers", False),
        peer_message_rate=info.get("mail-per-s", 0.0),
        counter_available=info.get("counter", False),
        counter_timeout=info.get("count-wait-s", 0.0),
        meter_period=info.get("meter-s", 0.0),
        units_settled_later=info.get("cost-after", False),
        max_units=info.get("most-units", 1),
        retry_after_allowed=limits.get("retry-after", True),
    )
