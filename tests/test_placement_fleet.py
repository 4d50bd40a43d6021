"""Tests of placement by several gateways in virtual time, whose endpoint lists differ in age."""

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
LIST_SKEW_S = SETTLE_S / 2  # within which all gateways receive a change
GATEWAYS = 3
DURATION_S = 60.0
FIRST_REQUESTS_PER_S = 40.0
BACKEND_CHANGE_S = 3.0  # mean time between changes of backends
RESTART_S = 8.0  # mean time between restarts of gateways
START_TIME = 1000.0


def call(key: int, is_retry: bool = False) -> Call:
    name = f"{key}.{is_retry}".encode()
    return Call(name, "c", "submit", "base", 6.0, 1.0, 3, 0, is_retry, True, f"key-{key}")


def listed(name: str, cell: int, started_at: float = 0.0) -> tuple[str, Backend]:
    return name, Backend(id=f"{name}#{cell}", cell=cell, started_at=started_at)


@dataclass
class Gateway:
    """One gateway with its placement and the backends in the list that it has received."""

    placement: Placement
    known_backends: dict[str, Backend]
    last_receipt_at: float = 0.0

    def has_ready(self, cell: int) -> bool:
        return any(
            b.cell == cell and b.readiness is Readiness.READY for b in self.known_backends.values()
        )


