"""The counter: calls on one kept connection, pipelined, matched to their answers by order."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import cast

from mulleinhall.interface import CounterReply, Outcome
from mulleinhall.net.clock import Clock

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = 0.25  # s
IDLE = 8.0  # s: the counter closes a connection that is idle for about 10
SILENT = 6  # time-outs: a connection that owes an answer for this long is replaced
MOST_WAITING = 2000  # calls that wait for an answer or a connection; more are turned away


class Call:
    """One call, from the module's `Count` to its `CounterReply`."""

    __slots__ = ("line", "made", "name", "reported", "timer")

    def __init__(self, name: int, line: bytes, made: float) -> None:
        self.name, self.line, self.made = name, line, made
        self.reported = False
        self.timer: asyncio.TimerHandle | None = None


class Link(asyncio.Protocol):
    """One connection to the counter."""

    def __init__(self, owner: Counter) -> None:
        self.owner = owner
        self.transport: asyncio.Transport | None = None
        self.calls: deque[Call] = deque()  # written and not answered, in order
        self.rest, self.retired = b"", False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop has a class of its own

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            if not self.calls:
                log.warning("counter: an answer that nothing asked for")
                self.drop()
                return
            self.owner.answered(self.calls.popleft(), line.strip())
        if self.retired and not self.calls:
            self.drop()
        if len(self.rest) > 4096:
            log.warning("counter: an endless line")
            self.drop()

    def eof_received(self) -> None:
        self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        self.drop()

    def retire(self, wait: float) -> None:
        """No further call comes: the connection ends with its last answer, or once all calls are late."""
        self.retired = True
        if self.calls:
            self.owner.loop.call_later(wait, self.drop)
        else:
            self.drop()

    def drop(self) -> None:
        """Ends the connection.  What was written on it may have been added."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
        self.owner.lost(self)
        while self.calls:
            self.owner.report(self.calls.popleft(), Outcome.TIMEOUT)


class Counter:
    """Calls to the counter; each gets exactly one `CounterReply`."""

    def __init__(self, address: tuple[str, int], timeout: float, clock: Clock,
                 told: Callable[[CounterReply], None]) -> None:
        self.address, self.timeout, self.clock, self.told = address, timeout or 0.05, clock, told
        self.loop = asyncio.get_running_loop()
        self.link: Link | None = None
        self.connecting: asyncio.Task[None] | None = None  # to the address that holds now
        self.tasks: set[asyncio.Task[None]] = set()
        self.unsent: deque[Call] = deque()  # wait for the connection to come up
        self.used = 0.0  # when the connection was last written to
        self.idle_timer: asyncio.TimerHandle | None = None

    def call(self, name: int, add: float, lifetime: float) -> None:
        line = b"add %d %s %d\r\n" % (name, _decimal(add), min(max(1, round(lifetime * 1000)), 60_000))
        call = Call(name, line, self.clock())
        waiting = len(self.unsent) + (len(self.link.calls) if self.link else 0)
        if waiting >= MOST_WAITING:
            self.loop.call_soon(self.report, call, Outcome.FULL)
            return
        call.timer = self.loop.call_later(self.timeout, self._late, call)
        # Guards against a connection that is open and silent: its calls would all time out for ever.
        if self.link and self.link.calls and call.made - self.link.calls[0].made > SILENT * self.timeout:
            log.warning("counter: silent connection replaced")
            self.link.drop()
        if self.link is not None:
            self._write(self.link, call)
            return
        self.unsent.append(call)
        if self.connecting is None:
            self._open()

    def move(self, address: tuple[str, int]) -> None:
        """The counter is at another address now; calls that are out may still be answered from the old."""
        self.address = address
        link, self.link, self.connecting = self.link, None, None
        if link is not None:
            link.retire(self.timeout)
        if self.unsent:
            self._open()

    def _open(self) -> None:
        self.connecting = task = self.loop.create_task(self._connect())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _write(self, link: Link, call: Call) -> None:
        assert link.transport is not None
        link.calls.append(call)
        link.transport.write(call.line)
        self.used = call.made

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, link = await self.loop.create_connection(lambda: Link(self), *self.address)
        except (OSError, TimeoutError) as error:
            log.debug("counter: %s", error)
            link = None
        if self.connecting is not asyncio.current_task():
            # Guards against a counter that moved while the connection came up: this one leads to the old.
            if link is not None:
                link.drop()
            return
        self.connecting = None
        unsent, self.unsent = self.unsent, deque()
        if link is not None and link.transport is not None:
            self.link = link
            self.used = self.clock()
            if self.idle_timer is None:
                self.idle_timer = self.loop.call_later(IDLE, self._idle)
            for call in unsent:
                if not call.reported:  # nothing was added for these, and they were told so
                    self._write(link, call)
        else:
            for call in unsent:
                self.report(call, Outcome.CONNECT_FAILED)

    def _idle(self) -> None:
        """Guards against a call that crosses the counter's closing of an idle connection."""
        self.idle_timer = None
        if self.link is None:
            return
        left = self.used + IDLE - self.clock()
        if left <= 0 and not self.link.calls:
            self.link.drop()
        else:
            self.idle_timer = self.loop.call_later(max(left, 0.5), self._idle)

    def _late(self, call: Call) -> None:
        """The time is up.  A call that was written may have been added, or may yet be; its place in the
        order of answers is kept."""
        call.timer = None
        waiting = any(other is call for other in self.unsent)
        self.report(call, Outcome.CONNECT_FAILED if waiting else Outcome.TIMEOUT)

    def answered(self, call: Call, line: bytes) -> None:
        kind, _, rest = line.partition(b" ")
        try:
            if kind == b"ok":
                self.report(call, Outcome.OK, float(rest))
                return
        except ValueError:
            kind = b"?"
        if kind == b"busy":
            self.report(call, Outcome.FULL)
        elif kind == b"error":
            log.warning("counter: call turned down: %r", call.line)
            self.report(call, Outcome.FULL)
        else:
            log.warning("counter: strange answer %r", line[:80])
            self.report(call, Outcome.TIMEOUT)

    def report(self, call: Call, outcome: Outcome, total: float = 0.0) -> None:
        if call.reported:
            return
        call.reported = True
        if call.timer is not None:
            call.timer.cancel()
        self.told(CounterReply(call.name, outcome, total, self.clock() - call.made))

    def lost(self, link: Link) -> None:
        if self.link is link:
            self.link = None

    def close(self) -> None:
        if self.link is not None:
            self.link.drop()


def _decimal(value: float) -> bytes:
    """A plain decimal number: no exponent, no more digits than needed."""
    text = f"{value:.6f}".rstrip("0").rstrip(".")
    return (b"0" if text in ("", "-0") else text.encode())
