"""Models clients: when requests arrive, at which gateway, and how clients retry."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from ingress.policy.events import ClientDisconnected, RequestReceived
from ingress.policy.settings import RequestClass
from ingress.simulation.environment import Customer, Environment
from ingress.simulation.metrics import FleetMetrics, ResponseKind
from ingress.simulation.requests import Attempt, OpenRequests, Request
from ingress.simulation.size import CLASS_SHARES, CLASSES

GRACE_PERIOD_S: Final = 4.0  # after the last arrival; all requests must end within it
CONNECT_FAILURE_DELAY_S: Final = 0.05  # until a client detects that a gateway is down
EXPIRY_MARGIN_S: Final = 0.005  # a request without a response ends this long before its deadline
CLIENT_MARGIN_S: Final = 0.02  # the timeout that a client sends is this much below the deadline
MAX_RETRY_DELAY_S: Final = 2.0
BACKOFF_VARIATION: Final = (0.5, 1.5)  # range of a random factor


class ClientTraffic:
    """The clients of all customers.

    Attributes:
        load_factor: Rate of first requests, relative to the normal rate.
        hot_share: Share of the requests that arrive at gateway 0 instead of the chosen gateway.
        considered_up: Whether clients consider each gateway to be up, by gateway index.
    """

    def __init__(
        self,
        environment: Environment,
        metrics: FleetMetrics,
        open_requests: OpenRequests,
        arrival_rng: Random,
        abandon: Callable[[float, Attempt], None],
    ) -> None:
        self.environment = environment
        self.metrics = metrics
        self.open_requests = open_requests
        self.arrival_rng = arrival_rng
        self.abandon = abandon
        self.load_factor = 1.0
        self.hot_share = 0.0
        self.considered_up = [True] * environment.size.gateways
        self.request_count = 0

    def start(self, customer: Customer) -> None:
        """Starts the arrivals of a customer's requests."""
        delay = self.arrival_rng.expovariate(customer.request_rate)
        self.environment.schedule(delay, self._on_arrival, customer)

    def send_first_request(self, now: float, customer: Customer) -> None:
        """Sends a first request of a random class and size."""
        size = self.environment.size
        request_class = self.arrival_rng.choices(CLASSES, CLASS_SHARES)[0]
        core_s = self.arrival_rng.expovariate(1.0 / size.mean_core_s)
        self.metrics.on_first_request(now, customer, request_class)
        self._send(now, customer, request_class, core_s, 0, None)

    def respond(self, now: float, request: Request, kind: ResponseKind, retry_after: float) -> None:
        """Ends a request with its only final response, unless it has already ended."""
        if request.answered:
            return
        request.answered = True
        self.open_requests[request.gateway].pop(request.request_id, None)
        if request.attempt is not None and kind is not ResponseKind.SERVED:
            self.abandon(now, request.attempt)
        self._on_response(now, request, kind, retry_after)

    def on_served(self, now: float, request: Request) -> None:
        """Ends a request with a backend's response."""
        self.respond(now, request, ResponseKind.SERVED, 0.0)

    def disconnect(self, now: float, request: Request) -> None:
        """Ends a request whose gateway has died."""
        if request.attempt is not None:
            self.abandon(now, request.attempt)
        if not request.answered:
            self._on_response(now, request, ResponseKind.DISCONNECTED, 0.0)

    def _on_arrival(self, now: float, customer: Customer) -> None:
        if now > self.environment.size.duration:
            return
        delay = self.arrival_rng.expovariate(customer.request_rate * self.load_factor)
        self.environment.schedule(delay, self._on_arrival, customer)
        self.send_first_request(now, customer)

    def _send(
        self,
        now: float,
        customer: Customer,
        request_class: RequestClass,
        core_s: float,
        retry_number: int,
        previous_gateway: int | None,
    ) -> None:
        environment = self.environment
        gateway = self._choose_gateway(customer, previous_gateway)
        self.request_count += 1
        request = Request(
            str(self.request_count),
            customer,
            request_class,
            core_s,
            retry_number,
            now,
            gateway,
            environment.incarnations[gateway],
        )
        self.metrics.requests += 1
        if environment.gateway_up[gateway]:
            self._deliver(now, request)
        else:
            environment.schedule(
                CONNECT_FAILURE_DELAY_S, self._on_response, request, ResponseKind.REJECTED, 0.0
            )

    def _deliver(self, now: float, request: Request) -> None:
        environment = self.environment
        customer = request.customer
        request_class = request.request_class
        gateway = request.gateway
        self.open_requests[gateway][request.request_id] = request
        environment.schedule(request_class.deadline - EXPIRY_MARGIN_S, self._expire, request)
        received = RequestReceived(
            request.request_id,
            request_class.name,
            customer.plan.name,
            customer.name,
            request_class.deadline - CLIENT_MARGIN_S,
            1.0,
            len(customer.gateway_weights),
            customer.first_gateway,
        )
        environment.gateways[gateway].handle(now, received)

    def _choose_gateway(self, customer: Customer, previous: int | None) -> int:
        """Draws one of the customer's gateways; prefers live ones and avoids the previous one."""
        rng = self.environment.fleet_rng
        gateway_count = self.environment.size.gateways
        weights = customer.gateway_weights
        gateways = [
            (customer.first_gateway + offset) % gateway_count for offset in range(len(weights))
        ]
        live = [offset for offset, gateway in enumerate(gateways) if self.considered_up[gateway]]
        others = [offset for offset in live if gateways[offset] != previous]
        candidates = others or live or list(range(len(weights)))
        [offset] = rng.choices(candidates, [weights[offset] for offset in candidates])
        if self.hot_share and rng.random() < self.hot_share:
            return 0
        return gateways[offset]

    def _expire(self, now: float, request: Request) -> None:
        environment = self.environment
        gateway = request.gateway
        if not request.answered and request.incarnation == environment.incarnations[gateway]:
            self.metrics.expired += 1
            self.respond(now, request, ResponseKind.FAILED, 0.0)
            environment.gateways[gateway].handle(now, ClientDisconnected(request.request_id))

    def _on_response(
        self, now: float, request: Request, kind: ResponseKind, retry_after: float
    ) -> None:
        request.answered = True
        latency = now - request.sent_at
        self.metrics.on_response(
            now, request.customer, request.request_class, kind, latency, request.gateway
        )
        size = self.environment.size
        if (
            kind is not ResponseKind.SERVED
            and request.retry_number < size.client_retries
            and now < size.duration + GRACE_PERIOD_S / 2
        ):
            self.environment.schedule(
                min(self._retry_delay(retry_after), MAX_RETRY_DELAY_S),
                self._send,
                request.customer,
                request.request_class,
                request.core_s,
                request.retry_number + 1,
                request.gateway,
            )

    def _retry_delay(self, retry_after: float) -> float:
        rng = self.environment.fleet_rng
        size = self.environment.size
        respects_retry_after = rng.random() < size.retry_after_share
        if respects_retry_after and retry_after > 0:
            return retry_after
        return size.client_backoff * rng.uniform(*BACKOFF_VARIATION)
