"""Tests that the compiled and the interpreted form of the hot modules behave the same."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from ingress.policy.events import (
    AttemptEnded,
    Backend,
    BackendsChanged,
    ClientDisconnected,
    CounterReply,
    EndpointListKind,
    Outcome,
    PeerMessageReceived,
    Readiness,
    RequestReceived,
    TimerFired,
)
from ingress.wire_settings import read_settings
from tests.gateway_simulation import Simulation
from tests.module_forms import forms
from tests.peers import SETTINGS

ROOT = Path(__file__).resolve().parent.parent


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 2**32))
def test_the_same_random_faults_cause_the_same_actions(seed: int) -> None:
    interpreted, compiled = (
        Simulation(form.policy, form.policy_gateway, seed, seconds=4.0) for form in forms()
    )
    interpreted.run()
    compiled.run()
    assert interpreted.seen["StartAttempt"] > 5
    assert interpreted.lines == compiled.lines


def to_form(form: SimpleNamespace, value: Any) -> Any:
    """Returns a copy of the value whose classes are those of `form`."""
    if isinstance(value, Enum):
        return getattr(form.policy, type(value).__name__)[value.name]
    if is_dataclass(value) and not isinstance(value, type):
        values = {f.name: to_form(form, getattr(value, f.name)) for f in fields(value)}
        return getattr(form.policy, type(value).__name__)(**values)
    if isinstance(value, tuple):
        return tuple(to_form(form, part) for part in value)
    return value


def outcome_text(operation: Callable[[], Any]) -> str:
    """Returns the result as text, or the name of the exception's class."""
    try:
        return repr(operation())
    except Exception as error:
        return type(error).__name__


# Integers too: JSON may hold an integer where the code expects a float.
NUMBERS = st.one_of(st.floats(0.0, 5.0), st.integers(0, 5))
IDS, SERVERS = (
    st.sampled_from(["r1", "r2", "r3", "r4"]),
    st.sampled_from(["b0", "b1", "b2", "nobody"]),
)
EVENTS = st.one_of(
    st.builds(
        RequestReceived,
        IDS,
        st.sampled_from(["read", "order"]),
        st.sampled_from(["basic", "none"]),
        st.sampled_from(["c", "d", "é"]),
        NUMBERS,
        NUMBERS,
        st.integers(0, 4),
        st.integers(0, 3),
        st.booleans(),
        st.booleans(),
        st.integers(0, 2),
    ),
    st.builds(
        AttemptEnded,
        IDS,
        st.integers(0, 3),
        SERVERS,
        st.sampled_from(list(Outcome)),
        NUMBERS,
        st.booleans(),
        st.integers(0, 200),
        NUMBERS,
    ),
    st.builds(ClientDisconnected, IDS),
    st.builds(TimerFired, st.integers(0, 2)),
    st.builds(
        CounterReply,
        st.integers(0, 2**62),
        st.sampled_from(list(Outcome)),
        NUMBERS,
        NUMBERS,
    ),
    st.builds(
        PeerMessageReceived,
        st.integers(0, 3),
        st.sampled_from(["", "5 a:10", "9 a:x", "5 a:20 b:1"]),
    ),
    st.builds(
        lambda kind, rows: BackendsChanged(kind, tuple(rows), 1),
        st.sampled_from(list(EndpointListKind)),
        st.lists(
            st.builds(
                Backend,
                SERVERS,
                st.just("a"),
                st.just("m"),
                st.integers(0, 2),
                st.sampled_from(list(Readiness)),
                NUMBERS,
                NUMBERS,
            ),
            max_size=4,
        ),
    ),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(NUMBERS, EVENTS), max_size=40), st.booleans())
def test_any_events_cause_the_same_actions_or_the_same_error(
    events: list[tuple[float, Any]], counts: bool
) -> None:
    """Includes events that no exchange would produce, and integers in place of floats."""
    gateways = []
    for form in forms():
        plans = form.policy.Plan("basic", 2, 8, 3, over_quota_cost=0.5), form.policy.Plan("none")
        classes = (
            form.policy.RequestClass("read", 1, 4),
            form.policy.RequestClass(
                "order",
                1.0,
                4.0,
                semantics=form.policy.RetrySemantics.IDEMPOTENCY_KEY,
                deduplication_window=3,
            ),
        )
        gateways.append(
            form.policy_gateway.Gateway(
                form.policy.Settings(
                    classes,
                    plans,
                    gateway_count=2,
                    warmup_time=2,
                    cold_capacity=0.2,
                    max_attempts=3,
                    counter_available=counts,
                    counter_timeout=0.08,
                ),
                1,
            )
        )
    now = 100.0
    for gap, event in events:
        now += gap
        interpreted, compiled = (
            outcome_text(partial(gateway.handle, now, to_form(form, event)))
            for gateway, form in zip(gateways, forms(), strict=True)
        )
        assert interpreted == compiled


