"""Peers and clocks with which a test brings about a rare moment."""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
import stat
import struct
import sys
import termios
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from functools import partial
from types import SimpleNamespace
from typing import Any

import pytest

from ingress.application import Application
from ingress.core.clock import unix_clock
from ingress.policy.actions import FailRequest
from ingress.policy.events import TimerFired
from tests.peers import SETTINGS, Address, Caller, config, resp, until
from tests.support.applications import ScriptedPolicy, serving

LONG_TIMEOUT_S = (
    30.0  # of requests whose connection comes up with a repeated SYN, 1 s later or more
)
SLOW_CONNECT = SETTINGS | {
    "categories": [row | {"give-up-s": LONG_TIMEOUT_S} for row in SETTINGS["categories"]],
    "limits": SETTINGS["limits"] | {"connect-timeout-s": 10.0},
}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # the value of SO_LINGER
MAX_MACHINE_DELAY_S = 0.4  # by which a busy machine may be late in a test


class FullBacklogBackend:
    """A backend whose backlog is full: connections come up only once it accepts them.

    Until then the system of the caller repeats its attempts to connect by itself.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address: Address = self.listener.getsockname()
        self.backlog_filler = socket.create_connection(self.address)
        self.listener.setblocking(False)

    async def accept(self, count: int) -> list[socket.socket]:
        """Accepts so many connections, in whatever order they come up.

        The backlog holds them all from now on, so that none waits for another to be accepted.
        """
        self.listener.listen(1 + count)
        loop = asyncio.get_running_loop()
        filler, _ = await loop.sock_accept(self.listener)
        filler.close()
        return [(await loop.sock_accept(self.listener))[0] for _ in range(count)]


@contextmanager
def full_backlog_backend() -> Iterator[FullBacklogBackend]:
    """Yields a backend with a full backlog, and closes its sockets."""
    peer = FullBacklogBackend()
    try:
        yield peer
    finally:
        peer.backlog_filler.close()
        peer.listener.close()


def unacknowledged_bytes(address: Address) -> int:
    """Returns how much this process wrote to the address that the other side has not taken."""
    count = 0
    for name in os.listdir("/proc/self/fd"):
        with suppress(OSError):
            if stat.S_ISSOCK(os.fstat(int(name)).st_mode):
                with socket.socket(fileno=os.dup(int(name))) as sock:
                    if sock.family == socket.AF_INET and sock.getpeername() == address:
                        count += int.from_bytes(
                            fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)), sys.byteorder
                        )
    return count


async def received_bytes(served: Application, socks: list[socket.socket]) -> bytes:
    """Returns all that was written on accepted connections, and closes them.

    It waits until nothing is unacknowledged: what was written while the backlog was full may have
    been dropped, and is sent again some tenths of a second after the connection was accepted.
    """
    await until(lambda: not served.backends.connect_tasks)  # type: ignore[attr-defined]
    await until(lambda: not unacknowledged_bytes(socks[0].getsockname()))
    data = b""
    for sock in socks:
        sock.setblocking(False)
        with suppress(BlockingIOError):
            data += sock.recv(1 << 16)
        sock.close()
    return data


def send_now(caller: Caller, data: bytes) -> None:
    """Writes in this turn of the event loop: it has arrived, and the ingress has not read it."""
    sock = caller.writer.get_extra_info("socket")
    with socket.fromfd(sock.fileno(), socket.AF_INET, socket.SOCK_STREAM) as same:
        assert same.send(data) == len(data)


def disconnect(caller: Caller, how: str) -> None:
    """Ends a client's connection: its sending alone ("half"), with a reset, or in full."""
    sock = caller.writer.get_extra_info("socket")
    if how == "half":
        caller.writer.write_eof()
        return
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    caller.writer.transport.abort()


class ManualTimers:
    """Timers that a test fires; only those shorter than an attempt's deadline are kept."""

    def __init__(self) -> None:
        self.waiting: list[Callable[[], object]] = []

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: Any
    ) -> SimpleNamespace:
        """Keeps a short timer in `waiting`."""
        if delay < 1.0:  # the others are the attempts' deadlines
            self.waiting.append(partial(callback, *args))
        return SimpleNamespace(cancel=lambda: None)


@asynccontextmanager
async def holding_ingress() -> AsyncIterator[tuple[Application, Any, ScriptedPolicy, Any]]:
    """Runs an ingress whose policy leaves all requests open; yields a function that fails them."""
    async with serving(config()) as (served, address):
        stub = ScriptedPolicy(None)
        served.exchange.policy = stub

        def fail_all() -> None:
            stub.plan = lambda _: [FailRequest(key) for key in list(served.exchange.open_requests)]
            served.exchange.feed(TimerFired(99))
            stub.plan = None

        yield served, address, stub, fail_all


async def is_closed(caller: Caller) -> bool:
    """Expects that the connection is closed without a further response."""
    with pytest.raises((EOFError, ConnectionError)):
        await caller.answer()
    return True


class StallingClock:
    """A clock that goes on while nothing of the process runs.

    Attributes:
        stalled_for: Seconds for which the process has stalled so far.
    """

    def __init__(self) -> None:
        self.clock = unix_clock()
        self.stalled_for = 0.0

    def __call__(self) -> float:
        return self.clock() + self.stalled_for


async def connected_caller(address: Address) -> Caller:
    """Returns a client whose connection has been read already."""
    caller = await Caller.to(address)
    assert await caller.ask(resp(b"PING")) == b"PONG"
    return caller
