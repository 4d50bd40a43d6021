"""Models the network that carries attempts to backends and their outcomes back to gateways."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ingress.policy.actions import StartAttempt
from ingress.policy.events import AttemptEnded, Outcome
from ingress.simulation.backend import AttemptWork
from ingress.simulation.environment import Environment
from ingress.simulation.metrics import FleetMetrics
from ingress.simulation.requests import Attempt, OpenRequests, Request

NEW_CONNECTION_TRIPS: Final = 3  # one-way delays: a handshake (2) and the request (1)


class AttemptNetwork:
    """Carries attempts from gateways to backends and their outcomes back.

    Args:
        environment: Simulation that the network belongs to.
        metrics: Counts the attempts and their outcomes.
        open_requests: Requests that have not ended, by gateway and ID.
        on_served: Called with the time and the request when a backend serves a request.
    """

    def __init__(
        self,
        environment: Environment,
        metrics: FleetMetrics,
        open_requests: OpenRequests,
        on_served: Callable[[float, Request], None],
    ) -> None:
        self.environment = environment
        self.metrics = metrics
        self.open_requests = open_requests
        self.on_served = on_served
        self.delay = environment.size.network_delay

    def send(self, now: float, gateway: int, action: StartAttempt) -> None:
        """Sends an attempt, or reports it to the gateway as superseded if its request has ended."""
        environment = self.environment
        request = self.open_requests[gateway].get(action.request_id)
        if request is None or request.answered:
            number = 0 if request is None else request.attempt_count
            incarnation = environment.incarnations[gateway]
            environment.schedule(0.0, self._supersede, gateway, incarnation, action, number)
            return
        attempt = self._new_attempt(now, request, action)
        if action.timeout:
            environment.schedule(action.timeout, self._time_out, attempt)
        if environment.is_partitioned(gateway, attempt.backend):
            return  # no outcome but the timeout
        self._connect(now, attempt)

    def abandon(self, now: float, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        """Ends an attempt whose result is no longer needed."""
        if attempt.work is not None:
            attempt.work.abandoned = True
        self._end(now, attempt, outcome)

    def _new_attempt(self, now: float, request: Request, action: StartAttempt) -> Attempt:
        number = request.attempt_count
        request.attempt_count += 1
        backend = self.environment.backends[action.backend]
        attempt = Attempt(request, number, backend, now)
        request.attempt = attempt
        self.metrics.on_attempt_sent(now, request.customer, number, request.request_class)
        return attempt

    def _connect(self, now: float, attempt: Attempt) -> None:
        schedule = self.environment.schedule
        backend = attempt.backend
        if not backend.up:
            schedule(2 * self.delay, self._end, attempt, Outcome.CONNECT_FAILED)
            return
        is_new = backend.connect(attempt.request.gateway, now)
        if is_new is None:
            schedule(2 * self.delay, self._end, attempt, Outcome.OVERLOADED)
            return
        trips = NEW_CONNECTION_TRIPS if is_new else 1
        schedule(self.delay * trips, self._arrive, attempt, is_new)

    def _supersede(
        self, now: float, gateway: int, incarnation: int, action: StartAttempt, number: int
    ) -> None:
        if incarnation != self.environment.incarnations[gateway]:
            return
        ended = AttemptEnded(
            action.request_id, number, action.backend, Outcome.SUPERSEDED, finished=True
        )
        self.environment.gateways[gateway].handle(now, ended)

    def _arrive(self, now: float, attempt: Attempt, is_new: bool) -> None:
        backend = attempt.backend
        if attempt.ended:
            backend.release(attempt.request.gateway, now, keep_alive=False)
            return
        if not backend.up:
            self._end(now, attempt, Outcome.RESET)
            return

        def on_end(served: bool) -> None:
            if not attempt.ended:
                outcome = Outcome.OK if served else Outcome.RESET
                self.environment.schedule(self.delay, self._end, attempt, outcome)

        work = AttemptWork(attempt.request.core_s, on_end, on_new_connection=is_new)
        attempt.work = work
        self.metrics.on_attempt_arrived(now, backend)
        if not backend.accept(now, work):
            attempt.work = None
            self.environment.schedule(self.delay, self._end, attempt, Outcome.OVERLOADED)

    def _time_out(self, now: float, attempt: Attempt) -> None:
        if not attempt.ended:
            self.abandon(now, attempt, Outcome.TIMEOUT)

    def _end(self, now: float, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        request = attempt.request
        self._release_connection(now, attempt, outcome)
        if request.attempt is attempt:
            request.attempt = None
        if request.incarnation != self.environment.incarnations[request.gateway]:
            return
        if outcome is Outcome.OK and not request.answered:
            self.on_served(now, request)
        self.metrics.on_attempt_ended(outcome)
        ended = AttemptEnded(
            request.request_id,
            attempt.number,
            attempt.backend.name,
            outcome,
            now - attempt.sent_at,
            request.answered,
        )
        self.environment.gateways[request.gateway].handle(now, ended)

    def _release_connection(self, now: float, attempt: Attempt, outcome: Outcome) -> None:
        backend = attempt.backend
        if not backend.up or outcome is Outcome.CONNECT_FAILED:
            return
        if attempt.work is not None or outcome is Outcome.OVERLOADED:
            keep_alive = outcome in (Outcome.OK, Outcome.OVERLOADED)
            backend.release(attempt.request.gateway, now, keep_alive=keep_alive)
