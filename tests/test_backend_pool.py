"""The pool of backend connections: outcomes, reuse of connections, drains and limits."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Mapping
from typing import Any

import pytest

from ingress.core.ports import Attempt
from ingress.policy.events import Backend, Outcome, Readiness
from ingress.transport import backend_pool
from tests.peers import Peer, Reader, Writer, backend, read_command, run, until, value
from tests.support.pools import READ_COMMAND, PoolHarness, make_command


@pytest.mark.parametrize("partial", [b"", b"*3\r\n$5\r\nhel"])
def test_reports_reset_if_the_connection_ends_during_an_attempt(partial: bytes) -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await read_command(reader)
        writer.write(partial)

    async def body() -> None:
        async with Peer(script) as peer:
            pool = PoolHarness(peer.address)
            pool.start()
            assert await pool.outcome() == (Outcome.RESET, None)
            assert pool.pool.connection_count == 0

    run(body())


def test_reports_connect_failed_if_the_connection_is_refused() -> None:
    async def body() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = server.getsockname()
        pool = PoolHarness(address)
        pool.start()
        assert await pool.outcome() == (Outcome.CONNECT_FAILED, None)
        pool.start("unknown")
        assert await pool.outcome(2) == (Outcome.CONNECT_FAILED, None)

    run(body())


@pytest.mark.parametrize("wait", [5.0, 0.05])
def test_reports_connect_failed_if_the_connection_is_not_established_in_time(wait: float) -> None:
    async def body() -> None:
        with socket.socket() as server:
            server.bind(("127.0.0.1", 0))
            server.listen(0)
            # These fill the backlog, so that further connection attempts get no response.
            fillers = [socket.socket() for _ in range(4)]
            for sock in fillers:
                sock.setblocking(False)
                sock.connect_ex(server.getsockname())
            pool = PoolHarness(server.getsockname(), connect_timeout=0.1)
            pool.start(wait=wait)
            assert await pool.outcome() == (Outcome.CONNECT_FAILED, None)
            await until(lambda: pool.pool.connection_count == 0)
            for sock in fillers:
                sock.close()

    run(body())


@pytest.mark.parametrize("cancel", [True, False])
def test_closes_the_connection_before_it_reports_a_cancelled_or_late_attempt(cancel: bool) -> None:
    """A request never has two attempts in flight, not even for one iteration of the event loop."""

    async def body() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            pool = PoolHarness(server.getsockname())
            received: list[bytes] = []

            def ended(
                attempt: Attempt, outcome: Outcome, answer: bytes | None, load: Mapping[str, float]
            ) -> None:
                pool.outcomes.append((attempt.number, outcome, answer))
                received.append(peer.recv(100))

            pool.pool.report_outcome = ended
            attempt = pool.start(wait=5.0 if cancel else 0.2)
            peer, _ = await loop.sock_accept(server)
            peer.setblocking(False)
            assert (await loop.sock_recv(peer, 4096)).endswith(b"\r\n")
            if cancel:
                pool.pool.cancel(attempt)
            assert (await pool.outcome())[0] is (Outcome.CANCELLED if cancel else Outcome.TIMEOUT)
            assert received == [b""]
            peer.close()

    run(body())


def test_reuses_the_most_recently_used_connection() -> None:
    async def body() -> None:
        async with backend() as peer:
            pool = PoolHarness(peer.address)
            pool.start()
            pool.start()
            await pool.outcome(2)
            latest = pool.pool.endpoints["s0"].idle[-1]
            pool.clock_offset = backend_pool.SETTLE_TIME_S
            attempt = pool.start()
            assert attempt.connection is latest
            await pool.outcome(3)
            assert peer.connections == 2
            assert pool.pool.connection_count == 2

    run(body())


def test_does_not_reuse_a_connection_that_the_backend_has_closed() -> None:
    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while True:
            await read_command(reader)
            writer.write(value(b"%d" % number))
            if number == 0:
                return

    async def body() -> None:
        async with Peer(script) as peer:
            pool = PoolHarness(peer.address)
            pool.start()
            assert await pool.outcome() == (Outcome.OK, b"0")
            await until(lambda: peer.ended)
            pool.start()
            assert await pool.outcome(2) == (Outcome.OK, b"1")

    run(body())


def test_drops_an_unsolicited_response_and_its_connection() -> None:
    async def body() -> None:
        async with backend(value(b"one") + value(b"two")) as peer:
            pool = PoolHarness(peer.address)
            pool.start()
            assert await pool.outcome() == (Outcome.OK, b"one")
            assert pool.pool.connection_count == 0

    run(body())


@pytest.mark.interpreted
def test_does_not_mistake_late_bytes_for_the_next_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The next request starts at once, but waits for the connection's settle time."""
    # A busy machine may be late by more than 3 ms.
    monkeypatch.setattr(backend_pool, "SETTLE_TIME_S", 0.5)

    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while True:
            await read_command(reader)
            writer.write(value(b"%d" % number))
            if number == 0:
                await until(lambda: len(pools[0].outcomes) == 1)
                writer.write(value(b"noise"))

    async def body() -> None:
        async with Peer(script) as peer:
            pool = PoolHarness(peer.address)
            pools.append(pool)
            report_outcome = pool.pool.report_outcome

            def ended(*words: Any) -> None:
                report_outcome(*words)
                if len(pool.outcomes) == 1:
                    pool.start()

            pool.pool.report_outcome = ended
            pool.start()
            assert await pool.outcome() == (Outcome.OK, b"0")
            assert await pool.outcome(2) == (Outcome.OK, b"1")

    pools: list[PoolHarness] = []
    run(body())


