"""Network paths for datagrams between ingresses, with faults drawn from a seed.

Each ingress has a hub, a socket of the testbed, and advertises the hub's address. A hub identifies
the sender of a datagram by its source address, applies the faults of the path and forwards the
datagram from the sender's own hub, so that replies return the same way. Paths can lose, delay,
duplicate, reorder, hold back and cut datagrams, in one direction or both.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import cast

from ingress.testbed.loopback_addresses import STUBS, host

Address = tuple[str, int]
MAX_HELD = 1000  # datagrams that a stalled path holds back; a socket's queue is bounded too


@dataclass(slots=True)
class Path:
    """The faults of the path from one ingress to another.

    Attributes:
        loss: The share of datagrams that is lost.
        again: The share of datagrams that is delivered twice.
        delay: The mean delay in seconds.
        spread: The share of the delay that is random, which reorders datagrams.
        cut: Datagrams are dropped.
        stalled: Datagrams are held back until the path is restored.
    """

    loss: float = 0.0
    again: float = 0.0
    delay: float = 0.0
    spread: float = 0.0
    cut: bool = False
    stalled: bool = False


@dataclass(slots=True)
class PathCounts:
    """Counts of datagrams on all paths."""

    passed: int = 0
    lost: int = 0
    repeated: int = 0
    delayed: int = 0
    cut: int = 0
    held: int = 0
    unknown_sender: int = 0  # from an address that belongs to no ingress


class Hub(asyncio.DatagramProtocol):
    """The socket that represents one ingress."""

    def __init__(self, paths: Paths, number: int) -> None:
        self.paths, self.number = paths, number
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self.paths.receive(data, addr, self.number)

    def error_received(self, exc: Exception) -> None:
        """Ignores the error: the ingress is down, and its datagrams are lost as on a network."""


class Paths:
    """All paths between ingresses.

    Attributes:
        real: The addresses to which the ingresses are bound.
        addresses: The addresses of their hubs.
        table: The paths, by the numbers of the sender and the recipient.
    """

    def __init__(self, real: list[Address], seed: int) -> None:
        self.real, self.rng = real, random.Random(f"paths {seed}")
        self.numbers = {address: n for n, address in enumerate(real)}
        self.hubs = [Hub(self, n) for n in range(len(real))]
        self.addresses: list[Address] = []
        self.table = {(a, b): Path() for a in range(len(real)) for b in range(len(real)) if a != b}
        self.held_back: dict[tuple[int, int], list[bytes]] = {}
        self.counts = PathCounts()
        self.loop = asyncio.get_running_loop()

    async def open(self) -> None:
        for hub in self.hubs:
            transport, _ = await self.loop.create_datagram_endpoint(
                lambda hub=hub: hub,  # type: ignore[misc]
                local_addr=(host(STUBS), 0),
            )
            self.addresses.append(transport.get_extra_info("sockname")[:2])

    def receive(self, data: bytes, source: Address, to: int) -> None:
        sender = self.numbers.get(source[:2])
        if sender is None or sender == to:
            self.counts.unknown_sender += 1
            return
        path, counts = self.table[sender, to], self.counts
        if path.cut:
            counts.cut += 1
        elif path.stalled:
            counts.held += 1
            held = self.held_back.setdefault((sender, to), [])
            if len(held) < MAX_HELD:
                held.append(data)
        elif self.rng.random() < path.loss:
            counts.lost += 1
        else:
            duplicated = self.rng.random() < path.again
            counts.repeated += duplicated
            for _ in range(1 + duplicated):
                delay_s = path.delay * (1.0 + path.spread * self.rng.uniform(-1.0, 1.0))
                if delay_s > 0.0:
                    counts.delayed += 1
                    self.loop.call_later(delay_s, self._deliver, data, sender, to)
                else:
                    self._deliver(data, sender, to)

    def _deliver(self, data: bytes, sender: int, to: int) -> None:
        transport = self.hubs[sender].transport
        if transport is not None and not transport.is_closing():
            self.counts.passed += 1
            transport.sendto(data, self.real[to])

    # Faults

    def set_all(self, **figures: float) -> None:
        """Sets fields of all paths."""
        for path in self.table.values():
            for name, value in figures.items():
                setattr(path, name, value)

    def partition(self, one: set[int], other: set[int], both: bool = True) -> None:
        """Cuts the paths from `one` to `other`, and back if `both`.

        The sets may overlap each other and a third one.
        """
        for a in one:
            for b in other - {a}:
                self.table[a, b].cut = True
                if both:
                    self.table[b, a].cut = True

    def stall(self, numbers: set[int]) -> None:
        """Holds back all datagrams to and from these ingresses; their sockets stay open."""
        for (a, b), path in self.table.items():
            path.stalled = path.stalled or a in numbers or b in numbers

    def heal(self) -> None:
        """Restores all cut and stalled paths, and delivers the datagrams that were held back."""
        for path in self.table.values():
            path.cut = path.stalled = False
        held_back, self.held_back = self.held_back, {}
        for (sender, to), held in held_back.items():
            for data in held:
                self._deliver(data, sender, to)

    def close(self) -> None:
        for hub in self.hubs:
            if hub.transport is not None:
                hub.transport.close()
