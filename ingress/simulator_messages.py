"""Translates messages of the simulator's wire protocol to policy events, and actions to messages.

Only this module, `simulator_adapter`, `wire_settings` and `platform.config` use the names of the
wire protocol.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Final

from ingress.policy.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchBackends,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartProbe,
    WatchBackends,
    WriteLog,
)
from ingress.policy.events import (
    AttemptEnded,
    Backend,
    ClientDisconnected,
    CounterReply,
    EndpointListKind,
    Event,
    Outcome,
    PeerMessageReceived,
    ProbeEnded,
    Readiness,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from ingress.wire_settings import LOAD_FIELDS, read_enum

Message = Mapping[str, Any]
"""One message of the wire protocol, decoded from JSON."""
Reply = dict[str, Any]
"""One message to the simulator."""

ALL_PEERS: Final = "all"

OUTCOMES: Final = {
    "completed": Outcome.OK,
    "errored": Outcome.ERROR,
    "saturated": Outcome.OVERLOADED,
    "overdue": Outcome.TIMEOUT,
    "refused_conn": Outcome.CONNECT_FAILED,
    "severed": Outcome.RESET,
    "recalled": Outcome.CANCELLED,
    "superseded": Outcome.SUPERSEDED,
}
READINESS: Final = {
    "ready": Readiness.READY,
    "draining": Readiness.DRAINING,
    "gone": Readiness.REMOVED,
}
ENDPOINT_LIST_KINDS: Final = {
    "update": EndpointListKind.UPDATE,
    "replace": EndpointListKind.COMPLETE,
    "restored": EndpointListKind.RESTORED,
    "unavailable": EndpointListKind.UNAVAILABLE,
}


def _read_outcome(message: Message) -> Outcome:
    return read_enum("rc", message["rc"], OUTCOMES)


def _read_load_report(message: Message) -> dict[str, float]:
    figures = message.get("telemetry", {})
    return {LOAD_FIELDS.get(name, name): value for name, value in figures.items()}


def read_backend(entry: Message) -> Backend:
    """Reads a backend from its entry in a numbered endpoint list."""
    return Backend(
        id=entry["backend"],
        zone=entry.get("failure-domain", ""),
        kind=entry.get("flavor", ""),
        cell=entry.get("group", 0),
        readiness=read_enum("readiness", entry.get("readiness", "ready"), READINESS),
        weight=entry.get("rating", 1.0),
        started_at=entry.get("up-since-s", 0.0),
    )


def _read_request(message: Message) -> RequestReceived:
    return RequestReceived(
        request_id=message["rid"],
        request_class=message["service"],
        plan=message["tariff"],
        customer=message["account"],
        time_left=message["grace-s"],
        units=message.get("cost-units", 1),
        gateway_count=message.get("spread", 1),
        first_gateway=message.get("set-from", 0),
        is_retry=message.get("repeat", False),
        is_write=message.get("is-write", False),
    )


def _read_response_start(message: Message) -> ResponseStarted:
    return ResponseStarted(
        request_id=message["rid"],
        attempt=message.get("round-no", 0),
        backend=message["backend"],
        latency=message.get("latency-s", 0.0),
    )


def _read_attempt_end(message: Message) -> AttemptEnded:
    return AttemptEnded(
        request_id=message["rid"],
        attempt=message.get("round-no", 0),
        backend=message["backend"],
        outcome=_read_outcome(message),
        latency=message.get("latency-s", 0.0),
        finished=message.get("finished", False),
        metered_use=message.get("used", 0),
        settled_units=message.get("settled", 0),
        load_report=_read_load_report(message),
    )


def _read_disconnection(message: Message) -> ClientDisconnected:
    return ClientDisconnected(message["rid"])


def _read_timer(message: Message) -> TimerFired:
    return TimerFired(message.get("token", 0))


def _read_probe_end(message: Message) -> ProbeEnded:
    return ProbeEnded(
        backend=message["backend"],
        outcome=_read_outcome(message),
        latency=message.get("latency-s", 0.0),
        load_report=_read_load_report(message),
    )


def _read_peer_message(message: Message) -> PeerMessageReceived:
    return PeerMessageReceived(message.get("sender", 0), message.get("content", ""))


def _read_counter_reply(message: Message) -> CounterReply:
    return CounterReply(
        key=message["name"],
        outcome=_read_outcome(message),
        total=message.get("level", 0.0),
        latency=message.get("latency-s", 0.0),
    )


EVENT_READERS: Final[dict[str, Callable[[Message], Event]]] = {
    "Ingress": _read_request,
    "First": _read_response_start,
    "Result": _read_attempt_end,
    "Abandoned": _read_disconnection,
    "Wake": _read_timer,
    "HealthResult": _read_probe_end,
    "Whisper": _read_peer_message,
    "CounterReply": _read_counter_reply,
}
"""Functions that read an event, by message name; `BackendsChanged` is read by the adapter."""


def _write_request_action(
    action: StartAttempt | CancelAttempt | RejectRequest | FailRequest,
) -> Reply:
    match action:
        case StartAttempt(request_id=request_id, backend=backend, timeout=timeout):
            return {"m": "CallOut", "rid": request_id, "backend": backend, "cap-s": timeout}
        case CancelAttempt(request_id=request_id, attempt=attempt):
            return {"m": "AbortAttempt", "rid": request_id, "round-no": attempt}
        case RejectRequest(request_id=request_id, retry_after=retry_after):
            return {"m": "Decline", "rid": request_id, "retry-after-s": retry_after}
        case FailRequest(request_id=request_id):
            return {"m": "Abort", "rid": request_id}


def _write_discovery_action(
    action: StartProbe | CloseIdleConnections | WatchBackends | FetchBackends,
) -> Reply:
    match action:
        case StartProbe(backend=backend):
            return {"m": "Inspect", "backend": backend}
        case CloseIdleConnections(backend=backend):
            return {"m": "Close", "backend": backend}
        case WatchBackends(enabled=enabled):
            return {"m": "Tail", "on": enabled}
        case FetchBackends():
            return {"m": "Lookup"}


def write_action(action: Action) -> Reply:
    """Returns the wire message for an action, without the instance that it belongs to.

    Raises:
        TypeError: The wire protocol has no message for the action.
    """
    match action:
        case StartAttempt() | CancelAttempt() | RejectRequest() | FailRequest():
            return _write_request_action(action)
        case StartProbe() | CloseIdleConnections() | WatchBackends() | FetchBackends():
            return _write_discovery_action(action)
        case SetTimer(delay=delay, token=token):
            return {"m": "Remind", "after-s": delay, "token": token}
        case SendPeerMessage(text=text, peer=peer):
            recipient = ALL_PEERS if peer is None else peer
            return {"m": "Share", "recipient": recipient, "content": text}
        case AddToCounter(key=key, amount=amount, lifetime=lifetime):
            return {"m": "Tally", "name": key, "add": amount, "lifetime-s": lifetime}
        case WriteLog(text=text):
            return {"m": "Record", "reason-text": text}
    raise TypeError(f"no such action: {action!r}")
