"""A stub counter: named totals on a few parts, which handle calls in order at a fixed rate."""

from __future__ import annotations

import asyncio
import re
import zlib
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, cast

from ingress.testbed.loopback_addresses import STUBS, host

CALL = re.compile(rb"add (\S{1,64}) (-?\d{1,10}(?:\.\d{1,12})?) (\d{1,12})")
MAX_LINE_BYTES = 256
MAX_BACKLOG_S = 2.0  # of calls that wait at a part, which rejects more as busy
MAX_LIFETIME_S = 60.0
SNAPSHOT_INTERVAL_S = 0.5
SNAPSHOT_AGE_S = 60.0  # older snapshots are dropped


class Caller(asyncio.Protocol):
    """One connection: it answers calls in their order.

    Attributes:
        ingress: The number of the ingress that opened the connection.
        rest: Received bytes of an incomplete call.
        last_answer_at: The time of the last answer, before which no further one is written.
    """

    def __init__(self, counter: StubCounter, ingress: int) -> None:
        self.counter = counter
        self.ingress = ingress
        self.rest = b""
        self.last_answer_at = 0.0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the connection to those of the counter, or aborts it while the counter is lost."""
        self.transport = cast(asyncio.Transport, transport)
        if self.counter.mode == "lost":
            self.transport.abort()
            return
        self.counter.callers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from those of the counter."""
        self.counter.callers.discard(self)

    def data_received(self, data: bytes) -> None:
        """Handles the complete calls; aborts the connection if a call is too long."""
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            self.counter.handle(self, line)
        if len(self.rest) > MAX_LINE_BYTES and self.transport is not None:
            self.transport.abort()

    def answer(self, at: float, line: bytes) -> None:
        """Writes an answer at a time of the event loop, but not before the previous one."""
        self.last_answer_at = max(at, self.last_answer_at)
        self.counter.loop.call_at(self.last_answer_at, self._write, line)

    def _write(self, line: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(line + b"\r\n")


class StubCounter:
    """The counter of a run.

    Attributes:
        mode: lost, silent, busy or part; empty for no fault.
        extra: Seconds by which each answer is delayed.
        copies: Each total by name, with the time when it expires. There is a second copy during a
            split.
        seen: Calls at each copy during a split, calls to an unavailable part, and replacements.
    """

    def __init__(self, rate: float, parts: int, clock: Callable[[], float]) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = clock
        self.call_s = parts / rate  # one call takes this long at its part
        self.free_at = [0.0] * parts  # when each part has handled its calls
        self.copies: list[dict[bytes, tuple[float, float]]] = [{}]
        self.snapshots: deque[tuple[float, dict[bytes, tuple[float, float]]]] = deque(
            maxlen=int(SNAPSHOT_AGE_S / SNAPSHOT_INTERVAL_S)
        )
        self.snapshot_timer: asyncio.TimerHandle | None = None
        self.seen: dict[str, Any] = {"split": [0, 0], "part": 0, "replaced": 0}
        self.callers: set[Caller] = set()
        self.mode = ""
        self.extra = 0.0
        self.calls = 0
        self.servers: list[asyncio.Server] = []

    async def open(self, ingresses: int) -> list[tuple[str, int]]:
        """Listens on one port for each ingress, which identifies it; returns the addresses."""
        self.servers = [
            await self.loop.create_server(partial(Caller, self, n), host(STUBS), 0)
            for n in range(ingresses)
        ]
        self._take_snapshot()
        return [server.sockets[0].getsockname() for server in self.servers]

    def _take_snapshot(self) -> None:
        self.snapshots.append((self.loop.time(), dict(self.copies[0])))
        self.snapshot_timer = self.loop.call_later(SNAPSHOT_INTERVAL_S, self._take_snapshot)

    def handle(self, caller: Caller, line: bytes) -> None:
        """Handles one call of a connection."""
        now = self.loop.time()
        match = CALL.fullmatch(line)
        if self.mode == "silent":
            return
        if line == b"ping":
            caller.answer(now, b"pong")
        elif match is None:
            caller.answer(now, b"error")
        else:
            self._handle_addition(caller, now, match)

    def _handle_addition(self, caller: Caller, now: float, match: re.Match[bytes]) -> None:
        """Answers a valid call with its total, or as busy."""
        self.calls += 1
        part = zlib.crc32(match[1]) % len(self.free_at)
        copy = 1 if len(self.copies) > 1 and caller.ingress else 0
        if len(self.copies) > 1:
            self.seen["split"][copy] += 1
        if self.mode == "part" and part == 0:
            self.seen["part"] += 1
            caller.answer(now, b"busy")
            return
        if self.mode == "busy" or self.free_at[part] > now + MAX_BACKLOG_S:
            caller.answer(now, b"busy")
            return
        self.free_at[part] = max(now, self.free_at[part]) + self.call_s
        total = self._add(self.copies[copy], now, match)
        caller.answer(self.free_at[part] + self.extra, b"ok %.7g" % total)

    def _add(
        self, totals: dict[bytes, tuple[float, float]], now: float, match: re.Match[bytes]
    ) -> float:
        """Adds the amount of a call to the total of its name; returns the new total."""
        total, expires_at = totals.get(match[1], (0.0, 0.0))
        if expires_at <= now:
            total = 0.0
            expires_at = now + min(int(match[3]) / 1000, MAX_LIFETIME_S)
        total += float(match[2])
        totals[match[1]] = total, expires_at
        return total

    def split(self) -> None:
        """Splits the counter: ingress 0 uses one copy from now on, all others a second one."""
        self.copies = [self.copies[0], dict(self.copies[0])]

    def heal(self) -> None:
        """Ends a split: all ingresses use the first copy."""
        del self.copies[1:]

    def replace(self, back: float | None = None) -> None:
        """Replaces the totals by none, or by those of `back` seconds ago."""
        at = self.loop.time() - (back or 0.0)
        older = (
            [totals for when, totals in self.snapshots if when <= at] if back is not None else []
        )
        self.copies[0] = dict(older[-1]) if older else {}
        self.seen["replaced"] += 1

    def lose(self) -> None:
        """Makes the counter unavailable, and aborts all connections."""
        self.mode = "lost"
        for caller in list(self.callers):
            if caller.transport is not None:
                caller.transport.abort()

    def close(self) -> None:
        """Stops listening, and aborts all connections."""
        for server in self.servers:
            server.close()
        if self.snapshot_timer is not None:
            self.snapshot_timer.cancel()
        self.lose()
