"""Simulated customers: plans, weighted ingress sets, retries, timeouts and their front proxy."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate
from math import inf
from typing import TYPE_CHECKING, cast

from ingress.testbed.client_codecs import CLIENT_CODECS, RequestFields
from ingress.testbed.deployment import Deployment, Plan, RequestClass
from ingress.testbed.record import Record, Try

if TYPE_CHECKING:
    from ingress.testbed.links import Link

OLD_DIALECT = "resp2-v1"
ROUTE_AFTER_KILL_S = 1.0  # s for which requests still go to an ingress after its death
ROUTE_AFTER_TERM_S = 0.3  # s for which new connections still go to an ingress after SIGTERM
RETRY_DELAY_S = 0.25  # s before a client retries a failed request
HONOURING_SHARE = 0.8  # share of the clients that honour a retry delay
MAX_RETRY_DELAY_S = 0.5  # s, the longest retry delay that clients honour
HEAVY_FACTOR, HEAVY_SHARE = 5.0, 0.1  # rate of heavy customers relative to others; their share
USUAL_QUOTA_USE = 0.4  # share of its quota that a usual customer requests
WEIGHT_SHIFT_PERIOD_S = 6.0  # s between changes of a customer's busiest ingress


@dataclass(slots=True)
class Customer:
    id: str
    plan: Plan
    weight: float
    first: int  # first of the `spread` consecutive ingresses of its set, modulo their number
    spread: int
    weights: list[float]  # share of each ingress of its set
    dialect: str = OLD_DIALECT


@dataclass(slots=True)
class ClientRequest:
    """A customer's request: its first attempt, or its only retry."""

    customer: Customer
    cls: RequestClass
    key: str
    at: float
    number: int
    retry: bool = False


@dataclass(slots=True)
class IngressRoute:
    """The front proxy's state of one ingress."""

    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)  # by dialect
    until: float = inf  # when the front proxy stops opening connections to it
    idle: dict[str, list[ClientConnection]] = field(
        default_factory=lambda: {name: [] for name in CLIENT_CODECS}
    )
    link: Link | None = None


