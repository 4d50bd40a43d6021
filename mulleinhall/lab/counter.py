"""The counter's stand-in: named totals on a few parts of fixed capacity, one call after another."""

from __future__ import annotations

import asyncio
import re
import zlib
from collections.abc import Callable
from typing import cast

from mulleinhall.lab.hosts import STAND_INS, host

CALL = re.compile(rb"add (\S{1,64}) (-?\d{1,10}(?:\.\d{1,12})?) (\d{1,12})")
LONGEST = 256  # bytes of a line
MOST_BACKLOG = 2.0  # s of calls that wait at a part; more are turned away as busy
LONGEST_LIFE = 60.0  # s


class Caller(asyncio.Protocol):
    """One connection: calls in, answers in their order."""

    def __init__(self, counter: CounterStandIn) -> None:
        self.counter, self.rest, self.last = counter, b"", 0.0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.counter.mode == "lost":
            self.transport.abort()
            return
        self.counter.callers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.counter.callers.discard(self)

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            self.counter.take(self, line)
        if len(self.rest) > LONGEST and self.transport is not None:
            self.transport.abort()

    def answer(self, at: float, line: bytes) -> None:
        self.last = at = max(at, self.last)  # never before the answer to an earlier call
        self.counter.loop.call_at(at, self._write, line)

    def _write(self, line: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(line + b"\r\n")


class CounterStandIn:
    """`mode`: "" or lost, silent, busy; `extra` is what each call takes longer, in seconds."""

    def __init__(self, rate: float, parts: int, clock: Callable[[], float]) -> None:
        self.loop, self.clock = asyncio.get_running_loop(), clock
        self.each = parts / rate  # s of a part for one call
        self.free = [0.0] * parts  # when each part has done what it has
        self.totals: dict[bytes, tuple[float, float]] = {}  # total, and when the name's life ends
        self.callers: set[Caller] = set()
        self.mode, self.extra, self.calls = "", 0.0, 0
        self.server: asyncio.Server | None = None

    async def open(self) -> tuple[str, int]:
        self.server = await self.loop.create_server(lambda: Caller(self), host(STAND_INS), 0)
        address: tuple[str, int] = self.server.sockets[0].getsockname()
        return address

    def take(self, caller: Caller, line: bytes) -> None:
        now, found = self.loop.time(), CALL.fullmatch(line)
        if self.mode == "silent":
            return
        if line == b"ping":
            caller.answer(now, b"pong")
        elif found is None:
            caller.answer(now, b"error")
        else:
            self.calls += 1
            part = zlib.crc32(found[1]) % len(self.free)
            if self.mode == "busy" or self.free[part] > now + MOST_BACKLOG:
                caller.answer(now, b"busy")
                return
            self.free[part] = max(now, self.free[part]) + self.each
            total, ends = self.totals.get(found[1], (0.0, 0.0))
            if ends <= now:
                total, ends = 0.0, now + min(int(found[3]) / 1000, LONGEST_LIFE)
            total += float(found[2])
            self.totals[found[1]] = total, ends
            caller.answer(self.free[part] + self.extra, b"ok %.7g" % total)

    def lose(self) -> None:
        self.mode = "lost"
        for caller in list(self.callers):
            if caller.transport is not None:
                caller.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        self.lose()
