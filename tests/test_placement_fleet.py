"""Several gateways in virtual time, whose lists differ in age: where each places one submission."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import count

import pytest

from ingress.core.calls import Call
from ingress.core.ports import Attempt
from ingress.idempotency.placement import Placement
from ingress.policy.events import Backend, Readiness

WINDOW_S, SETTLE_S = 4.0, 1.3
LIST_SKEW_S = SETTLE_S / 2  # within which all gateways hear of a change
GATEWAYS = 3
DURATION_S = 60.0
RATE = 40.0  # first requests a second
BACKEND_CHANGE_S = 3.0  # between changes of backends, in the mean
RESTART_S = 8.0  # between restarts of gateways, in the mean
EPOCH = 1000.0


def call(key: int, is_retry: bool = False) -> Call:
    name = f"{key}.{is_retry}".encode()
    return Call(name, "c", "submit", "base", 6.0, 1.0, 3, 0, is_retry, True, f"key-{key}")


def listed(name: str, cell: int, started_at: float = 0.0) -> tuple[str, Backend]:
    return name, Backend(id=f"{name}#{cell}", cell=cell, started_at=started_at)


@dataclass
class Gateway:
    """One gateway: what it was told of, and its placement."""

    placement: Placement
    told: dict[str, Backend]
    heard_until: float = 0.0

    def has_ready(self, cell: int) -> bool:
        return any(b.cell == cell and b.readiness is Readiness.READY for b in self.told.values())


@dataclass
class Fleet:
    """Backends, gateways and clients. Changes are heard in order, `LIST_SKEW_S` apart at most."""

    rng: random.Random
    backends: dict[str, Backend]
    gateways: list[Gateway] = field(default_factory=list)
    now: float = EPOCH
    queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    order: count[int] = field(default_factory=count)
    placed: dict[int, set[int]] = field(default_factory=dict)
    retries: int = 0
    retries_placed: int = 0
    firsts: int = 0
    firsts_placed: int = 0
    restarts: int = 0
    changes: int = 0

    def at(self, time: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (time, next(self.order), act))

    def play(self) -> None:
        self.gateways = [self.started_gateway(self.backends) for _ in range(GATEWAYS)]
        for mean, act in (
            (1 / RATE, self.first_request),
            (BACKEND_CHANGE_S, self.change_backend),
            (RESTART_S, self.restart_gateway),
        ):
            self.repeat(mean, act)
        while self.queue:
            self.now, _, act = heapq.heappop(self.queue)
            act()

    def repeat(self, mean_s: float, act: Callable[[], None]) -> None:
        time = EPOCH
        while (time := time + self.rng.expovariate(1 / mean_s)) < EPOCH + DURATION_S:
            self.at(time, act)

    def started_gateway(self, told: dict[str, Backend]) -> Gateway:
        placement = Placement(WINDOW_S, SETTLE_S)
        placement.endpoints_changed(list(told.items()), True, self.now)
        return Gateway(placement, dict(told))

    def restart_gateway(self) -> None:
        """A new process starts with what its agent has heard, and knows nothing of before."""
        number = self.rng.randrange(GATEWAYS)
        former = self.gateways[number]
        self.gateways[number] = self.started_gateway(former.told)
        self.gateways[number].heard_until = former.heard_until
        self.restarts += 1

    def tell(self, name: str, backend: Backend) -> None:
        """Lets each gateway hear of a change after a time of its own."""
        if backend.readiness is Readiness.REMOVED:
            del self.backends[name]
        else:
            self.backends[name] = backend
        for number, gateway in enumerate(self.gateways):
            delay = self.rng.uniform(0.0, LIST_SKEW_S)
            gateway.heard_until = max(gateway.heard_until, self.now + delay)
            self.at(gateway.heard_until, partial(self.hear, number, name, backend))

    def hear(self, number: int, name: str, backend: Backend) -> None:
        gateway = self.gateways[number]
        entries = [(name, backend)]
        former = gateway.told.get(name)
        if former is not None and former.id != backend.id:
            entries.insert(0, (name, replace(former, readiness=Readiness.REMOVED)))
        gateway.placement.endpoints_changed(entries, False, self.now)
        if backend.readiness is Readiness.REMOVED:
            gateway.told.pop(name, None)
        else:
            gateway.told[name] = backend

    def change_backend(self) -> None:
        """A backend drains or crashes, and comes back of either generation."""
        ready = [n for n, b in self.backends.items() if b.readiness is Readiness.READY]
        if not ready:
            return
        self.changes += 1
        name = self.rng.choice(ready)
        crashes = self.rng.random() < 0.5
        gone_at = self.now if crashes else self.now + self.rng.uniform(1.0, 2.0)
        if not crashes:
            self.tell(name, replace(self.backends[name], readiness=Readiness.DRAINING))
        removed = replace(self.backends[name], readiness=Readiness.REMOVED)
        back_at = gone_at + self.rng.choice([0.0, 0.1, 0.5, 5.0])
        _, back = listed(name, self.rng.choice([1, 2]), back_at)
        if back_at > gone_at:  # else the next process is listed in place of the former
            self.at(gone_at, lambda: self.tell(name, removed))
        self.at(back_at, lambda: self.tell(name, back))

    def first_request(self) -> None:
        self.firsts += 1
        key = self.firsts
        self.firsts_placed += self.admit(call(key))
        wait = self.rng.uniform(0.05, WINDOW_S / 2)
        self.at(self.now + wait, lambda: self.retry(key))

    def retry(self, key: int) -> None:
        self.retries += 1
        self.retries_placed += self.admit(call(key, is_retry=True))

    def admit(self, request: Call) -> bool:
        """Places a request at some gateway; whether it went to a backend."""
        gateway = self.rng.choice(self.gateways)
        constraint = gateway.placement.admit(request, self.now)
        if constraint.retry_after > 0:
            return False
        cells = [constraint.cell] if constraint.cell else [1, 2]
        cell = next((cell for cell in cells if gateway.has_ready(cell)), 0)
        if not cell:
            return False
        name = next(b.id for b in gateway.told.values() if b.cell == cell)
        attempt = Attempt(str(next(self.order)), 0, name, self.now, self.now + 2.0, request)
        gateway.placement.sent(attempt, self.now)
        self.placed.setdefault(int(request.idempotency_key[4:]), set()).add(cell)
        return True


def backends(old: int, new: int, started_at: float = 0.0) -> dict[str, Backend]:
    return dict(listed(f"s{n}", 1 if n < old else 2, started_at) for n in range(old + new))


@pytest.mark.parametrize(
    ("old", "new", "started_at"), [(5, 4, 0.0), (8, 1, 0.0), (9, 0, 0.0), (5, 4, EPOCH)]
)
@pytest.mark.parametrize("seed", range(12))
def test_no_two_gateways_place_a_submission_and_its_marked_retry_in_two_cells(
    old: int, new: int, started_at: float, seed: int
) -> None:
    """Guards against a submission recorded twice while backends change and gateways restart."""
    rng = random.Random(f"placement {seed} {old} {new}")
    fleet = Fleet(rng, backends(old, new, started_at))
    fleet.play()
    assert fleet.restarts >= 2
    assert fleet.changes >= 5
    twice = [key for key, cells in fleet.placed.items() if len(cells) > 1]
    assert not twice, f"{len(twice)} of {fleet.retries_placed} retries placed"
    # Rejecting all would keep the rule as well.
    assert fleet.firsts_placed > 0.8 * fleet.firsts
    assert fleet.retries_placed > 0.3 * fleet.retries
