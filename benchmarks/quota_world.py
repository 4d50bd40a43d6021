"""Simulates a fleet with a faulty counter in virtual time: real Gateways and three simple policies.

Servers answer every request after a short time, so that only quotas affect the decisions.  The counter has
parts of fixed capacity, is reached over a network and fails on a schedule; `Trouble` defines the faults.  The
reference is a true store for each customer, which sees every request that any ingress forwards at once.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol
from zlib import crc32

from ingress.policy.actions import (
    AddToCounter,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from ingress.policy.events import (
    AttemptEnded,
    Backend,
    BackendsChanged,
    CounterReply,
    EndpointListKind,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from ingress.policy.gateway import Gateway
from ingress.policy.settings import Plan, RequestClass, Settings

CLASSES = (RequestClass("fetch", 1.5, 4.0),)
PLANS = (
    Plan("base", 0.8, 3.5, price=0.72, over_quota_cost=1.2),
    Plan("plus", 2.4, 10.0, price=1.3, over_quota_cost=0.5),
    Plan(
        "editorial",
        9.0,
        22.0,
        price=1.6,
        over_quota_cost=0.6,
        ceiling_rate=18.0,
        ceiling_burst=45.0,
        ceiling_slack=4.5,
    ),
)
SHARES = {"base": 0.37, "plus": 0.37, "editorial": 0.26}
TIMEOUT = 0.08  # s until a call to the counter times out
NETWORK_DELAY = 0.001  # s between ingress and counter, one way
MAX_BACKLOG = 2.0  # s of calls queued at a part; more calls are rejected
SERVICE_TIME = 0.06, 0.2  # s until a server answers, least and most
MAX_LIFETIME = 60.0  # s, of a name in the counter
SHIFT_INTERVAL = 6.0  # s between changes of a customer's busiest ingress
SHORT = 4.0  # times a plan's burst: how far below empty a true store counts as in use


@dataclass(frozen=True, slots=True)
class Size:
    """A fleet and its customers.

    The share `heavy` of the customers requests `heavy_x` times their quota; the others request the share `calm`
    of it.
    """

    ingresses: int = 3
    rate: float = 75.0  # first tries per second
    seconds: float = 24.0
    spread: int = 3  # ingresses that a customer uses
    parts: int = 3
    counter_rate: float = 520.0  # calls per second, all parts together
    calm: float = 0.4
    heavy: float = 0.12
    heavy_x: float = 3.0


@dataclass(frozen=True, slots=True)
class Trouble:
    """A fault of the counter from `start` to `end`, in seconds.

    lost: connections are refused.  silent: calls are accepted but neither added nor answered.  slow: each reply
    takes `figure` s longer.  answers: the share `figure` of the replies is lost after the addition.  split:
    ingress 0 uses one copy and the others another; the first copy remains after the split.  empty, older: at
    `start` the state becomes empty, or that of `figure` s before.  flap: the counter is lost every other
    `figure` s.  part: one part is lost.  restart: ingress 1 restarts at `start`.
    """

    kind: str
    start: float = 6.0
    end: float = 18.0
    figure: float = 0.0


@dataclass(slots=True)
class Tally:
    """Units by plan: forwarded, forwarded beyond the quota, refused, and refused with room in the true store.

    `allowed` is the number of units that the customers' quotas allowed during the run.  `ceiling` is the highest
    number of units by which a ceiling's store fell below zero, beyond its slack.
    """

    sent: Counter[str] = field(default_factory=Counter)
    over: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    with_room: Counter[str] = field(default_factory=Counter)
    allowed: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    asked: int = 0
    calls: int = 0
    answered: int = 0
    ceiling: float = 0.0
    occurred: Counter[str] = field(default_factory=Counter)


class Store:
    """A customer's quota and ceiling, updated with the requests forwarded by all ingresses."""

    def __init__(self, plan: Plan, now: float) -> None:
        self.plan, self.at = plan, now
        self.level, self.ceiling, self.over = plan.burst, plan.ceiling_burst, 0.0

    def fill(self, now: float) -> None:
        gap, self.at = now - self.at, now
        self.level = min(self.plan.burst, self.level + self.plan.rate * gap)
        self.ceiling = min(self.plan.ceiling_burst, self.ceiling + self.plan.ceiling_rate * gap)

    def take(self, now: float, units: float) -> bool:
        """Takes the units from the quota if it has them; returns whether it did."""
        self.fill(now)
        self.ceiling -= units
        if self.level < units - 1e-9:
            return False
        self.level -= units
        return True


@dataclass(slots=True)
class Customer:
    name: str
    plan: Plan
    rate: float  # tries per second
    first: int
    weights: list[float]


