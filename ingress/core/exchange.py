"""The exchange: feeds events to the policy, carries out its actions, answers each request once."""

from __future__ import annotations

import collections
import logging
from collections import deque
from collections.abc import Mapping
from typing import Final

from ingress.core.calls import (
    FAILED_RESPONSE,
    REJECTED_RESPONSE,
    Call,
    DuplicateRequestError,
    Response,
    ResponseKind,
)
from ingress.core.clock import Clock
from ingress.core.departed_ids import DepartedIds
from ingress.core.open_request import FORCED_RESPONSE_MARGIN_S, OpenRequest, policy_timeout
from ingress.core.ports import (
    Attempt,
    ClientPresence,
    Counter,
    Downstream,
    PlacementTracker,
    Policy,
    Timers,
    Upstream,
)
from ingress.core.rejection import RejectionReason
from ingress.policy.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchBackends,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchBackends,
    WriteLog,
)
from ingress.policy.events import (
    AttemptEnded,
    Backend,
    BackendsChanged,
    ClientDisconnected,
    EndpointListKind,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from ingress.policy.settings import RetrySemantics, Settings

log = logging.getLogger(__name__)

# One id of a departed client is remembered for each of these bytes of the limit on buffered bytes.
BUFFER_BYTES_PER_DEPARTED_ID: Final = 256


class Exchange:
    """Holds the open requests of all clients; the policy makes all decisions.

    A call is rejected immediately while `max_open_requests` requests are open or the open requests
    hold more than `max_buffered_bytes`.

    Attributes:
        upstream: Carries the attempts; must be set before the first event.
        counter: The shared counter, if there is one.
        placement: Tracks where calls with an idempotency key may run, if the backends do not all
            share one memory of keys.
        open_requests: The open requests, by the exchange's id for each.
        client_request_ids: The clients' ids of the requests that have no response yet.
        departed_ids: The clients' ids of requests that may have run for a client that has left.
        attempts: The attempts in flight, by the request's key and the attempt's number.
        buffered_bytes: Bytes held by the open requests.
        request_count: The number of requests opened since the start.
        attempt_count: The number of attempts started since the start.
        pending_events: Events that occurred while the policy was handling another one.
        handling: Whether the policy is handling an event.
        rejecting_all: Whether new requests are rejected, since the process is about to end.
        rejections: The number of requests rejected without a decision of the policy, by reason.
        unsupported_actions: Names of unsupported actions that have been logged.
        deduplication_windows: Seconds for which backends remember idempotency keys, by request
            class; only classes with keys.
    """

    upstream: Upstream

    def __init__(
        self,
        policy: Policy,
        settings: Settings,
        clock: Clock,
        timers: Timers,
        max_open_requests: int,
        max_buffered_bytes: int,
    ) -> None:
        self.policy = policy
        self.settings = settings
        self.clock = clock
        self.timers = timers
        self.max_open_requests = max_open_requests
        self.max_buffered_bytes = max_buffered_bytes
        self.counter: Counter | None = None
        self.placement: PlacementTracker | None = None
        self.open_requests: dict[str, OpenRequest] = {}
        self.client_request_ids: set[bytes] = set()
        self.departed_ids = DepartedIds(max_buffered_bytes // BUFFER_BYTES_PER_DEPARTED_ID)
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.buffered_bytes = 0
        self.request_count = 0
        self.attempt_count = 0
        self.pending_events: deque[Event] = deque()
        self.handling = False
        self.rejecting_all = False
        self.rejections: collections.Counter[RejectionReason] = collections.Counter()
        self.unsupported_actions: set[str] = set()
        self.deduplication_windows = {
            cls.name: cls.deduplication_window
            for cls in settings.classes
            if cls.semantics is RetrySemantics.IDEMPOTENCY_KEY
        }

    # Clients

    def request(self, downstream: Downstream, call: Call, arrived_at: float) -> None:
        """Opens a request for a call; exactly one response follows unless the client disconnects.

        Args:
            downstream: The client's side.
            call: The client's call.
            arrived_at: The time at which its last byte arrived; may be long ago if the process was
                paused.

        Raises:
            DuplicateRequestError: An open request has the same client request id, or one that may
                have run although its client has disconnected.
        """
        if call.client_request_id in self.client_request_ids:
            self.rejections[RejectionReason.DUPLICATE_ID] += 1
            raise DuplicateRequestError("the id belongs to an open request")
        if self.departed_ids.contains(call.client_request_id, self.clock()):
            self.rejections[RejectionReason.DUPLICATE_ID] += 1
            raise DuplicateRequestError("the id belongs to a request that may have run")
        time_left = arrived_at + call.timeout - self.clock()
        time_for_policy = policy_timeout(call.timeout, time_left)
        reason = self._rejection_reason(time_for_policy)
        if reason is not None:
            self.rejections[reason] += 1
            downstream.respond(REJECTED_RESPONSE)
            return
        cell = 0
        if self.placement is not None and call.idempotency_key:
            constraint = self.placement.admit(call, self.clock())
            if constraint.retry_after > 0:
                self.rejections[RejectionReason.KEY_IN_DOUBT] += 1
                retry_after = constraint.retry_after
                downstream.respond(Response(ResponseKind.REJECTED, retry_after=retry_after))
                return
            cell = constraint.cell
        request = self._open(downstream, call, arrived_at + call.timeout, time_left)
        self.feed(request.received_event(time_for_policy, cell))

    def _rejection_reason(self, time_for_policy: float) -> RejectionReason | None:
        """Returns why a request can't be opened, or None if it can."""
        if self.rejecting_all:
            return RejectionReason.SHUTDOWN
        if len(self.open_requests) >= self.max_open_requests:
            return RejectionReason.OPEN_REQUESTS
        if self.buffered_bytes > self.max_buffered_bytes:
            return RejectionReason.MEMORY
        if time_for_policy <= 0:
            return RejectionReason.EXPIRED
        return None

    def _open(
        self, downstream: Downstream, call: Call, deadline: float, time_left: float
    ) -> OpenRequest:
        # The client's id can't serve as the key: a client may reuse it after the request has ended.
        self.request_count += 1
        key = str(self.request_count)
        downstream.request_key = key
        request = OpenRequest(key, downstream, call, deadline)
        self.open_requests[key] = request
        self.buffered_bytes += request.size_bytes
        self.client_request_ids.add(call.client_request_id)
        delay = max(0.0, time_left - FORCED_RESPONSE_MARGIN_S)
        request.timer = self.timers.call_later(delay, self._force_response, request)
        return request

    def client_disconnected(self, downstream: Downstream) -> None:
        """Closes the open request of a client that has disconnected, if it has one."""
        request = self.open_requests.get(downstream.request_key)
        if request is not None and not request.answered:
            self._remember_departed(request)
            self._close(request)
            self.feed(ClientDisconnected(request.key))

    def _remember_departed(self, request: OpenRequest) -> None:
        """Remembers the id of a request that may have run, so that it does not run again."""
        if request.may_have_run():
            self.departed_ids.add(request.call.client_request_id, self.clock())

    def reject_new_requests(self) -> None:
        """Rejects all later requests, since the process ends before they can be forwarded."""
        self.rejecting_all = True

    def fail_open_requests(self) -> None:
        """Fails all open requests, since the process is about to end."""
        for request in list(self.open_requests.values()):
            self._fail(request)

    def _force_response(self, request: OpenRequest) -> None:
        """Fails a request that is not answered in time, whatever the policy or a peer does."""
        if not request.answered:
            log.warning("forced a final response: %s", request.describe_attempts(self.clock()))
            self._fail(request)

    def _fail(self, request: OpenRequest) -> None:
        if not request.answered:
            self._answer(request, FAILED_RESPONSE)
            self.feed(ClientDisconnected(request.key))

    def _answer(self, request: OpenRequest, response: Response) -> None:
        self._close(request)
        request.downstream.respond(response)

    def _close(self, request: OpenRequest) -> None:
        """Marks a request as one for which no client waits any more."""
        request.answered = True
        self.client_request_ids.discard(request.call.client_request_id)
        if request.timer is not None:
            request.timer.cancel()
        if request.attempt_in_flight is not None:
            # An attempt that still waits for a connection would only waste work at a backend.
            self.upstream.withdraw(request.attempt_in_flight)

    def _remove_request(self, key: str) -> None:
        """Removes a request whose end has been reported to the policy."""
        request = self.open_requests.pop(key, None)
        if request is not None:
            self.buffered_bytes -= request.size_bytes

    # Discovery and backends

    def backends_changed(
        self,
        kind: EndpointListKind,
        backends: tuple[Backend, ...],
        addresses: dict[str, tuple[str, int]],
        version: int,
    ) -> None:
        """Applies the endpoint list, or changes to it.

        Args:
            kind: Which entries of the list `backends` holds.
            backends: Entries of the list.
            addresses: Host and port of each backend, by its id.
            version: A number that increases with each change of the list.
        """
        self.upstream.update_endpoints(kind is not EndpointListKind.UPDATE, backends, addresses)
        self.feed(BackendsChanged(kind, backends, version))

    def attempt_ended(
        self, attempt: Attempt, outcome: Outcome, value: bytes | None, load: Mapping[str, float]
    ) -> None:
        """Handles the outcome of an attempt, which the upstream reports once.

        Args:
            attempt: The attempt.
            outcome: How the attempt ended.
            value: The backend's value if it served the request, else None.
            load: The backend's load report.
        """
        request = self.open_requests.get(attempt.request_key)
        self.attempts.pop((attempt.request_key, attempt.number), None)
        if self.placement is not None and attempt.call.idempotency_key:
            self.placement.ended(attempt, outcome)
        if request is not None:
            self._apply_outcome(request, attempt, outcome, value)
        self.feed(
            AttemptEnded(
                attempt.request_key,
                attempt.number,
                attempt.backend,
                outcome,
                self.clock() - attempt.sent_at,
                request is None or request.answered,
                load_report=load,
            )
        )

    def _apply_outcome(
        self, request: OpenRequest, attempt: Attempt, outcome: Outcome, value: bytes | None
    ) -> None:
        """Answers a request from an attempt's outcome, or records that the attempt may have run."""
        if request.attempt_in_flight is attempt:
            request.attempt_in_flight = None
        if request.answered:
            return
        if value is not None:
            self._answer(request, Response(ResponseKind.SERVED, value))
        elif attempt.final_response is not None:
            self._answer(request, attempt.final_response)
        elif request.possibly_ran_at is None and not outcome.never_ran:
            request.possibly_ran_at = attempt.sent_at

    # The policy

    def feed(self, event: Event) -> None:
        """Passes an event to the policy, or queues it while the policy is handling another one."""
        if self.handling:
            self.pending_events.append(event)
            return
        self.handling = True
        try:
            self._handle(event)
            while self.pending_events:
                self._handle(self.pending_events.popleft())
        finally:
            self.handling = False

    def _handle(self, event: Event) -> None:
        policy_failed = False
        try:
            actions = self.policy.handle(self.clock(), event)
        except Exception:
            # A fault in the policy must end neither the process nor other requests. The actions
            # decided before it (setting a timer again, for example) are carried out, and this
            # request fails.
            log.exception("the policy failed on %s", type(event).__name__)
            actions = self.policy.actions
            policy_failed = True
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:  # the remaining actions must still be carried out
                log.exception("failed to carry out %s", type(action).__name__)
        if isinstance(event, RequestReceived | AttemptEnded | ClientDisconnected):
            self._finish_handling(event, policy_failed)

    def _finish_handling(
        self, event: RequestReceived | AttemptEnded | ClientDisconnected, policy_failed: bool
    ) -> None:
        """Removes the event's request if the event ended it; fails it if the policy failed."""
        request = self.open_requests.get(event.request_id)
        if request is None:
            return
        if isinstance(event, ClientDisconnected) or (
            isinstance(event, AttemptEnded) and event.finished
        ):
            self._remove_request(event.request_id)
        elif policy_failed:
            self._fail(request)

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case RejectRequest(request_id=key, retry_after=retry_after):
                retry_after = max(0.0, retry_after)
                self._end_request(key, Response(ResponseKind.REJECTED, retry_after=retry_after))
            case FailRequest(request_id=key):
                self._end_request(key, FAILED_RESPONSE)
            case SetTimer(delay=delay, token=token):
                self.timers.call_later(max(0.0, delay), self.feed, TimerFired(token))
            case AddToCounter(key=counter_key, amount=amount, lifetime=lifetime) if (
                self.counter is not None
            ):
                self.counter.call(counter_key, amount, lifetime)
            case _:
                self._carry_out_rare(action)

    def _carry_out_rare(self, action: Action) -> None:
        match action:
            case CancelAttempt(request_id=key, attempt=number):
                attempt = self.attempts.get((key, number))
                if attempt is not None:
                    self.upstream.cancel(attempt)
            case CloseIdleConnections(backend=backend):
                self.upstream.close_idle(backend)
            case WriteLog(text=text):
                log.info("%s", text)
            case WatchBackends() | FetchBackends():
                pass  # the endpoint list is watched all the time
            case _:
                self._warn_unsupported(type(action).__name__)

    def _warn_unsupported(self, name: str) -> None:
        if name not in self.unsupported_actions:
            self.unsupported_actions.add(name)
            log.warning("the policy's action %s is not supported", name)

    def _end_request(self, key: str, response: Response) -> None:
        request = self.open_requests.get(key)
        if request is not None:
            if not request.answered:
                self._answer(request, response)
            self._remove_request(key)

    def _start_attempt(self, action: StartAttempt) -> None:
        request = self.open_requests.get(action.request_id)
        now = self.clock()
        number = 0
        if request is not None:
            number = request.attempt_count
            request.attempt_count += 1
        if request is None or request.answered or number >= self.settings.max_attempts:
            finished = request is None or request.answered
            self._feed_superseded(action, number, finished)
            return
        presence = request.downstream.presence()
        if presence is not ClientPresence.CONNECTED:
            self._end_unattended(request, presence)
            self._feed_superseded(action, number, True)
            return
        if request.attempt_in_flight is not None:
            # A request has at most one attempt in flight.
            self.upstream.cancel(request.attempt_in_flight)
        deadline = request.deadline - FORCED_RESPONSE_MARGIN_S
        if action.timeout:
            deadline = min(deadline, now + action.timeout)
        attempt = Attempt(request.key, number, action.backend, now, deadline, request.call)
        request.attempt_in_flight = attempt
        attempt.is_awaited = request.is_awaited
        attempt.write_by = request.write_by(
            deadline, self.deduplication_windows.get(request.call.request_class, 0.0)
        )
        self.attempts[request.key, number] = attempt
        if self.placement is not None and request.call.idempotency_key:
            self.placement.sent(attempt, now)
        self.attempt_count += 1
        self.upstream.start(attempt)

    def _end_unattended(self, request: OpenRequest, presence: ClientPresence) -> None:
        """Ends a request whose client does not surely wait for its response."""
        if request.attempt_in_flight is not None:
            self.upstream.cancel(request.attempt_in_flight)
        if presence is ClientPresence.GONE:
            self.rejections[RejectionReason.CLIENT_GONE] += 1
            self._remember_departed(request)
            self._close(request)
            return
        self.rejections[RejectionReason.CLIENT_UNKNOWN] += 1
        self._answer(request, FAILED_RESPONSE if request.may_have_run() else REJECTED_RESPONSE)

    def _feed_superseded(self, action: StartAttempt, number: int, finished: bool) -> None:
        superseded = Outcome.SUPERSEDED
        self.feed(
            AttemptEnded(action.request_id, number, action.backend, superseded, finished=finished)
        )
