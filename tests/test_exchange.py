"""Tests of the exchange with arbitrary actions of the policy, the upstream and the clients."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from ingress.core.calls import Call, DuplicateRequestError, Response, ResponseKind
from ingress.core.departed_ids import RETENTION_S
from ingress.core.exchange import Exchange
from ingress.core.ports import Attempt, ClientPresence
from ingress.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    StartProbe,
)
from ingress.policy.events import (
    Backend,
    EndpointListKind,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from ingress.policy.settings import Plan, RequestClass, Settings

SETTINGS = Settings(
    classes=(RequestClass("read", 1.0, 2.0),), plans=(Plan("basic"),), max_attempts=3
)
OUTCOMES = [outcome for outcome in Outcome if outcome is not Outcome.SUPERSEDED]
MAX_OPEN_REQUESTS = 6
MAX_BUFFERED_BYTES = 1 << 20


class Timer:
    def __init__(self, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.callback = callback
        self.args = args
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Timers:
    """A clock in virtual time, and the timers set on it."""

    def __init__(self) -> None:
        self.now = 100.0
        self.count = 0
        self.pending: list[tuple[float, int, Timer]] = []

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        assert delay >= 0
        timer = Timer(callback, args)
        self.count += 1
        heapq.heappush(self.pending, (self.now + delay, self.count, timer))
        return timer

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.pending and self.pending[0][0] <= end:
            self.now, _, timer = heapq.heappop(self.pending)
            if not timer.cancelled:
                timer.callback(*timer.args)
        self.now = end


class Client:
    """The downstream of one call, which may disconnect as soon as it is answered."""

    def __init__(self, machine: Exchanges, deadline: float, disconnects: bool) -> None:
        self.machine = machine
        self.deadline = deadline
        self.disconnects = disconnects
        self.request_key = ""
        self.has_disconnected = False
        self.responses: list[Response] = []

    def respond(self, response: Response) -> None:
        self.machine.expect(not self.has_disconnected, "no response to a disconnected client")
        self.machine.expect(
            self.machine.timers.now <= self.deadline, "no response after the client's timeout"
        )
        self.responses.append(response)
        if self.disconnects:
            self.machine.exchange.client_disconnected(self)

    def presence(self) -> ClientPresence:
        return ClientPresence.GONE if self.has_disconnected else ClientPresence.CONNECTED


class DrawnPolicy:
    """Returns the drawn actions for the next event, in any order, and may raise in between."""

    def __init__(self) -> None:
        self.plan: list[str] = []
        self.actions: list[Action] = []
        self.handled_events: list[Event] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        self.handled_events.append(event)
        self.actions = []
        key = getattr(event, "request_id", "1")
        plan = self.plan
        if not isinstance(event, RequestReceived | TimerFired):
            self.plan = []  # no further actions for events that its own actions cause
        for step in plan:
            self.actions += self._actions(step, key)
        return self.actions

    def _actions(self, step: str, key: str) -> list[Action]:
        match step:
            case "send":
                return [StartAttempt(key, "s1", 0.5)]
            case "reject":
                return [RejectRequest(key, 0.2)]
            case "fail":
                return [FailRequest(key)]
            case "cancel":
                return [CancelAttempt(key, number) for number in range(3)]
            case "timer":
                return [SetTimer(0.1, 1)]
            case "other":  # actions on requests that have ended or never existed
                return [
                    StartAttempt("1", "s1"),
                    FailRequest("2"),
                    RejectRequest("77"),
                    StartProbe("s1"),
                ]
            case _:
                raise RuntimeError("fault in the policy")


class Exchanges(RuleBasedStateMachine):
    """One exchange with its policy, upstream and clients.

    The machine itself is the upstream, which keeps each attempt until a rule ends it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.timers = Timers()
        self.policy = DrawnPolicy()
        self.exchange = Exchange(
            self.policy,
            SETTINGS,
            lambda: self.timers.now,
            self.timers,
            MAX_OPEN_REQUESTS,
            MAX_BUFFERED_BYTES,
        )
        self.exchange.upstream = self
        self.clients: list[Client] = []
        self.departed: dict[bytes, float] = {}  # ids that may have run, until when
        self.in_flight: list[Attempt] = []
        self.outcome_at_once: Outcome | None = None
        self.withdrawals = 0
        self.violations: list[str] = []

    def expect(self, is_met: bool, rule: str) -> None:
        """Records a violated rule, since the exchange only logs exceptions raised here."""
        if not is_met:
            self.violations.append(rule)

    # The upstream

    def update_endpoints(self, full: bool, backends: Any, addresses: Any) -> None:
        self.listed_backends = backends

    def start(self, attempt: Attempt) -> None:
        key = attempt.request_key
        client = next(client for client in self.clients if client.request_key == key)
        self.expect(not client.responses, "no attempt after the response")
        self.expect(not client.has_disconnected, "no attempt after the client disconnected")
        self.expect(attempt.deadline <= client.deadline, "no attempt beyond the client's timeout")
        others = [other for other in self.in_flight if other.request_key == key]
        self.expect(not others, "at most one attempt of a request in flight")
        self.in_flight.append(attempt)
        if self.outcome_at_once is not None:
            self.end(attempt, self.outcome_at_once)

    def cancel(self, attempt: Attempt) -> None:
        self.end(attempt, Outcome.CANCELLED)

    def withdraw(self, attempt: Attempt) -> None:
        """Ends every other attempt as one that was not written yet."""
        request = self.exchange.open_requests[attempt.request_key]
        self.expect(request.answered, "no withdrawal before the client is answered")
        self.withdrawals += 1
        if self.withdrawals % 2:
            self.end(attempt, Outcome.SUPERSEDED)

    def close_idle(self, backend: str) -> None:
        raise RuntimeError("fault in the upstream")

    def close(self) -> None:
        pass

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt in self.in_flight:
            self.in_flight.remove(attempt)
            value = b"value" if outcome is Outcome.OK else None
            self.exchange.attempt_ended(attempt, outcome, value, {})

    # Rules and invariants

    plans = st.lists(
        st.sampled_from(["send", "send", "reject", "fail", "cancel", "timer", "other", "fault"]),
        max_size=4,
    )

    @initialize()
    def list_backends(self) -> None:
        self.exchange.backends_changed(
            EndpointListKind.RESTORED, (Backend("s1"),), {"s1": ("127.0.0.1", 1)}, 1
        )

    @rule(
        plan=plans,
        at_once=st.sampled_from([None, *OUTCOMES]),
        timeout=st.floats(0.001, 2.0),
        name=st.integers(0, 4),
        disconnects=st.booleans(),
    )
    def request(
        self,
        plan: list[str],
        at_once: Outcome | None,
        timeout: float,
        name: int,
        disconnects: bool,
    ) -> None:
        self.policy.plan = list(plan)
        self.outcome_at_once = at_once
        client = Client(self, self.timers.now + timeout, disconnects)
        call = Call(b"%d" % name, "c", "read", "basic", timeout, 1.0, 1, 0, False, False)
        names_in_use = {
            request.call.client_request_id
            for request in self.exchange.open_requests.values()
            if not request.answered
        }
        # An id whose request may have run for a client that has left must not run again.
        names_in_use |= {
            request_id for request_id, end in self.departed.items() if self.timers.now < end
        }
        self.clients.append(client)
        try:
            self.exchange.request(client, call, self.timers.now)
        except DuplicateRequestError:
            self.clients.remove(client)
            assert call.client_request_id in names_in_use
        else:
            assert call.client_request_id not in names_in_use

    @precondition(lambda self: self.in_flight)
    @rule(pick=st.integers(0, 99), outcome=st.sampled_from(OUTCOMES), plan=plans)
    def attempt_ends(self, pick: int, outcome: Outcome, plan: list[str]) -> None:
        self.policy.plan = list(plan)
        self.end(self.in_flight[pick % len(self.in_flight)], outcome)

    @precondition(lambda self: self.clients)
    @rule(pick=st.integers(0, 99), plan=plans)
    def disconnect(self, pick: int, plan: list[str]) -> None:
        self.policy.plan = list(plan)
        client = self.clients[pick % len(self.clients)]
        client.has_disconnected = client.has_disconnected or not client.responses
        request = self.exchange.open_requests.get(client.request_key)
        if request is not None and not request.answered and request.may_have_run():
            self.departed[request.call.client_request_id] = self.timers.now + RETENTION_S
        self.exchange.client_disconnected(client)

    @rule(seconds=st.floats(0.001, 3.0), plan=plans)
    def time_passes(self, seconds: float, plan: list[str]) -> None:
        self.policy.plan = [step for step in plan if step != "timer"]  # else it never ends
        self.timers.advance(seconds)

    @rule()
    def process_shuts_down(self) -> None:
        self.exchange.fail_open_requests()
        assert all(client.responses or client.has_disconnected for client in self.clients)

    @invariant()
    def no_expectation_is_violated(self) -> None:
        assert not self.violations

    @invariant()
    def each_request_is_answered_once_and_in_time(self) -> None:
        for client in self.clients:
            assert len(client.responses) <= 1
            end_count = len(client.responses) + client.has_disconnected
            assert end_count == 1 or self.timers.now < client.deadline
            assert end_count or client.request_key in self.exchange.open_requests

    @invariant()
    def tables_are_consistent(self) -> None:
        in_flight = {(attempt.request_key, attempt.number) for attempt in self.in_flight}
        assert in_flight == set(self.exchange.attempts)
        sizes = [request.size_bytes for request in self.exchange.open_requests.values()]
        assert self.exchange.buffered_bytes == sum(sizes)

    def teardown(self) -> None:
        self.policy.plan = []
        self.timers.advance(10.0)
        for attempt in list(self.in_flight):
            self.end(attempt, Outcome.RESET)
        assert not self.violations
        assert all(len(client.responses) + client.has_disconnected == 1 for client in self.clients)
        exchange = self.exchange
        assert not exchange.open_requests
        assert not exchange.client_request_ids
        assert not exchange.attempts
        assert not exchange.buffered_bytes
        assert not exchange.pending_events


TestExchange = Exchanges.TestCase
TestExchange.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)


@pytest.mark.parametrize("outcome", OUTCOMES)
def test_only_an_attempt_with_a_value_serves_its_request(outcome: Outcome) -> None:
    machine = Exchanges()
    machine.list_backends()
    machine.policy.plan = ["send"]
    client = Client(machine, machine.timers.now + 1.0, False)
    machine.clients.append(client)
    call = Call(b"a", "c", "read", "basic", 1.0, 1.0, 1, 0, False, False)
    machine.exchange.request(client, call, machine.timers.now)
    machine.policy.plan = []
    machine.end(machine.in_flight[0], outcome)
    machine.timers.advance(2.0)
    kind = ResponseKind.SERVED if outcome is Outcome.OK else ResponseKind.FAILED
    assert [response.kind for response in client.responses] == [kind]