class Replica:
    """One copy of the counter's totals, with the queues of its parts."""

    def __init__(self, parts: int) -> None:
        self.totals: dict[int, tuple[float, float]] = {}
        self.free_at = [0.0] * parts

    def add(self, name: int, amount: float, lifetime: float, now: float) -> float:
        total, expires_at = self.totals.get(name, (0.0, 0.0))
        if expires_at <= now:
            total, expires_at = 0.0, now + min(lifetime, MAX_LIFETIME)
        self.totals[name] = total + amount, expires_at
        return float(f"{total + amount:.7g}")


class Decider(Protocol):
    """An ingress's quota decisions.

    `ask` returns whether a try is forwarded; None if the decision follows later, through `World.sent` or
    `World.refused`.
    """

    def ask(self, now: float, name: str, customer: Customer) -> bool | None: ...

    def ended(self, now: float, name: str) -> None: ...


class World:
    """One run.  `make` returns the decider of the ingress with a number."""

    def __init__(
        self,
        size: Size,
        troubles: Sequence[Trouble],
        seed: int,
        make: Callable[[World, int], Decider],
    ) -> None:
        self.size, self.troubles, self.make = size, troubles, make
        self.seed, self.now, self.order = seed, 0.0, 0
        # Requests use a separate generator, so that all subjects receive the same requests.
        self.rng, self.fault_rng = random.Random(f"quota {seed}"), random.Random(f"answers {seed}")
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.tally = Tally()
        self.replicas = [Replica(size.parts)]
        self.history: list[tuple[float, dict[int, tuple[float, float]]]] = []
        self.stores: dict[str, Store] = {}
        self.waiting: dict[str, Customer] = {}
        self.customers = self._customers()
        self.number, self.incarnations = 0, [0] * size.ingresses
        self.ingresses = [make(self, n) for n in range(size.ingresses)]

    def _customers(self) -> list[Customer]:
        """Returns customers whose demand adds up to the rate, by the plans' shares."""
        customers, rng = [], self.rng
        for plan in PLANS:
            budget: float = SHARES[plan.name] * self.size.rate
            number = 0
            while budget > 0:
                heavy = rng.random() < self.size.heavy
                rate = (
                    plan.rate
                    * (self.size.heavy_x if heavy else self.size.calm)
                    * rng.uniform(0.5, 1.5)
                )
                rate = min(rate, budget + 0.01)
                budget -= rate
                number += 1
                customers.append(
                    Customer(
                        f"{plan.name}-{number}",
                        plan,
                        rate,
                        rng.randrange(self.size.ingresses),
                        self._weights(),
                    )
                )
        return customers

    def _weights(self) -> list[float]:
        return [self.rng.expovariate(1.0) for _ in range(self.size.spread)]

    def later(self, delay: float, callback: Callable[..., None], *args: Any) -> None:
        self.order += 1
        heapq.heappush(self.heap, (self.now + max(0.0, delay), self.order, callback, args))

    def play(self) -> Tally:
        size = self.size
        for customer in self.customers:
            self.later(self.rng.expovariate(customer.rate), self._request, customer)
            self.later(self.rng.uniform(0, SHIFT_INTERVAL), self._shift, customer)
            self.stores[customer.name] = Store(customer.plan, 0.0)
            self.tally.allowed[customer.plan.name] += (
                customer.plan.burst + customer.plan.rate * size.seconds
            )
        for trouble in self.troubles:
            self.later(trouble.start, self._start_trouble, trouble)
        self.later(0.5, self._record_history)
        while self.heap and self.heap[0][0] <= size.seconds + 2.0:
            self.now, _, callback, args = heapq.heappop(self.heap)
            callback(*args)
        return self.tally

    # Requests

    def _shift(self, customer: Customer) -> None:
        customer.weights = self._weights()
        self.later(SHIFT_INTERVAL, self._shift, customer)

    def _request(self, customer: Customer) -> None:
        if self.now > self.size.seconds:
            return
        self.later(self.rng.expovariate(customer.rate), self._request, customer)
        self.number += 1
        self.tally.asked += 1
        name = str(self.number)
        place = self.rng.choices(range(self.size.spread), customer.weights)[0]
        number = (customer.first + place) % self.size.ingresses
        self.waiting[name] = customer
        forwarded = self.ingresses[number].ask(self.now, name, customer)
        if forwarded is not None:
            self.sent(number, name) if forwarded else self.refused(name)

    def sent(self, number: int, name: str) -> None:
        customer = self.waiting.pop(name, None)
        if customer is None:
            return
        store, plan = self.stores[customer.name], customer.plan.name
        self.tally.sent[plan] += 1
        if not store.take(self.now, 1.0):
            self.tally.over[plan] += 1
        if customer.plan.ceiling_rate:
            self.tally.ceiling = max(
                self.tally.ceiling, -store.ceiling - customer.plan.ceiling_slack
            )
        self.later(
            self.fault_rng.uniform(*SERVICE_TIME),
            self._served,
            number,
            self.incarnations[number],
            name,
        )

    def _served(self, number: int, incarnation: int, name: str) -> None:
        if incarnation == self.incarnations[number]:
            self.ingresses[number].ended(self.now, name)

    def refused(self, name: str) -> None:
        customer = self.waiting.pop(name, None)
        if customer is None:
            return
        store, plan = self.stores[customer.name], customer.plan.name
        store.fill(self.now)
        self.tally.refused[plan] += 1
        self.tally.with_room[plan] += store.level >= 1.0

    # The counter

    def _record_history(self) -> None:
        """Records the totals for the fault `older`."""
        self.history.append((self.now, dict(self.replicas[0].totals)))
        self.later(0.5, self._record_history)

    def _start_trouble(self, trouble: Trouble) -> None:
        self.tally.occurred[trouble.kind] += 1
        if trouble.kind == "split":
            copy = Replica(self.size.parts)
            copy.totals = dict(self.replicas[0].totals)
            self.replicas.append(copy)
            self.later(trouble.end - self.now, self._end_split)
        elif trouble.kind == "empty":
            self.replicas[0].totals.clear()
        elif trouble.kind == "older":
            older = [totals for at, totals in self.history if at <= self.now - trouble.figure]
            self.replicas[0].totals = dict(older[-1]) if older else {}
        elif trouble.kind == "restart":
            self.incarnations[1] += 1
            self.ingresses[1] = self.make(self, 1)

    def _end_split(self) -> None:
        del self.replicas[1:]

    def active(self, kind: str) -> Trouble | None:
        return next(
            (t for t in self.troubles if t.kind == kind and t.start <= self.now < t.end), None
        )

    def replica(self, number: int) -> Replica:
        return self.replicas[1 if len(self.replicas) > 1 and number else 0]

    def is_unreachable(self, name: int) -> bool:
        """Returns whether connections to the part that holds the name are refused."""
        flap = self.active("flap")
        return (
            self.active("lost") is not None
            or (self.active("part") is not None and self.part(name) == 0)
            or (flap is not None and int((self.now - flap.start) / flap.figure) % 2 == 0)
        )

    def part(self, name: int) -> int:
        return crc32(str(name).encode()) % self.size.parts

    def call(
        self,
        number: int,
        name: int,
        amount: float,
        lifetime: float,
        on_reply: Callable[[Outcome, float, float], None],
    ) -> None:
        """Calls the counter.

        `on_reply` receives the outcome, the total and the latency once, and again for a reply after the timeout.
        """
        self.tally.calls += 1
        called_at = self.now
        if self.is_unreachable(name):
            self.later(NETWORK_DELAY, on_reply, Outcome.CONNECT_FAILED, 0.0, NETWORK_DELAY)
            return
        state = {"answered": False}

        def report(outcome: Outcome, total: float) -> None:
            if outcome is Outcome.TIMEOUT and state["answered"]:
                return
            self.tally.answered += outcome is Outcome.OK and not state["answered"]
            state["answered"] = True
            on_reply(outcome, total, self.now - called_at)

        self.later(TIMEOUT, report, Outcome.TIMEOUT, 0.0)
        if self.active("silent") is None:
            self.later(NETWORK_DELAY, self._arrive, number, name, amount, lifetime, report)

    def _arrive(
        self,
        number: int,
        name: int,
        amount: float,
        lifetime: float,
        report: Callable[[Outcome, float], None],
    ) -> None:
        replica, part = self.replica(number), self.part(name)
        if replica.free_at[part] > self.now + MAX_BACKLOG:
            self.later(NETWORK_DELAY, report, Outcome.OVERLOADED, 0.0)
            return
        replica.free_at[part] = (
            max(self.now, replica.free_at[part]) + self.size.parts / self.size.counter_rate
        )
        self.later(
            replica.free_at[part] - self.now, self._add, replica, name, amount, lifetime, report
        )

    def _add(
        self,
        replica: Replica,
        name: int,
        amount: float,
        lifetime: float,
        report: Callable[[Outcome, float], None],
    ) -> None:
        total = replica.add(name, amount, lifetime, self.now)
        slow, answers = self.active("slow"), self.active("answers")
        if answers is not None and self.fault_rng.random() < answers.figure:
            return
        self.later(
            NETWORK_DELAY + (slow.figure if slow is not None else 0.0), report, Outcome.OK, total
        )