@dataclass
class Fleet:
    """Backends, gateways and clients.

    Each gateway receives the changes in order, at most `LIST_SKEW_S` after they occur.
    """

    rng: random.Random
    backends: dict[str, Backend]
    gateways: list[Gateway] = field(default_factory=list)
    now: float = START_TIME
    queue: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    sequence: count[int] = field(default_factory=count)
    cells_by_key: dict[int, set[int]] = field(default_factory=dict)
    retries: int = 0
    retries_placed: int = 0
    first_requests: int = 0
    first_requests_placed: int = 0
    restarts: int = 0
    changes: int = 0

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (time, next(self.sequence), action))

    def run(self) -> None:
        self.gateways = [self.started_gateway(self.backends) for _ in range(GATEWAYS)]
        for mean_s, action in (
            (1 / FIRST_REQUESTS_PER_S, self.first_request),
            (BACKEND_CHANGE_S, self.change_backend),
            (RESTART_S, self.restart_gateway),
        ):
            self.repeat(mean_s, action)
        while self.queue:
            self.now, _, action = heapq.heappop(self.queue)
            action()

    def repeat(self, mean_s: float, action: Callable[[], None]) -> None:
        time = START_TIME
        while (time := time + self.rng.expovariate(1 / mean_s)) < START_TIME + DURATION_S:
            self.schedule(time, action)

    def started_gateway(self, known_backends: dict[str, Backend]) -> Gateway:
        placement = Placement(WINDOW_S, SETTLE_S)
        placement.endpoints_changed(list(known_backends.items()), True, self.now)
        return Gateway(placement, dict(known_backends))

    def restart_gateway(self) -> None:
        """Replaces a gateway by a new process with the same endpoint list and no history."""
        number = self.rng.randrange(GATEWAYS)
        previous = self.gateways[number]
        self.gateways[number] = self.started_gateway(previous.known_backends)
        self.gateways[number].last_receipt_at = previous.last_receipt_at
        self.restarts += 1

    def announce(self, name: str, backend: Backend) -> None:
        """Sends a change to each gateway, with a random delay for each."""
        if backend.readiness is Readiness.REMOVED:
            del self.backends[name]
        else:
            self.backends[name] = backend
        for number, gateway in enumerate(self.gateways):
            delay = self.rng.uniform(0.0, LIST_SKEW_S)
            gateway.last_receipt_at = max(gateway.last_receipt_at, self.now + delay)
            self.schedule(gateway.last_receipt_at, partial(self.receive, number, name, backend))

    def receive(self, number: int, name: str, backend: Backend) -> None:
        gateway = self.gateways[number]
        entries = [(name, backend)]
        previous = gateway.known_backends.get(name)
        if previous is not None and previous.id != backend.id:
            entries.insert(0, (name, replace(previous, readiness=Readiness.REMOVED)))
        gateway.placement.endpoints_changed(entries, False, self.now)
        if backend.readiness is Readiness.REMOVED:
            gateway.known_backends.pop(name, None)
        else:
            gateway.known_backends[name] = backend

    def change_backend(self) -> None:
        """Drains or crashes a backend, which is started again in a random cell."""
        ready = [n for n, b in self.backends.items() if b.readiness is Readiness.READY]
        if not ready:
            return
        self.changes += 1
        name = self.rng.choice(ready)
        crashes = self.rng.random() < 0.5
        removed_at = self.now if crashes else self.now + self.rng.uniform(1.0, 2.0)
        if not crashes:
            self.announce(name, replace(self.backends[name], readiness=Readiness.DRAINING))
        removed = replace(self.backends[name], readiness=Readiness.REMOVED)
        restarted_at = removed_at + self.rng.choice([0.0, 0.1, 0.5, 5.0])
        _, replacement = listed(name, self.rng.choice([1, 2]), restarted_at)
        if restarted_at > removed_at:  # else the new process replaces the previous one in the list
            self.schedule(removed_at, lambda: self.announce(name, removed))
        self.schedule(restarted_at, lambda: self.announce(name, replacement))

    def first_request(self) -> None:
        self.first_requests += 1
        key = self.first_requests
        self.first_requests_placed += self.admit(call(key))
        wait = self.rng.uniform(0.05, WINDOW_S / 2)
        self.schedule(self.now + wait, lambda: self.retry(key))

    def retry(self, key: int) -> None:
        self.retries += 1
        self.retries_placed += self.admit(call(key, is_retry=True))

    def admit(self, request: Call) -> bool:
        """Places a request at a random gateway; returns whether it was sent to a backend."""
        gateway = self.rng.choice(self.gateways)
        constraint = gateway.placement.admit(request, self.now)
        if constraint.retry_after > 0:
            return False
        cells = [constraint.cell] if constraint.cell else [1, 2]
        cell = next((cell for cell in cells if gateway.has_ready(cell)), 0)
        if not cell:
            return False
        name = next(b.id for b in gateway.known_backends.values() if b.cell == cell)
        attempt = Attempt(str(next(self.sequence)), 0, name, self.now, self.now + 2.0, request)
        gateway.placement.sent(attempt, self.now)
        self.cells_by_key.setdefault(int(request.idempotency_key[4:]), set()).add(cell)
        return True


def backends(old: int, new: int, started_at: float = 0.0) -> dict[str, Backend]:
    return dict(listed(f"s{n}", 1 if n < old else 2, started_at) for n in range(old + new))


@pytest.mark.parametrize(
    ("old", "new", "started_at"), [(5, 4, 0.0), (8, 1, 0.0), (9, 0, 0.0), (5, 4, START_TIME)]
)
@pytest.mark.parametrize("seed", range(12))
def test_gateways_never_place_a_submission_and_its_marked_retry_in_different_cells(
    old: int, new: int, started_at: float, seed: int
) -> None:
    """Guards against a submission recorded twice while backends change and gateways restart."""
    rng = random.Random(f"placement {seed} {old} {new}")
    fleet = Fleet(rng, backends(old, new, started_at))
    fleet.run()
    assert fleet.restarts >= 2
    assert fleet.changes >= 5
    in_two_cells = [key for key, cells in fleet.cells_by_key.items() if len(cells) > 1]
    assert not in_two_cells, f"{len(in_two_cells)} of {fleet.retries_placed} retries placed"
    # Rejecting all requests would also keep submissions in one cell.
    assert fleet.first_requests_placed > 0.8 * fleet.first_requests
    assert fleet.retries_placed > 0.3 * fleet.retries
