"""Scripted clients and servers on ephemeral loopback ports, and a configuration for them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Self

import hiredis
import uvloop

from ingress.platform.config import Config, read_config

TEST_TIMEOUT_S = 20.0  # after which a test counts as stuck
Address = tuple[str, int]
Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter


def run(body: Coroutine[Any, Any, None]) -> None:
    """Runs the body of a test in an event loop, for at most `TEST_TIMEOUT_S`."""
    uvloop.run(asyncio.wait_for(body, TEST_TIMEOUT_S))


async def until(condition: Callable[[], object]) -> None:
    """Polls until the condition on the program under test is true."""
    while not condition():  # noqa: ASYNC110 - the program under test sets no event
        await asyncio.sleep(0.002)


class Peer:
    """A scripted server.

    Attributes:
        script: Handles each connection, given the connection's number from 0.
        connections: Number of connections accepted.
        ended: Number of connections whose script has ended.
        commands: Commands received, as recorded by the script.
    """

    def __init__(self, script: Callable[[int, Reader, Writer], Awaitable[None]]) -> None:
        self.script, self.connections, self.ended = script, 0, 0
        self.commands: list[list[bytes]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address: Address = self.server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.connections += 1
        try:
            await self.script(self.connections - 1, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended += 1
            self.tasks.discard(task)
            writer.close()


async def read_command(reader: Reader) -> list[bytes]:
    """Reads a command, an array of bulk strings; returns its words."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def value(text: bytes) -> bytes:
    """Returns a backend's successful response with this value."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(text), text)


def backend(answer: bytes | None = None) -> Peer:
    """Returns a server that answers each command with `answer`.

    Args:
        answer: The response; b"" for none, None for the request's id as the value.
    """

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        while True:
            words = await read_command(reader)
            peer.commands.append(words)
            writer.write(value(words[2]) if answer is None else answer)

    peer = Peer(script)
    return peer


def command(
    request: str = "00000000000000aa",
    cls: str = "read",
    d: int = 2000,
    customer: int = 7,
    verb: str | None = None,
    body: bytes | None = None,
    extra: str = "",
) -> bytes:
    """Returns an encoded request; one of a class other than "read" is a write with a key."""
    if cls != "read":
        verb, extra, body = verb or "API.WRITE", extra + ",k=0123456789abcdef", body or b"body"
    names = f"c={cls},t=basic,d={d}{extra},units=1,spread=1,first=0"
    words = [(verb or "API.READ").encode(), b"%016x" % customer, request.encode(), names.encode()]
    return resp(*words, *([] if body is None else [body]))


def resp(*words: bytes) -> bytes:
    """Returns the words encoded as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


class Caller:
    """A client connection."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader, self.writer, self.parser = reader, writer, hiredis.Reader(notEnoughData=self)

    @classmethod
    async def connect(cls, address: Address) -> Self:
        """Connects to an address."""
        return cls(*await asyncio.open_connection(*address))

    async def read_response(self) -> Any:
        """Reads the next response.

        Raises:
            EOFError: The connection ended before a complete response.
        """
        while (response := self.parser.gets()) is self:
            data = await self.reader.read(1 << 16)
            if not data:
                raise EOFError
            self.parser.feed(data)
        return response

    async def request(self, data: bytes) -> Any:
        """Writes a request and reads the next response."""
        self.writer.write(data)
        return await self.read_response()


SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "self-index": 0,
    "zone": "a",
    "tick-s": 0.002,
    "membership-mode": "pushed",
    "categories": [
        {"name": "read", "aim-s": 1.0, "give-up-s": 2.0, "importance": 1.0, "semantics": "safe"},
        {
            "name": "order",
            "aim-s": 1.0,
            "give-up-s": 2.0,
            "importance": 1.0,
            "semantics": "keyed",
            "dedup-window-s": 4.0,
        },
    ],
    "contracts": [{"name": "basic", "refill": 100.0, "burst": 500.0}],
    "limits": {"max-attempts": 4, "connect-timeout-s": 0.25, "keepalive-s": 15.0},
    "rules": {"drain-grace-s": 1.0},
    "family-info": {},
}


def entry(
    address: Address, name: str = "s1", state: str = "ready", started: int = 0
) -> dict[str, Any]:
    """Returns an entry of the endpoint list; `started` is in milliseconds."""
    return {
        "id": name,
        "addr": f"{address[0]}:{address[1]}",
        "zone": "a",
        "kind": "m",
        "cell": 1,
        "state": state,
        "weight": 1.0,
        "started_ms": started,
    }


def config_text(
    *servers: dict[str, Any],
    listen: str = "127.0.0.1:0",
    discovery: str = "127.0.0.1:1",
    **changes: Any,
) -> str:
    """Returns a configuration as JSON; `changes` replace top-level keys, and None removes one."""
    source = {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": list(servers)},
        "settings": SETTINGS,
    }
    return json.dumps({k: v for k, v in (source | changes).items() if v is not None})


def config(*servers: dict[str, Any], **changes: Any) -> Config:
    """Returns the parsed configuration; see `config_text`."""
    return read_config(config_text(*servers, **changes))