class ClientConnection(asyncio.Protocol):
    """A client connection, which carries one request at a time, of many customers in turn."""

    def __init__(self, customers: Customers, ingress: int, dialect: str) -> None:
        self.customers, self.ingress, self.codec = customers, ingress, CLIENT_CODECS[dialect]()
        self.idle = customers.routes[ingress].idle[dialect]
        self.transport: asyncio.Transport | None = None
        self.current: tuple[Try, ClientRequest] | None = None
        self.last: Try | None = None
        self.used, self.port = False, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.port = self.transport.get_extra_info("sockname")[1]
        self.customers.connections += 1
        self.customers.peak_connections = max(
            self.customers.peak_connections, self.customers.connections
        )

    def send(self, attempt: Try, request: ClientRequest, fields: RequestFields) -> None:
        assert self.transport is not None
        data = self.codec.ask(fields)
        self.current, attempt.first, self.used = (attempt, request), not self.used, True
        attempt.sent = self.customers.clock()
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        now = self.customers.clock()
        if self.current is None:
            if self.last is not None:
                self.last.extra += len(data)
            self.abort()
            return
        attempt, request = self.current
        response = self.codec.receive(data)
        if response is None:
            return
        attempt.answered, attempt.kind, attempt.value = now, response.kind, response.value
        self.current, self.last = None, attempt
        if self.codec.has_trailing_data():
            attempt.extra += 1
            self.abort()
        else:
            self.idle.append(self)
        self.customers.attempt_ended(attempt, request, response.wait)

    def eof_received(self) -> None:
        self._on_end()

    def connection_lost(self, exc: Exception | None) -> None:
        self._on_end()
        self.customers.connections -= 1

    def _on_end(self) -> None:
        route = self.customers.routes[self.ingress]
        if self in self.idle:
            self.idle.remove(self)
        cut = route.link is not None and route.link.broken.pop(self.port, None) is not None
        if self.current is not None:
            (attempt, request), self.current = self.current, None
            attempt.ended, attempt.cut = self.customers.clock(), cut
            self.customers.connection_broken(attempt, request)
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Customers:
    """All clients, and the front proxy that distributes their requests; the seed sets the load."""

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        clock: Callable[[], float],
        seed: int | str,
        dialects: Mapping[str, float],
    ) -> None:
        """Draws the customers.

        `dialects`: the share of the customers that speak each; if empty, all speak resp2-v1.
        """
        self.deployment, self.record, self.clock = deployment, record, clock
        self.loop, self.rng = asyncio.get_running_loop(), random.Random(f"customers {seed}")
        self.routes = [IngressRoute() for _ in range(deployment.ingresses)]
        self.everyone = [c for plan in deployment.plans for c in self._draw_customers(plan)]
        drawn = random.Random(f"dialects {seed}")
        for customer in self.everyone if dialects else ():
            [customer.dialect] = drawn.choices(list(dialects), list(dialects.values()))
        self.factors = {plan.name: 1.0 for plan in deployment.plans}
        self.count, self.open, self.connections, self.peak_connections = 0, 0, 0, 0
        self.ends_at = inf  # loop time after which no first attempts are sent
        self.behind = 0.0  # s, the largest delay of a first attempt after its scheduled time
        self.not_taken = 0  # attempts whose connection was refused or timed out
        self.tasks: set[asyncio.Task[None]] = set()
        # First attempts: time, customer, plan, class, units
        self.asked: list[tuple[float, str, str, str, float]] = []
        self._update_rates()

    def _draw_customers(self, plan: Plan) -> list[Customer]:
        d, rng, customers = self.deployment, self.rng, []
        share = (
            d.rate
            * plan.share
            / (plan.rate * USUAL_QUOTA_USE * (1 + HEAVY_SHARE * (HEAVY_FACTOR - 1)))
        )
        for _ in range(max(1, round(share))):
            spread = min(d.ingresses, rng.randint(2, 4))
            customers.append(
                Customer(
                    f"{rng.getrandbits(33):016x}",
                    plan,
                    plan.rate * (HEAVY_FACTOR if rng.random() < HEAVY_SHARE else 1.0),
                    rng.randrange(d.ingresses),
                    spread,
                    [],
                )
            )
            self._draw_weights(customers[-1])
        return customers

    def _draw_weights(self, customer: Customer) -> None:
        """Draws uneven weights, so that the busiest ingress of the set gets most requests."""
        customer.weights = [self.rng.expovariate(1.0) + 0.05 for _ in range(customer.spread)]

    def _update_rates(self) -> None:
        weights = [c.weight * self.factors[c.plan.name] for c in self.everyone]
        self.sums = list(accumulate(weights))
        base = sum(c.weight for c in self.everyone)
        self.rate = self.deployment.rate * self.sums[-1] / base

    def surge(self, plan: str, factor: float) -> None:
        self.factors[plan] = factor
        self._update_rates()

    def shift(self, share: float) -> None:
        for customer in self.everyone:
            if self.rng.random() < share:
                self._draw_weights(customer)

    async def generate_load(self, seconds: float) -> None:
        """Sends first attempts for `seconds` or until `stop`, then waits for the last to end."""
        self.ends_at = min(self.ends_at, self.loop.time() + seconds)
        at, since_shift = self.loop.time(), 0.0
        while (at := at + self.rng.expovariate(self.rate)) < self.ends_at:
            since_shift += 1.0 / self.rate
            if since_shift > WEIGHT_SHIFT_PERIOD_S / 10:
                since_shift = 0.0
                self.shift(0.1)
            await asyncio.sleep(max(0.0, at - self.loop.time()))
            self.behind = max(self.behind, self.loop.time() - at)
            customer = self.rng.choices(self.everyone, cum_weights=self.sums)[0]
            [cls] = self.rng.choices(
                self.deployment.classes, [c.share for c in self.deployment.classes]
            )
            key = f"{self.rng.getrandbits(64):016x}" if cls.semantics == "keyed" else ""
            self.asked.append((self.clock(), customer.id, customer.plan.name, cls.name, 1.0))
            self.send_request(ClientRequest(customer, cls, key, self.clock(), len(self.asked) - 1))
        while self.open:
            await asyncio.sleep(0.02)

    def stop(self) -> None:
        """Sends no first attempts from now on."""
        self.ends_at = min(self.ends_at, self.loop.time())

    @property
    def tries(self) -> int:
        return len(self.record.tries)

    def send_request(self, request: ClientRequest) -> None:
        self.open += 1
        task = self.loop.create_task(self._send_attempt(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _pick_ingress(self, customer: Customer) -> int:
        """Returns an ingress of the customer's set that the front proxy considers up, by weight."""
        size, now = self.deployment.ingresses, self.clock()
        numbers = [(customer.first + n) % size for n in range(customer.spread)]
        available = [
            (n, w)
            for n, w in zip(numbers, customer.weights, strict=True)
            if self.routes[n].until > now or self._is_connected(n, customer)
        ]
        if not available:
            return numbers[0]
        return self.rng.choices([n for n, _ in available], [w for _, w in available])[0]

    def _is_connected(self, ingress: int, customer: Customer) -> bool:
        """Returns whether clients still use an idle connection to an ingress that may be ending."""
        keeps = self.deployment.keeps_connections
        return keeps and bool(self.routes[ingress].idle[customer.dialect])

    async def _send_attempt(self, request: ClientRequest) -> None:
        ingress, patience = (
            self._pick_ingress(request.customer),
            request.cls.deadline * self.rng.uniform(0.5, 1.0),
        )
        c, self.count = request.customer, self.count + 1
        name = f"{self.count:08x}{self.rng.getrandbits(32):08x}"
        patience = int(patience * 1000) / 1000
        attempt = Try(
            name,
            c.id,
            c.plan.name,
            request.cls.name,
            request.key,
            1.0,
            ingress,
            0.0,
            patience,
            ask=request.number,
            dialect=c.dialect,
        )
        await self._send_on_connection(attempt, request)

    async def _send_on_connection(
        self, attempt: Try, request: ClientRequest, fresh: bool = False
    ) -> None:
        route, c = self.routes[attempt.ingress], request.customer
        idle = route.idle[c.dialect]
        connection = idle.pop() if idle and not fresh else None
        if connection is None:
            try:
                async with asyncio.timeout(0.5):
                    _, connection = await self.loop.create_connection(
                        lambda: ClientConnection(self, attempt.ingress, c.dialect),
                        *route.addresses[c.dialect],
                    )
            except (OSError, TimeoutError):
                self.not_taken += 1
                self.attempt_ended(attempt, request, 0.0)
                return
        if connection.transport is None or connection.transport.is_closing():
            await self._send_on_connection(attempt, request, fresh=True)
            return
        self.record.tries.append(attempt)
        connection.send(
            attempt,
            request,
            RequestFields(
                attempt.id,
                attempt.customer,
                attempt.plan,
                attempt.request_class,
                attempt.key,
                attempt.patience,
                c.spread,
                c.first,
                request.cls.semantics == "safe",
                request.retry and self.deployment.marks,
            ),
        )
        self.loop.call_later(attempt.patience + 1.0, self._on_client_timeout, connection, attempt)

    def _on_client_timeout(self, connection: ClientConnection, attempt: Try) -> None:
        """Aborts the connection of an attempt whose client timeout has passed."""
        if connection.current is not None and connection.current[0] is attempt:
            connection.abort()

    def connection_broken(self, attempt: Try, request: ClientRequest) -> None:
        """Handles a connection that ended without a complete response.

        On a reused connection that ends within 0.05 s of the request, which may have crossed the
        close, the request is sent once more.
        """
        if not attempt.first and attempt.ended - attempt.sent < 0.05 and not attempt.cut:
            resent = Try(
                attempt.id,
                attempt.customer,
                attempt.plan,
                attempt.request_class,
                attempt.key,
                attempt.units,
                attempt.ingress,
                0.0,
                attempt.patience,
                ask=attempt.ask,
                dialect=attempt.dialect,
            )
            task = self.loop.create_task(self._send_on_connection(resent, request, fresh=True))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            self.attempt_ended(attempt, request, 0.0)

    def attempt_ended(self, attempt: Try, request: ClientRequest, retry_after: float) -> None:
        """Handles the end of an attempt: the client may retry once, where a retry is safe."""
        self.open -= 1
        if attempt.kind == "served" or request.retry or self.rng.random() > self.deployment.retries:
            return
        refused = attempt.kind == "refused" or not attempt.sent
        if not refused and request.cls.semantics == "unsafe":
            return
        if request.cls.semantics == "keyed" and self.clock() - request.at > request.cls.window / 2:
            return  # the backends may have forgotten the key when the retry arrives
        delay = (
            min(retry_after, MAX_RETRY_DELAY_S)
            if retry_after and self.rng.random() < HONOURING_SHARE
            else RETRY_DELAY_S
        )
        self.open += 1
        self.loop.call_later(delay, self._retry, request)

    def _retry(self, request: ClientRequest) -> None:
        self.open -= 1
        self.send_request(
            ClientRequest(
                request.customer, request.cls, request.key, request.at, request.number, True
            )
        )

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for route in self.routes:
            for connection in [
                connection for connections in route.idle.values() for connection in connections
            ]:
                connection.abort()
