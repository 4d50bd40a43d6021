"""Timeouts of backends while the ingress itself is held up."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from ingress.policy.events import Outcome
from ingress.transport.peer_timeout import MAX_EXTENSIONS, RESUME_GRACE_S, PeerTimeout
from tests.peers import backend, run, value
from tests.support.hold_ups import hold_up_between_reads
from tests.support.pools import PoolHarness

CONNECT_TIMEOUT_S = 0.1
HOLD_UP_S = 0.3
ATTEMPT_TIMEOUT_S = 0.2


def test_a_connection_that_comes_up_during_a_hold_up_is_used() -> None:
    """Guards against a failed attempt at a backend that had accepted the connection in time."""

    async def body() -> None:
        async with backend(value(b"hello")) as peer:
            pool = PoolHarness(peer.address, connect_timeout=CONNECT_TIMEOUT_S)
            pool.start()
            pool.pool.loop.call_soon(time.sleep, HOLD_UP_S)
            assert await pool.outcome() == (Outcome.OK, b"hello")

    run(body())


@asynccontextmanager
async def accepted_attempt(timeout_s: float) -> AsyncIterator[tuple[PoolHarness, socket.socket]]:
    """Starts an attempt; yields its pool and the backend's socket, which has read the request."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setblocking(False)
        loop = asyncio.get_running_loop()
        pool = PoolHarness(server.getsockname())
        pool.start(wait=timeout_s)
        connection, _ = await loop.sock_accept(server)
        with connection:
            connection.setblocking(False)
            await loop.sock_recv(connection, 1 << 16)
            yield pool, connection


def test_a_response_that_arrives_during_a_hold_up_is_read_before_the_attempt_times_out() -> None:
    """Guards against a failure, or a second attempt, although the backend answered in time."""

    async def body() -> None:
        async with accepted_attempt(ATTEMPT_TIMEOUT_S) as (pool, connection):
            await hold_up_between_reads(HOLD_UP_S, lambda: connection.send(value(b"hello")))
            assert await pool.outcome() == (Outcome.OK, b"hello")

    run(body())


@pytest.mark.parametrize("sent", [b"", value(b"hello")[:-1]])
def test_an_incomplete_response_times_out_after_a_hold_up(sent: bytes) -> None:
    """Guards against an attempt that does not end while its backend sends single bytes."""

    async def body() -> None:
        async with accepted_attempt(ATTEMPT_TIMEOUT_S) as (pool, connection):
            await hold_up_between_reads(HOLD_UP_S, lambda: connection.send(sent))
            ended = asyncio.create_task(pool.outcome())
            began = time.monotonic()
            assert await ended == (Outcome.TIMEOUT, None)
            assert time.monotonic() - began < ATTEMPT_TIMEOUT_S

    run(body())


def test_a_timeout_of_a_silent_peer_ends_although_the_process_is_always_held_up() -> None:
    """Guards against a wait that each hold-up extends."""

    async def body() -> None:
        loop = asyncio.get_running_loop()
        stopped = False

        def keep_holding_up() -> None:
            time.sleep(RESUME_GRACE_S)
            if not stopped:
                loop.call_soon(keep_holding_up)

        loop.call_soon(keep_holding_up)
        began = time.monotonic()
        with pytest.raises(TimeoutError):
            async with PeerTimeout(CONNECT_TIMEOUT_S):
                await asyncio.Event().wait()
        stopped = True
        # Each extension ends in the next iteration of the event loop at the latest.
        limit = CONNECT_TIMEOUT_S + (MAX_EXTENSIONS + 3) * 2 * RESUME_GRACE_S
        assert CONNECT_TIMEOUT_S < time.monotonic() - began < limit

    run(body())


def test_a_timeout_of_a_silent_peer_expires_in_time() -> None:
    """Guards against a timeout that lasts longer where nothing is held up."""

    async def body() -> None:
        began = time.monotonic()
        with pytest.raises(TimeoutError):
            async with PeerTimeout(CONNECT_TIMEOUT_S):
                await asyncio.Event().wait()
        assert time.monotonic() - began < CONNECT_TIMEOUT_S + 2 * RESUME_GRACE_S

    run(body())
