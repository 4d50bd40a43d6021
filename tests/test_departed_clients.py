"""Requests of clients that have closed their connection, on every front end."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest

from ingress.application import Application
from ingress.policy.actions import Action, StartAttempt
from ingress.policy.events import AttemptEnded, Event, Outcome
from ingress.transport.client_connection import MAX_PIPELINED_REQUESTS
from tests.peers import (
    Address,
    Caller,
    Peer,
    Reader,
    Writer,
    config,
    entry,
    read_command,
    run,
    until,
    value,
)
from tests.support.applications import ScriptedPolicy, running, start_attempt
from tests.support.front_ends import FRONT_ENDS, FrontEndRequests
from tests.support.open_front_ends import OPERATOR

DISCONNECT_LIMIT_S = 0.1  # after a client's disconnection no attempt of its requests may start
UNREAD_BYTES = 16 << 20  # more than the socket buffers of both sides hold
BACKEND = "s0#resp2-v1"  # its id with its protocol version
HOLD_UP_S = 0.15  # for which the process may be suspended


class HeldBackend:
    """A backend that records the requests and answers each once `released` is set.

    Attributes:
        received: The ids of the received requests, in order.
        released: Whether requests are answered.
        answer: The answer, or None for the request's id as the value.
    """

    def __init__(self, answer: bytes | None = None) -> None:
        self.received: list[bytes] = []
        self.released = asyncio.Event()
        self.answer = answer

    async def serve(self, _: int, reader: Reader, writer: Writer) -> None:
        while True:
            request_id = (await read_command(reader))[2]
            self.received.append(request_id)
            await self.released.wait()
            writer.write(value(request_id) if self.answer is None else self.answer)


def forward_and_retry(event: Event) -> list[Action]:
    """Returns the actions that forward each request, and retry it while the backend is busy."""
    if isinstance(event, AttemptEnded) and event.outcome is Outcome.OVERLOADED:
        return [] if event.finished else [StartAttempt(event.request_id, BACKEND)]
    return start_attempt(event, BACKEND)


@asynccontextmanager
async def ingress_with_backend(
    held: HeldBackend, backends: int = 8
) -> AsyncIterator[tuple[Application, list[Address]]]:
    """Runs an ingress with a listener for each kind of client, and entries for one backend."""
    async with Peer(held.serve) as peer:
        entries = (entry(peer.address, f"s{number}") for number in range(backends))
        ingress = Application(config(*entries), operator=OPERATOR)
        async with running(ingress) as addresses:
            yield ingress, addresses


async def send_until_blocked(sock: socket.socket, front_end: FrontEndRequests) -> None:
    """Sends requests until neither side's socket buffer takes more."""
    data = b"".join(front_end.read(f"unread{number}") for number in range(1 << 16))
    sent = 0
    while sent < UNREAD_BYTES:
        try:
            sent += sock.send(data)
        except BlockingIOError:
            # The ingress may read more in its next iterations.
            await asyncio.sleep(0.01)
            with suppress(BlockingIOError):
                sent += sock.send(data)
                continue
            return


@pytest.mark.parametrize("front_end", FRONT_ENDS)
@pytest.mark.parametrize("answer", [None, b"-BUSY\r\n"], ids=["served", "retried"])
def test_forwards_nothing_for_a_client_that_closed_behind_unread_requests(
    front_end: str, answer: bytes | None
) -> None:
    """Guards against attempts for a client whose close is hidden behind its unread requests."""

    async def body() -> None:
        requests = FRONT_ENDS[front_end]
        held = HeldBackend(answer)
        async with ingress_with_backend(held) as (ingress, addresses):
            ingress.exchange.policy = ScriptedPolicy(forward_and_retry)
            sock = socket.create_connection(addresses[requests.listener])
            sock.setblocking(False)
            await send_until_blocked(sock, requests)
            await until(lambda: len(held.received) == MAX_PIPELINED_REQUESTS)
            sock.close()
            await asyncio.sleep(DISCONNECT_LIMIT_S)
            begun = len(held.received)
            held.released.set()
            await until(lambda: not ingress.listeners[requests.listener].connections)
            await until(lambda: not ingress.exchange.open_requests)
            assert len(held.received) == begun

    run(body())


@pytest.mark.parametrize("front_end", FRONT_ENDS)
def test_forwards_nothing_for_a_client_that_closed_during_a_hold_up(front_end: str) -> None:
    """Guards against forwarding a request that is read together with the end of its client."""

    async def body() -> None:
        requests = FRONT_ENDS[front_end]
        held = HeldBackend()
        held.released.set()
        async with ingress_with_backend(held, backends=1) as (ingress, addresses):
            address = addresses[requests.listener]
            staying = await Caller.connect(address)
            staying.writer.write(requests.read("first"))
            await staying.reader.read(1)
            leaving = socket.create_connection(address)
            await until(lambda: len(ingress.listeners[requests.listener].connections) == 2)
            await until(lambda: not ingress.exchange.open_requests)
            leaving.sendall(requests.read("left"))
            leaving.close()
            time.sleep(HOLD_UP_S)  # noqa: ASYNC251 - holds up the whole process
            await until(lambda: len(ingress.listeners[requests.listener].connections) == 1)
            staying.writer.write(requests.read("last"))
            await until(lambda: b"last" in held.received)
            assert b"left" not in held.received

    run(body())


@pytest.mark.parametrize("front_end", FRONT_ENDS)
@pytest.mark.parametrize("after_the_end", [False, True])
def test_an_id_whose_client_left_does_not_run_again(front_end: str, after_the_end: bool) -> None:
    """Guards against running an id twice: its first attempt may run, though its client has left."""

    async def body() -> None:
        requests = FRONT_ENDS[front_end]
        held = HeldBackend()
        async with ingress_with_backend(held) as (ingress, addresses):
            address = addresses[requests.listener]
            leaving = await Caller.connect(address)
            leaving.writer.write(requests.read("once"))
            await until(lambda: held.received)
            leaving.writer.transport.abort()
            await until(lambda: not ingress.listeners[requests.listener].connections)
            if after_the_end:
                held.released.set()
                await until(lambda: not ingress.exchange.attempts)
            returning = await Caller.connect(address)
            returning.writer.write(requests.read("once"))
            answer = await returning.reader.read(1 << 16)
            assert answer.startswith((b"-ERR", b"HTTP/1.1 400"))
            assert held.received == [b"once"]

    run(body())