def test_limits_incomplete_responses_over_all_connections() -> None:
    async def body() -> None:
        async with backend(b"*3\r\n$900000\r\n" + b"x" * 800_000) as peer:
            pool = PoolHarness(peer.address)
            pool.pool.max_buffered_bytes = 1_000_000
            first = pool.start()
            await until(lambda: pool.pool.buffered_bytes > 800_000)
            pool.start()
            assert await pool.outcome() == (Outcome.ERROR, None)
            assert pool.outcomes[0][0] == 1
            assert 800_000 < pool.pool.buffered_bytes < 1_000_000
            pool.pool.cancel(first)
            assert pool.pool.buffered_bytes == 0

    run(body())


@pytest.mark.interpreted
def test_closes_idle_connections_before_the_backend_does(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(backend_pool, "SWEEP_INTERVAL_S", 0.01)

    async def body() -> None:
        async with backend() as peer:
            pool = PoolHarness(peer.address, idle_timeout=15.0)
            pool.start()
            await pool.outcome()
            pool.clock_offset = 8.0
            await asyncio.sleep(0.05)
            assert pool.pool.connection_count == 1
            pool.clock_offset = 10.0
            await until(lambda: pool.pool.connection_count == 0 and peer.ended)

    run(body())


def test_does_not_reuse_a_connection_idle_for_as_long_as_one_that_was_reset() -> None:
    """The backend drops an idle connection, and a reset of the next request is the first sign."""

    async def script(number: int, reader: Reader, writer: Writer) -> None:
        for count in range(4):
            await read_command(reader)
            if number == 0 and count == 1:
                return
            writer.write(value(b"%d" % number))

    async def body() -> None:
        async with Peer(script) as peer:
            pool = PoolHarness(peer.address)
            pool.start()
            assert await pool.outcome() == (Outcome.OK, b"0")
            pool.clock_offset = 2.0
            pool.start()
            assert await pool.outcome(2) == (Outcome.RESET, None)
            pool.start()
            assert await pool.outcome(3) == (Outcome.OK, b"1")
            pool.clock_offset = 3.0  # idle for 1 s: shorter than the connection that was reset
            pool.start()
            assert await pool.outcome(4) == (Outcome.OK, b"1")
            pool.clock_offset = 5.0
            pool.start()
            assert await pool.outcome(5) == (Outcome.OK, b"2")

    run(body())


@pytest.mark.parametrize("readiness", [Readiness.DRAINING, Readiness.REMOVED])
def test_writes_no_request_after_the_grace_period_of_a_drain(readiness: Readiness) -> None:
    async def body() -> None:
        async with backend() as peer:
            pool = PoolHarness(peer.address)
            pool.start()  # its connection is established after the grace period
            pool.update((Backend("s0", readiness=readiness), peer.address), full=False)
            pool.clock_offset = 1.0
            assert await pool.outcome() == (Outcome.CONNECT_FAILED, None)
            pool.start()
            assert await pool.outcome(2) == (Outcome.CONNECT_FAILED, None)
            assert not peer.commands
            pool.update((Backend("s0"), peer.address), full=False)
            pool.start()
            assert (await pool.outcome(3))[0] is Outcome.OK

    run(body())


def test_removes_a_backend_that_is_absent_from_a_full_list() -> None:
    async def body() -> None:
        async with backend() as peer, backend() as other:
            pool = PoolHarness(peer.address, other.address)
            pool.start("s0")
            await pool.outcome()
            pool.update((Backend("s1"), other.address))
            await until(lambda: pool.pool.connection_count == 0)
            pool.clock_offset = 1.0
            pool.start("s0")
            assert await pool.outcome(2) == (Outcome.CONNECT_FAILED, None)
            assert len(peer.commands) == 1

    run(body())


def test_does_not_reuse_a_connection_whose_backend_moved_during_the_request() -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        old.commands.append(await read_command(reader))
        await until(lambda: moved)
        writer.write(value(b"old"))
        await reader.read()

    async def body() -> None:
        async with old, backend(value(b"new")) as new:
            pool = PoolHarness(old.address)
            pool.start()
            await until(lambda: old.commands)
            pool.update((Backend("s0"), new.address), full=False)
            moved.append(True)
            assert await pool.outcome() == (Outcome.OK, b"old")
            pool.start()
            assert await pool.outcome(2) == (Outcome.OK, b"new")

    moved: list[bool] = []
    old = Peer(script)
    run(body())


def test_connects_to_the_new_address_of_a_backend() -> None:
    async def body() -> None:
        async with backend(value(b"old")) as old, backend(value(b"new")) as new:
            pool = PoolHarness(old.address)
            pool.start()
            await pool.outcome()
            pool.update((Backend("s0"), new.address), full=False)
            pool.start()
            assert await pool.outcome(2) == (Outcome.OK, b"new")

    run(body())


def test_lack_of_descriptors_does_not_count_against_the_backend(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def body() -> None:
        async with backend() as peer:
            pool = PoolHarness(peer.address)
            real = socket.socket

            def fail(*_: object) -> None:
                raise OSError(errno.EMFILE, "too many open files")

            monkeypatch.setattr(socket, "socket", fail)
            pool.start()
            assert await pool.outcome() == (Outcome.SUPERSEDED, None)
            monkeypatch.setattr(socket, "socket", real)
            assert pool.pool.connection_count == 0
            pool.start()
            assert await pool.outcome(2) == (Outcome.OK, b"r1")

    run(body())


def test_limits_connections_over_all_backends() -> None:
    async def body() -> None:
        async with backend() as one, backend(b"") as silent:
            pool = PoolHarness(one.address, silent.address, max_connections=2)
            pool.start("s0")
            await pool.outcome()
            pool.start("s1")
            pool.start("s1")  # replaces the idle connection to the other backend
            pool.start("s1")
            assert await pool.outcome(2) == (Outcome.SUPERSEDED, None)  # not a backend failure
            await until(lambda: len(silent.commands) == 2)
            assert pool.pool.connection_count == 2
            assert pool.outcomes[-1][0] == 3

    run(body())


def test_does_not_write_an_attempt_after_its_deadline() -> None:
    """The process stalls while the connection is opened, and the timer has not run yet."""

    async def body() -> None:
        async with backend(value(b"hello")) as peer:
            pool = PoolHarness(peer.address)
            written: list[int] = []
            late = pool.start(wait=3.0)
            late.on_written = lambda attempt: written.append(attempt.number)
            pool.clock_offset = 3.5
            assert await pool.outcome() == (Outcome.CONNECT_FAILED, None)
            assert late.connection is None
            now = pool.pool.clock()
            good = Attempt("r", 7, "s0", now, now + 3.0, make_command(*READ_COMMAND))
            # Set before the start, which may write the attempt immediately.
            good.on_written = lambda attempt: written.append(attempt.number)
            pool.pool.start(good)
            assert await pool.outcome(2) == (Outcome.OK, b"hello")
            assert written == [7]

    run(body())
