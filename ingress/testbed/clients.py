"""Customers' stand-ins: plans, sets with uneven weights, retries, time-outs, and their front."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate
from math import inf
from typing import TYPE_CHECKING, cast

from ingress.testbed.client_codecs import VOICES, Words
from ingress.testbed.deployment import Deployment, Plan, RequestClass
from ingress.testbed.record import Record, Try

if TYPE_CHECKING:
    from ingress.testbed.links import Link

OLD = "resp2-v1"
NOTICE = 1.0  # s for which requests go on coming to an ingress that has died
AFTER_TERM = 0.3  # s for which new connections go on coming after SIGTERM
WAIT = 0.25  # s before a client tries again what failed
HONOURS = 0.8  # share of the clients that come again when they were told to
MOST_WAIT = 0.5  # s
HEAVY, HEAVY_SHARE = 5.0, 0.1  # how much more some customers ask, and how many do
CALM = 0.4  # share of its quota that a usual customer asks for
SHIFT = 6.0  # s between changes of a customer's busiest ingress


@dataclass(slots=True)
class Customer:
    id: str
    plan: Plan
    weight: float
    first: int  # its set: `spread` ingresses from this one on, counted round
    spread: int
    weights: list[float]  # of the ingresses of its set
    dialect: str = OLD


@dataclass(slots=True)
class Ask:
    """What a customer wants: a first try, or the one retry."""

    customer: Customer
    cls: RequestClass
    key: str
    at: float
    number: int
    retry: bool = False


@dataclass(slots=True)
class Door:
    """How the front sees an ingress."""

    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)  # by dialect
    until: float = inf  # new connections go there until then
    idle: dict[str, list[Line]] = field(default_factory=lambda: {name: [] for name in VOICES})
    link: Link | None = None


class Line(asyncio.Protocol):
    """A client's connection: one request at a time, many customers after one another."""

    def __init__(self, customers: Customers, ingress: int, dialect: str) -> None:
        self.customers, self.ingress, self.voice = customers, ingress, VOICES[dialect]()
        self.idle = customers.doors[ingress].idle[dialect]
        self.transport: asyncio.Transport | None = None
        self.current: tuple[Try, Ask] | None = None
        self.last: Try | None = None
        self.used, self.port = False, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.port = self.transport.get_extra_info("sockname")[1]
        self.customers.lines += 1
        self.customers.most_lines = max(self.customers.most_lines, self.customers.lines)

    def send(self, tried: Try, ask: Ask, words: Words) -> None:
        assert self.transport is not None
        data = self.voice.ask(words)
        self.current, tried.first, self.used = (tried, ask), not self.used, True
        tried.sent = self.customers.clock()
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        now = self.customers.clock()
        if self.current is None:
            if self.last is not None:
                self.last.extra += len(data)
            self.abort()
            return
        tried, ask = self.current
        heard = self.voice.hear(data)
        if heard is None:
            return
        tried.answered, tried.kind, tried.value = now, heard.kind, heard.value
        self.current, self.last = None, tried
        if self.voice.behind():
            tried.extra += 1
            self.abort()
        else:
            self.idle.append(self)
        self.customers.over(tried, ask, heard.wait)

    def eof_received(self) -> None:
        self._ended()

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended()
        self.customers.lines -= 1

    def _ended(self) -> None:
        door = self.customers.doors[self.ingress]
        if self in self.idle:
            self.idle.remove(self)
        cut = door.link is not None and door.link.broken.pop(self.port, None) is not None
        if self.current is not None:
            (tried, ask), self.current = self.current, None
            tried.ended, tried.cut = self.customers.clock(), cut
            self.customers.broke(tried, ask)
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Customers:
    """All clients, and the front that deals their requests out.  What they do is drawn from the seed."""

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        clock: Callable[[], float],
        seed: int | str,
        dialects: Mapping[str, float],
    ) -> None:
        """`dialects`: the shares of the customers that speak each; none: all speak today's."""
        self.deployment, self.record, self.clock = deployment, record, clock
        self.loop, self.rng = asyncio.get_running_loop(), random.Random(f"customers {seed}")
        self.doors = [Door() for _ in range(deployment.ingresses)]
        self.everyone = [c for plan in deployment.plans for c in self._of(plan)]
        drawn = random.Random(f"dialects {seed}")
        for customer in self.everyone if dialects else ():
            [customer.dialect] = drawn.choices(list(dialects), list(dialects.values()))
        self.factors = {plan.name: 1.0 for plan in deployment.plans}
        self.count, self.open, self.lines, self.most_lines = 0, 0, 0, 0
        self.ends = inf  # the loop's time from which no first tries come
        self.behind = 0.0  # s by which a first try came later than it was drawn to
        self.not_taken = 0  # tries that no ingress took: refused connections
        self.tasks: set[asyncio.Task[None]] = set()
        # First tries: at, customer, plan, class, units
        self.asked: list[tuple[float, str, str, str, float]] = []
        self._mix()

    def _of(self, plan: Plan) -> list[Customer]:
        d, rng, made = self.deployment, self.rng, []
        share = d.rate * plan.share / (plan.rate * CALM * (1 + HEAVY_SHARE * (HEAVY - 1)))
        for _ in range(max(1, round(share))):
            spread = min(d.ingresses, rng.randint(2, 4))
            made.append(
                Customer(
                    f"{rng.getrandbits(33):016x}",
                    plan,
                    plan.rate * (HEAVY if rng.random() < HEAVY_SHARE else 1.0),
                    rng.randrange(d.ingresses),
                    spread,
                    [],
                )
            )
            self._weigh(made[-1])
        return made

    def _weigh(self, customer: Customer) -> None:
        """Uneven: the busiest of its ingresses takes most."""
        customer.weights = [self.rng.expovariate(1.0) + 0.05 for _ in range(customer.spread)]

    def _mix(self) -> None:
        weights = [c.weight * self.factors[c.plan.name] for c in self.everyone]
        self.sums = list(accumulate(weights))
        base = sum(c.weight for c in self.everyone)
        self.rate = self.deployment.rate * self.sums[-1] / base

    def surge(self, plan: str, factor: float) -> None:
        self.factors[plan] = factor
        self._mix()

    def shift(self, share: float) -> None:
        for customer in self.everyone:
            if self.rng.random() < share:
                self._weigh(customer)

    async def come(self, seconds: float) -> None:
        """First tries for so long or until `stop`, then waits until all is over."""
        self.ends = min(self.ends, self.loop.time() + seconds)
        at, shift = self.loop.time(), 0.0
        while (at := at + self.rng.expovariate(self.rate)) < self.ends:
            shift += 1.0 / self.rate
            if shift > SHIFT / 10:
                shift = 0.0
                self.shift(0.1)
            await asyncio.sleep(max(0.0, at - self.loop.time()))
            self.behind = max(self.behind, self.loop.time() - at)
            customer = self.rng.choices(self.everyone, cum_weights=self.sums)[0]
            [cls] = self.rng.choices(
                self.deployment.classes, [c.share for c in self.deployment.classes]
            )
            key = f"{self.rng.getrandbits(64):016x}" if cls.semantics == "keyed" else ""
            self.asked.append((self.clock(), customer.id, customer.plan.name, cls.name, 1.0))
            self.ask(Ask(customer, cls, key, self.clock(), len(self.asked) - 1))
        while self.open:
            await asyncio.sleep(0.02)

    def stop(self) -> None:
        """No first tries from now on."""
        self.ends = min(self.ends, self.loop.time())

    @property
    def tries(self) -> int:
        return len(self.record.tries)

    def ask(self, ask: Ask) -> None:
        self.open += 1
        task = self.loop.create_task(self._ask(ask))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _pick(self, customer: Customer) -> int:
        """An ingress of the customer's set that the front holds to be there, by weight."""
        size, now = self.deployment.ingresses, self.clock()
        numbers = [(customer.first + n) % size for n in range(customer.spread)]
        there = [
            (n, w)
            for n, w in zip(numbers, customer.weights, strict=True)
            if self.doors[n].until > now or self._is_connected(n, customer)
        ]
        if not there:
            return numbers[0]
        return self.rng.choices([n for n, _ in there], [w for _, w in there])[0]

    def _is_connected(self, ingress: int, customer: Customer) -> bool:
        """Whether clients go on using a connection to an ingress that may be about to end."""
        keeps = self.deployment.keeps_connections
        return keeps and bool(self.doors[ingress].idle[customer.dialect])

    async def _ask(self, ask: Ask) -> None:
        ingress, patience = self._pick(ask.customer), ask.cls.deadline * self.rng.uniform(0.5, 1.0)
        c, self.count = ask.customer, self.count + 1
        name = f"{self.count:08x}{self.rng.getrandbits(32):08x}"
        patience = int(patience * 1000) / 1000
        tried = Try(
            name,
            c.id,
            c.plan.name,
            ask.cls.name,
            ask.key,
            1.0,
            ingress,
            0.0,
            patience,
            ask=ask.number,
            dialect=c.dialect,
        )
        await self._send(tried, ask)

    async def _send(self, tried: Try, ask: Ask, fresh: bool = False) -> None:
        door, c = self.doors[tried.ingress], ask.customer
        idle = door.idle[c.dialect]
        line = idle.pop() if idle and not fresh else None
        if line is None:
            try:
                async with asyncio.timeout(0.5):
                    _, line = await self.loop.create_connection(
                        lambda: Line(self, tried.ingress, c.dialect), *door.addresses[c.dialect]
                    )
            except (OSError, TimeoutError):
                self.not_taken += 1
                self.over(tried, ask, 0.0)
                return
        if line.transport is None or line.transport.is_closing():
            await self._send(tried, ask, fresh=True)
            return
        self.record.tries.append(tried)
        line.send(
            tried,
            ask,
            Words(
                tried.id,
                tried.customer,
                tried.plan,
                tried.request_class,
                tried.key,
                tried.patience,
                c.spread,
                c.first,
                ask.cls.semantics == "safe",
                ask.retry and self.deployment.marks,
            ),
        )
        self.loop.call_later(tried.patience + 1.0, self._time_out, line, tried)

    def _time_out(self, line: Line, tried: Try) -> None:
        """Nobody waits for it any more: past its time the client goes away."""
        if line.current is not None and line.current[0] is tried:
            line.abort()

    def broke(self, tried: Try, ask: Ask) -> None:
        """The connection ended with no whole answer.  A crossing on a used one is sent once more."""
        if not tried.first and tried.ended - tried.sent < 0.05 and not tried.cut:
            again = Try(
                tried.id,
                tried.customer,
                tried.plan,
                tried.request_class,
                tried.key,
                tried.units,
                tried.ingress,
                0.0,
                tried.patience,
                ask=tried.ask,
                dialect=tried.dialect,
            )
            task = self.loop.create_task(self._send(again, ask, fresh=True))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            self.over(tried, ask, 0.0)

    def over(self, tried: Try, ask: Ask, told: float) -> None:
        """A try is over: the client may come again, once, where that does no harm."""
        self.open -= 1
        if tried.kind == "served" or ask.retry or self.rng.random() > self.deployment.retries:
            return
        refused = tried.kind == "refused" or not tried.sent
        if not refused and ask.cls.semantics == "unsafe":
            return
        if ask.cls.semantics == "keyed" and self.clock() - ask.at > ask.cls.window / 2:
            return  # guards against a repeat that its key's memory has forgotten by then
        wait = min(told, MOST_WAIT) if told and self.rng.random() < HONOURS else WAIT
        self.open += 1
        self.loop.call_later(wait, self._again, ask)

    def _again(self, ask: Ask) -> None:
        self.open -= 1
        self.ask(Ask(ask.customer, ask.cls, ask.key, ask.at, ask.number, True))

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for door in self.doors:
            for line in [line for lines in door.idle.values() for line in lines]:
                line.abort()
