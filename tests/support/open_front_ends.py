"""An ingress with a listener for each kind of client, and clients that read outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import h11

from ingress.application import Application
from ingress.core.clock import Clock
from ingress.platform.operator_config import AdditionalListener, OperatorConfig, ProtocolVersions
from ingress.transport.client_connection import ClientConnection
from tests.peers import SETTINGS, Address, Caller, config, resp
from tests.support.applications import ScriptedPolicy, running
from tests.support.front_ends import http_read, resp_read
from tests.support.http_client import HttpClient

OPERATOR = OperatorConfig(
    ProtocolVersions(by_kind={"m2": "http-v2", "m3": "resp3-v2"}),
    (
        AdditionalListener(("127.0.0.1", 0), "resp3-v2"),
        AdditionalListener(("127.0.0.1", 0), "http-v2"),
    ),
)
"""Adds listeners for resp3-v2 and http-v2 to that for resp2-v1."""

ReadOutcome = Callable[[], Awaitable[str | None]]
"""Reads the outcome of the next response: "failed", "rejected", or None at the connection's end."""


@dataclass(frozen=True, slots=True)
class FrontEnd:
    """A kind of client.

    Attributes:
        listener: The index of its listener.
        request: Encodes the read request with an id; `timeout_ms` is its timeout.
        connect: Connects; returns the writer, and a function that reads the next outcome.
    """

    listener: int
    request: Callable[..., bytes]
    connect: Callable[[Address], Awaitable[tuple[asyncio.StreamWriter, ReadOutcome]]]


def resp_outcome(response: Any) -> str:
    """Returns "failed" or "rejected" for a RESP response that is either."""
    text = str(response)
    assert text == "ERR failed" or text.startswith("BUSY"), text
    return "failed" if text == "ERR failed" else "rejected"


async def connect_resp(
    address: Address, greeting: bytes = b""
) -> tuple[asyncio.StreamWriter, ReadOutcome]:
    """Connects a RESP2 client, or one of another version that the greeting requests."""
    caller = await Caller.connect(address)
    if greeting:
        await caller.request(greeting)

    async def read() -> str | None:
        try:
            return resp_outcome(await caller.read_response())
        except EOFError:
            return None

    return caller.writer, read


async def connect_resp3(address: Address) -> tuple[asyncio.StreamWriter, ReadOutcome]:
    """Connects a RESP3 client."""
    return await connect_resp(address, resp(b"HELLO", b"3"))


async def connect_http(address: Address) -> tuple[asyncio.StreamWriter, ReadOutcome]:
    """Connects an HTTP client."""
    client = await HttpClient.connect(address)

    async def read() -> str | None:
        try:
            status, _, _ = await client.read_response()
        except (EOFError, ConnectionError, h11.RemoteProtocolError):
            return None
        return {500: "failed", 429: "rejected"}[status]

    return client.writer, read


FRONT_ENDS = {
    "resp2-v1": FrontEnd(0, resp_read, connect_resp),
    "resp3-v2": FrontEnd(1, resp_read, connect_resp3),
    "http-v2": FrontEnd(2, http_read, connect_http),
}


@asynccontextmanager
async def ingress_with_all_front_ends(
    clock: Clock | None = None, settings: dict[str, Any] = SETTINGS
) -> AsyncIterator[tuple[Application, list[Address], ScriptedPolicy]]:
    """Runs an ingress with a listener for each kind of client; its policy leaves requests open.

    Yields the ingress, the addresses of its listeners and the policy.
    """
    ingress = Application(config(settings=settings), clock, operator=OPERATOR)
    stub = ScriptedPolicy(None)
    ingress.exchange.policy = stub
    async with running(ingress) as addresses:
        yield ingress, addresses, stub


def the_connection(ingress: Application, listener: int = 0) -> ClientConnection:
    """Returns the only connection of a listener."""
    [connection] = ingress.listeners[listener].connections
    return connection