class Script:
    """Client side, backend side and timers of an exchange; records every action of the exchange."""

    def __init__(self, form: SimpleNamespace, max_open: int) -> None:
        self.form, self.now, self.lines = form, 100.0, list[str]()
        self.timers: list[tuple[float, Any, Any]] = []
        config = read_settings(json.loads(json.dumps(SETTINGS)))
        settings_of_form = to_form(form, config)
        self.exchange = form.core_exchange.Exchange(
            form.policy_gateway.Gateway(settings_of_form, 3),
            settings_of_form,
            lambda: self.now,
            self,
            max_open,
            200_000,
        )
        self.exchange.upstream = self
        self.in_flight: list[Any] = []
        self.requests: list[ClientRequest] = []
        rows = tuple(form.policy.Backend(f"s{n}", "a", "m", 1) for n in range(6))
        self.exchange.backends_changed(
            form.policy.EndpointListKind.RESTORED, rows, {row.id: ("h", 1) for row in rows}, 1
        )

    def call_later(self, delay: float, callback: Any, *args: Any) -> SimpleNamespace:
        active = [True]
        self.timers.append((self.now + delay, callback, (active, args)))
        return SimpleNamespace(cancel=lambda: active.__setitem__(0, False))

    def update_endpoints(self, full: bool, backends: Any, addresses: Any) -> None: ...

    def start(self, attempt: Any) -> None:
        self.lines.append(f"start {attempt.request_key} {attempt.number} {attempt.backend}")
        self.in_flight.append(attempt)

    def cancel(self, attempt: Any) -> None:
        self.lines.append(f"cancel {attempt.request_key}")

    def withdraw(self, attempt: Any) -> None:
        self.lines.append(f"withdraw {attempt.request_key}")

    def step(self, action: str, number: int) -> None:
        calls, api = self.form.core_calls, self.form.policy
        if action == "ask":
            client_request = ClientRequest(self, len(self.requests))
            self.requests.append(client_request)
            call = calls.Call(
                b"id%d" % (number % 50),
                f"c{number % 7}",
                "order" if number % 3 else "read",
                "basic",
                2.0,
                1.0,
                1,
                0,
                number % 5 == 0,
                bool(number % 3),
                "key" if number % 3 else "",
            )
            self.lines.append(
                "ask " + outcome_text(lambda: self.exchange.request(client_request, call, self.now))
            )
        elif action == "hang up" and self.requests:
            self.exchange.client_disconnected(self.requests[number % len(self.requests)])
        elif action == "end" and self.in_flight:
            attempt = self.in_flight.pop(number % len(self.in_flight))
            outcome = list(api.Outcome)[number % len(api.Outcome)]
            self.exchange.attempt_ended(
                attempt, outcome, b"v" if outcome is api.Outcome.OK else None, {}
            )
        elif action == "wait":
            self.now += number / 400
            due = sorted((row for row in self.timers if row[0] <= self.now), key=lambda row: row[0])
            self.timers = [row for row in self.timers if row[0] > self.now]
            for _, callback, (active, args) in due:
                if active[0]:
                    callback(*args)
        exchange = self.exchange
        self.lines.append(
            f"{len(exchange.open_requests)} {exchange.buffered_bytes} {len(exchange.attempts)}"
        )


class ClientRequest:
    def __init__(self, script: Script, number: int) -> None:
        self.script, self.number, self.request_key = script, number, ""

    def respond(self, response: Any) -> None:
        self.script.lines.append(f"{self.number}: {response!r}")

    def presence(self) -> Any:
        return self.script.form.core_ports.ClientPresence.CONNECTED


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "ask", "ask", "end", "end", "hang up", "wait"]),
            st.integers(0, 400),
        ),
        max_size=80,
    ),
    st.sampled_from([3, 50]),
)
def test_an_exchange_behaves_the_same_in_both_forms(
    steps: list[tuple[str, int]], max_open: int
) -> None:
    interpreted, compiled = (Script(form, max_open) for form in forms())
    for action, number in steps:
        interpreted.step(action, number)
        compiled.step(action, number)
    assert interpreted.lines == compiled.lines


PIECES = st.sampled_from(
    [
        b"*3\r\n",
        b"*4\r\n",
        b"*0\r\n",
        b"$3\r\nabc\r\n",
        b"$-1\r\n",
        b"$9\r\nabc",
        b"\r\n",
        b"\r",
        b"-BUSY\r\n",
        b"-\r\n",
        b"-ERR failed a=1,active=2\r\n",
        b"$4\r\nPING\r\n",
        b"*1\r\n",
        b"%2\r\n",
        b"!0\r\n\r\n",
        b">1\r\n",
        b"+OK\r\n",
        b"$5\r\nHELLO\r\n",
        b"*2\r\n",
        b"$1\r\n3\r\n",
        b"$5\r\nvalue\r\n",
        b":1\r\n",
        b"$",
        b"*",
        b"$1000000\r\n",
        b"*-1\r\n",
    ]
) | st.binary(max_size=6)


@settings(max_examples=500, deadline=None)
@given(st.lists(PIECES, max_size=8).map(b"".join), st.integers(0, 40))
def test_codecs_decode_the_same_in_both_forms(data: bytes, cut: int) -> None:
    """The input arrives in two reads, split at any position."""
    results = []
    for form in forms():
        limits = form.resp_frames.ArrayLimits(8, 64, 256, True)
        parts: list[bytes | None] = []
        config = to_form(form, read_settings(SETTINGS))
        reasons: Counter[str] = Counter()
        rows = [
            outcome_text(partial(form.resp_frames.find_array_end, data, 0, limits, parts)),
            str(parts),
        ]
        for backend_protocol in (
            form.resp_backend_protocol.RespBackendProtocol(),
            form.resp_resp3_backend_protocol.Resp3BackendProtocol(64, reasons),
        ):
            rows += [
                outcome_text(partial(backend_protocol.receive_data, data[:cut])),
                outcome_text(partial(backend_protocol.receive_data, data[cut:])),
            ]
        for make in (
            form.resp_client_protocol.make_client_protocol,
            form.resp_resp3_client_protocol.make_client_protocol,
        ):
            client_protocol = make(config)()
            rows += [
                outcome_text(partial(client_protocol.find_frame_end, data[:cut], 0)),
                outcome_text(partial(client_protocol.find_frame_end, data, 0)),
            ]
            rows.append(outcome_text(partial(client_protocol.decode_request, data)))
        results.append((rows, reasons))
    assert results[0] == results[1]
    assert not any("SystemError" in row for row in results[0][0])
