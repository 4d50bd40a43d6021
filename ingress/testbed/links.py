"""Links: loopback proxies that forward bytes and inject network faults."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from math import inf
from typing import cast

from ingress.testbed.loopback_addresses import STUBS, host

DRIBBLE_INTERVAL_S = 0.0005  # between two bytes
ENDED_PAIR_LIFETIME_S = 5.0  # for which an ended connection can still be looked up
Address = tuple[str, int]


class Side(asyncio.Protocol):
    """One of the two connections of a proxied pair; it forwards its bytes to the other.

    The near side was accepted by the link, and the far side was opened by it.
    """

    def __init__(self, link: Link, near: bool) -> None:
        self.link, self.near, self.other = link, near, cast("Side", None)
        self.transport: asyncio.Transport | None = None
        self.unsent: list[bytes | None] = []  # received before this side was connected
        # When to forward which bytes; None is the end of the connection.
        self.queue: deque[tuple[float, bytes | None]] = deque()
        self.aborted = False  # by the link
        self.port = 0  # the far side's local port, by which the far peer looks it up
        self.ended = inf  # when this side's peer ended it
        self.last_due = 0.0  # when the latest bytes are forwarded

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if not self.near:
            self.port = self.transport.get_extra_info("sockname")[1]
            self.link.pairs[self.port] = self
        if self.aborted:
            self.link.end(self)
            return
        unsent, self.unsent = self.unsent, []
        for data in unsent:
            self.send(data)

    def data_received(self, data: bytes) -> None:
        link, now = self.link, self.link.loop.time()
        if link.mode == "dribble":
            for n in range(len(data)):
                self.last_due = max(self.last_due, now) + DRIBBLE_INTERVAL_S
                self._enqueue(data[n : n + 1])
        else:
            self.last_due = max(self.last_due, now + (link.delay if link.mode == "delay" else 0.0))
            self._enqueue(data)

    def _enqueue(self, data: bytes | None) -> None:
        """Queues bytes, or None for the end, to be forwarded at `last_due`.

        The queue keeps their order, since timers that are due close together may fire in any order.
        """
        self.queue.append((self.last_due, data))
        if len(self.queue) == 1:
            self._forward_due()

    def _forward_due(self) -> None:
        while self.queue:
            due, data = self.queue[0]
            if due > self.link.loop.time():
                self.link.loop.call_at(due, self._forward_due_from, self.queue[0])
                return
            self.queue.popleft()
            self.other.send(data)

    def _forward_due_from(self, head: tuple[float, bytes | None]) -> None:
        if self.queue and self.queue[0] is head:
            self.other.send(self.queue.popleft()[1])
            self._forward_due()

    def send(self, data: bytes | None) -> None:
        """Writes bytes of the other side, or closes at its end (None) unless the mode is half_close."""
        if self.transport is None:
            self.unsent.append(data)
        elif data is not None:
            if not self.transport.is_closing():
                self.transport.write(data)
        elif self.link.mode != "half_close":
            self.transport.close()

    def eof_received(self) -> bool:
        self.ended = min(self.ended, self.link.clock())
        self._enqueue(None)
        return True  # keep our end open for responses in flight

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = min(self.ended, self.link.clock())
        self.link.sides.discard(self)
        if self.port:
            # The far peer may look up when this connection ended until it has noticed the end.
            self.link.loop.call_later(ENDED_PAIR_LIFETIME_S, self.link.pairs.pop, self.port, None)
        if self.other.transport is not None:
            if exc is not None:
                self.other.transport.abort()
            else:
                self._enqueue(None)


class Link:
    """A proxy to one address.

    Attributes:
        mode: pass, delay, cut, half_close or dribble.
        delay: The delay in seconds of the mode delay.
        pairs: Far sides by their local port.
        broken: When the link itself ended a connection, by the near peer's port.
    """

    def __init__(self, clock: Callable[[], float], pairs: dict[int, Side]) -> None:
        self.loop, self.clock, self.pairs = asyncio.get_running_loop(), clock, pairs
        self.mode, self.delay = "pass", 0.0
        self.sides: set[Side] = set()
        self.broken: dict[int, float] = {}
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.target: Address = ("", 0)

    async def open(self, target: Address) -> Address:
        self.target = target
        self.server = await self.loop.create_server(self._accept, host(STUBS), 0)
        address: Address = self.server.sockets[0].getsockname()
        return address

    def _accept(self) -> Side:
        near, far = Side(self, True), Side(self, False)
        near.other, far.other = far, near
        self.sides |= {near, far}
        task = self.loop.create_task(self._connect(near, far))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return near

    async def _connect(self, near: Side, far: Side) -> None:
        try:
            if self.mode == "cut":
                raise ConnectionResetError
            await self.loop.create_connection(lambda: far, *self.target)
        except OSError:
            # The target is down; only the link accepted the near peer's connection.
            self.sides -= {near, far}
            self.end(near)

    def set_mode(self, mode: str, ms: float = 0.0) -> None:
        """Changes the mode; cut also ends all connections. `ms` is the delay of the mode delay."""
        self.mode, self.delay = mode, ms / 1000
        if mode == "cut":
            for side in list(self.sides):
                self.end(side)

    def end(self, side: Side) -> None:
        """Aborts a connection on the link's behalf, as soon as it is connected."""
        side.aborted = True
        if side.transport is not None:
            peer = side.transport.get_extra_info("peername")
            if side.near and peer:
                self.broken[peer[1]] = self.clock()
            side.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for side in list(self.sides):
            if side.transport is not None:
                side.transport.abort()
