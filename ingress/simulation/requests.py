"""Requests of clients and their attempts at backends."""

from __future__ import annotations

from ingress.policy.settings import RequestClass
from ingress.simulation.backend import AttemptWork, SimulatedBackend
from ingress.simulation.environment import Customer


class Request:
    """One request that a client sends, which may itself be a retry.

    Attributes:
        request_id: ID, unique in the run.
        customer: Customer that sends the request.
        request_class: Class of the request.
        core_s: Core time in seconds that each attempt takes.
        retry_number: Number of earlier requests that this request retries.
        sent_at: Time at which the client sent the request.
        gateway: Index of the gateway that receives the request.
        incarnation: Incarnation of that gateway when the request was sent.
        attempt_count: Number of attempts so far.
        answered: Whether the request has ended.
        attempt: Latest attempt while it is in flight, otherwise None.
    """

    __slots__ = (
        "answered",
        "attempt",
        "attempt_count",
        "core_s",
        "customer",
        "gateway",
        "incarnation",
        "request_class",
        "request_id",
        "retry_number",
        "sent_at",
    )

    def __init__(
        self,
        request_id: str,
        customer: Customer,
        request_class: RequestClass,
        core_s: float,
        retry_number: int,
        sent_at: float,
        gateway: int,
        incarnation: int,
    ) -> None:
        self.request_id = request_id
        self.customer = customer
        self.request_class = request_class
        self.core_s = core_s
        self.retry_number = retry_number
        self.sent_at = sent_at
        self.gateway = gateway
        self.incarnation = incarnation
        self.attempt_count = 0
        self.answered = False
        self.attempt: Attempt | None = None


class Attempt:
    """One attempt at a backend.

    Attributes:
        request: Request that the attempt belongs to.
        number: Index among the attempts of the request, from 0.
        backend: Backend that the attempt is sent to.
        sent_at: Time at which the gateway sent the attempt.
        ended: Whether the outcome is known.
        work: Work sent to the backend, or None before arrival and after rejection.
    """

    __slots__ = ("backend", "ended", "number", "request", "sent_at", "work")

    def __init__(
        self, request: Request, number: int, backend: SimulatedBackend, sent_at: float
    ) -> None:
        self.request = request
        self.number = number
        self.backend = backend
        self.sent_at = sent_at
        self.ended = False
        self.work: AttemptWork | None = None


OpenRequests = list[dict[str, Request]]
"""Requests that have not ended, by gateway index and request ID."""