# Deciders


class GatewayDecider:
    """The real Gateway."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.in_flight = world, number, dict[str, tuple[str, float]]()
        settings = Settings(
            CLASSES,
            PLANS,
            gateway_index=number,
            gateway_count=world.size.ingresses,
            tick_interval=0.002,
            counter_available=True,
            counter_timeout=TIMEOUT,
            max_attempts=1,
        )
        self.gateway = Gateway(settings, world.seed * 1000 + number)
        servers = tuple(Backend(f"s{n}") for n in range(12))
        self.feed(BackendsChanged(EndpointListKind.RESTORED, servers))
        self.gateway.load_balancer.concurrency.limit = 1e6  # only quotas are measured

    def feed(self, event: Event) -> None:
        world, incarnation = self.world, self.world.incarnations[self.number]
        for action in self.gateway.handle(world.now, event):
            match action:
                case StartAttempt(request_id=name, backend=backend):
                    self.in_flight[name] = backend, world.now
                    world.sent(self.number, name)
                case RejectRequest(request_id=name) | FailRequest(request_id=name):
                    world.refused(name)
                case SetTimer(delay=delay, token=token):
                    world.later(delay, self.if_alive, incarnation, TimerFired(token))
                case AddToCounter(key=name, amount=add, lifetime=lifetime):
                    self.count(incarnation, name, add, lifetime)
                case _:
                    pass

    def count(self, incarnation: int, name: int, add: float, lifetime: float) -> None:
        def on_reply(outcome: Outcome, total: float, latency: float) -> None:
            self.if_alive(incarnation, CounterReply(name, outcome, total, latency))

        self.world.call(self.number, name, add, lifetime, on_reply)

    def if_alive(self, incarnation: int, event: Event) -> None:
        if self.world.incarnations[self.number] == incarnation:
            self.feed(event)

    def ask(self, now: float, name: str, customer: Customer) -> bool | None:
        self.feed(
            RequestReceived(
                name,
                "fetch",
                customer.plan.name,
                customer.name,
                4.0,
                1.0,
                self.world.size.spread,
                customer.first,
            )
        )
        return None

    def ended(self, now: float, name: str) -> None:
        backend, sent = self.in_flight.pop(name)
        self.feed(AttemptEnded(name, 0, backend, Outcome.OK, now - sent, True))


class EvenSlices:
    """Each ingress grants an even slice of rate and burst, without knowledge of the others."""

    def __init__(self, world: World, number: int) -> None:
        self.parts = world.size.spread
        self.stores: dict[str, tuple[float, float]] = {}

    def ask(self, now: float, name: str, customer: Customer) -> bool | None:
        plan = customer.plan
        cap = max(1.0, plan.burst / self.parts)
        level, at = self.stores.get(customer.name, (cap, now))
        level = min(cap, level + plan.rate / self.parts * (now - at))
        admitted = level >= 1.0
        self.stores[customer.name] = level - (1.0 if admitted else 0.0), now
        return admitted

    def ended(self, now: float, name: str) -> None:
        pass


class FailOpen:
    """Keeps each customer's exact store on the counter; admits all requests if it doesn't reply in time."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number

    def ask(self, now: float, name: str, customer: Customer) -> bool | None:
        world, key = self.world, crc32(customer.name.encode())
        slow, answers = world.active("slow"), world.active("answers")
        if (
            world.is_unreachable(key)
            or world.active("silent")
            or (slow is not None and slow.figure > TIMEOUT)
            or (answers is not None and world.fault_rng.random() < answers.figure)
        ):
            return True
        # The store is on the copy that this ingress uses; a new copy starts with the state of the old one.
        replica = world.replica(self.number)
        rate, burst = customer.plan.rate, customer.plan.burst
        level, at = replica.totals.get(key, (burst, now))
        level = min(burst, level + rate * (now - at))
        admitted = level >= 1.0
        replica.totals[key] = level - (1.0 if admitted else 0.0), now
        return admitted

    def ended(self, now: float, name: str) -> None:
        pass


class Perfect:
    """Decides by the true store itself, with complete knowledge."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world

    def ask(self, now: float, name: str, customer: Customer) -> bool | None:
        store = self.world.stores[customer.name]
        store.fill(now)
        return store.level >= 1.0

    def ended(self, now: float, name: str) -> None:
        pass


SUBJECTS: dict[str, Callable[[World, int], Decider]] = {
    "module": GatewayDecider,
    "fail-open": FailOpen,
    "even slices": EvenSlices,
    "perfect": Perfect,
}
