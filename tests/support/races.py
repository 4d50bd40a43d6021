"""Peers, timers and clocks with which a test reproduces a race."""

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

LONG_TIMEOUT_S = 30.0  # for requests whose connection needs a retransmitted SYN, 1 s later or more
SLOW_CONNECT = SETTINGS | {
    "categories": [row | {"give-up-s": LONG_TIMEOUT_S} for row in SETTINGS["categories"]],
    "limits": SETTINGS["limits"] | {"connect-timeout-s": 10.0},
}
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # a value of SO_LINGER
MAX_MACHINE_DELAY_S = 0.4  # longest expected delay of a test on a busy machine


class FullBacklogBackend:
    """A backend with a full backlog: connections are established only once it accepts them.

    Until then the caller's operating system retransmits its SYN segments.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address: Address = self.listener.getsockname()
        self.backlog_filler = socket.create_connection(self.address)
        self.listener.setblocking(False)

    async def accept(self, count: int) -> list[socket.socket]:
        """Accepts `count` connections, in the order in which they are established.

        The backlog is enlarged to hold all of them, so that none waits for another to be accepted.
        """
        self.listener.listen(1 + count)
        loop = asyncio.get_running_loop()
        filler, _ = await loop.sock_accept(self.listener)
        filler.close()
        return [(await loop.sock_accept(self.listener))[0] for _ in range(count)]


@contextmanager
def full_backlog_backend() -> Iterator[FullBacklogBackend]:
    """Yields a backend with a full backlog; closes its sockets at the end."""
    peer = FullBacklogBackend()
    try:
        yield peer
    finally:
        peer.backlog_filler.close()
        peer.listener.close()


def unacknowledged_bytes(address: Address) -> int:
    """Returns the number of bytes sent to the address that the peer has not acknowledged."""
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


async def received_bytes(ingress: Application, socks: list[socket.socket]) -> bytes:
    """Returns all bytes written to accepted connections, and closes them.

    Waits until every byte is acknowledged: bytes written while the backlog was full may have been
    dropped, and are retransmitted some tenths of a second after the connection was accepted.
    """
    await until(lambda: not ingress.backends.connect_tasks)  # type: ignore[attr-defined]
    await until(lambda: not unacknowledged_bytes(socks[0].getsockname()))
    data = b""
    for sock in socks:
        sock.setblocking(False)
        with suppress(BlockingIOError):
            data += sock.recv(1 << 16)
        sock.close()
    return data


def send_now(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes to the socket directly, so that the data arrives before the ingress can read it."""
    sock = writer.get_extra_info("socket")
    with socket.fromfd(sock.fileno(), socket.AF_INET, socket.SOCK_STREAM) as same:
        assert same.send(data) == len(data)


def disconnect(caller: Caller, how: str) -> None:
    """Ends a client's connection.

    Args:
        caller: The client.
        how: "half" ends only the sending side, "reset" resets the connection, "full" closes it.
    """
    sock = caller.writer.get_extra_info("socket")
    if how == "half":
        caller.writer.write_eof()
        return
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    caller.writer.transport.abort()


class ManualTimers:
    """Timers that a test fires; only timers shorter than an attempt's deadline are kept."""

    def __init__(self) -> None:
        self.waiting: list[Callable[[], object]] = []

    def call_later(
        self, delay: float, callback: Callable[..., object], *args: Any
    ) -> SimpleNamespace:
        """Keeps a short timer in `waiting`."""
        if delay < 1.0:  # longer ones are deadlines of attempts
            self.waiting.append(partial(callback, *args))
        return SimpleNamespace(cancel=lambda: None)


@asynccontextmanager
async def ingress_with_open_requests() -> AsyncIterator[
    tuple[Application, Any, ScriptedPolicy, Any]
]:
    """Runs an ingress whose policy leaves all requests open.

    Yields the ingress, its address, the policy and a function that fails the open requests.
    """
    async with serving(config()) as (ingress, address):
        stub = ScriptedPolicy(None)
        ingress.exchange.policy = stub

        def fail_all() -> None:
            stub.plan = lambda _: [FailRequest(key) for key in list(ingress.exchange.open_requests)]
            ingress.exchange.feed(TimerFired(99))
            stub.plan = None

        yield ingress, address, stub, fail_all


async def is_closed(caller: Caller) -> bool:
    """Asserts that the connection is closed without a further response; returns True."""
    with pytest.raises((EOFError, ConnectionError)):
        await caller.read_response()
    return True


class StallingClock:
    """A clock that a test advances to simulate stalls of the process.

    Attributes:
        stalled_for: Total seconds for which the process has stalled.
    """

    def __init__(self) -> None:
        self.clock = unix_clock()
        self.stalled_for = 0.0

    def __call__(self) -> float:
        return self.clock() + self.stalled_for


async def connected_caller(address: Address) -> Caller:
    """Returns a client from whose connection the ingress has already read a request."""
    caller = await Caller.connect(address)
    assert await caller.request(resp(b"PING")) == b"PONG"
    return caller
