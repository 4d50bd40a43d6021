"""Client of the shared counter: outcomes, order of answers, and failing connections."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from ingress.core.clock import unix_clock
from ingress.platform import counter_client as module
from ingress.platform.counter_client import CounterClient
from ingress.policy.events import CounterReply, Outcome
from tests.peers import Address, Peer, Reader, Writer, run, until
from tests.support.hold_ups import hold_up_between_reads


class ClientHarness:
    """A `CounterClient` under test, and its replies."""

    def __init__(self, address: Address, timeout: float = 5.0) -> None:
        self.replies: list[CounterReply] = []
        self.counter = CounterClient(address, timeout, unix_clock(), self.replies.append)

    def add(self, name: int = 7, amount: float = 1.0, lifetime: float = 60.0) -> None:
        self.counter.call(name, amount, lifetime)

    async def reply(self, count: int = 1) -> tuple[int, Outcome, float]:
        await until(lambda: len(self.replies) >= count)
        reply = self.replies[count - 1]
        return reply.key, reply.outcome, reply.total


def scripted(*answers: bytes) -> Peer:
    """Returns a peer that gives the answers in turn, then stays silent."""

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        for answer in answers:
            peer.commands.append([await reader.readline()])
            writer.write(answer)
        while line := await reader.readline():
            peer.commands.append([line])

    peer = Peer(script)
    return peer


MALFORMED = (
    b"what\r\n",
    b"ok\r\n",
    b"ok nan\r\n",
    b"ok inf\r\n",
    b"ok 1_0\r\n",
    b"ok 1e\r\n",
    b"\xff\xfe\r\n",
    b"\r\n",
    b"x" * 300,
)


@pytest.mark.parametrize("answer", MALFORMED)
def test_a_malformed_answer_closes_its_connection(answer: bytes) -> None:
    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while await reader.readline():
            writer.write(b"ok 5\r\n" if number else answer + b"ok 99\r\n")

    async def body() -> None:
        async with Peer(script) as peer:
            harness = ClientHarness(peer.address)
            harness.add()
            assert (await harness.reply())[1] is Outcome.TIMEOUT
            harness.add()
            assert await harness.reply(2) == (7, Outcome.OK, 5.0)

    run(body())


def test_a_slow_call_does_not_delay_the_others() -> None:
    """Answers come in order, so the slow call blocks its connection; later calls use another."""

    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while b"add 1 " not in await reader.readline():
            writer.write(b"ok 5\r\n")
        await reader.read()

    async def body() -> None:
        async with Peer(script) as peer:
            harness = ClientHarness(peer.address)
            harness.add(1)
            await until(lambda: harness.counter.connections)
            harness.add(2)  # queued behind the slow call, while a further connection is established
            await until(lambda: len(harness.counter.connections) == 2)
            for name in range(3, 20):
                harness.add(name)
                await harness.reply(name - 2)
            assert [reply.key for reply in harness.replies] == list(range(3, 20))
            assert peer.connections == 2

    run(body())


@pytest.mark.parametrize(
    ("answer", "outcome", "total"),
    [
        (b"ok 41.5\r\n", Outcome.OK, 41.5),
        (b"ok -3\r\n", Outcome.OK, -3.0),
        (b"busy\r\n", Outcome.OVERLOADED, 0.0),
        (b"error\r\n", Outcome.OVERLOADED, 0.0),
        (b"ok 1.5e+03\r\n", Outcome.OK, 1500.0),
        *((answer, Outcome.TIMEOUT, 0.0) for answer in MALFORMED),
    ],
)
def test_each_answer_is_reported_with_its_outcome(
    answer: bytes, outcome: Outcome, total: float
) -> None:
    async def body() -> None:
        async with scripted(answer) as peer:
            harness = ClientHarness(peer.address)
            harness.add()
            assert await harness.reply() == (7, outcome, total)

    run(body())


@pytest.mark.parametrize(
    ("amount", "lifetime", "line"),
    [
        (1.0, 60.0, b"add 7 1 60000\r\n"),
        (-2.5, 4.0, b"add 7 -2.5 4000\r\n"),
        (0.0, 0.0, b"add 7 0 1\r\n"),
        (1e-7, 99.0, b"add 7 0 60000\r\n"),
        (1e8, 1.0, b"add 7 100000000 1000\r\n"),
    ],
)
def test_writes_a_call_as_one_line(amount: float, lifetime: float, line: bytes) -> None:
    async def body() -> None:
        async with scripted() as peer:
            harness = ClientHarness(peer.address)
            harness.add(7, amount, lifetime)
            await until(lambda: peer.commands)
            assert peer.commands == [[line]]

    run(body())


def test_calls_are_pipelined_on_one_connection_and_matched_in_order() -> None:
    harnesses: list[ClientHarness] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        for _ in range(3):
            peer.commands.append([await reader.readline()])
        writer.write(b"ok 1\r\nbu")
        await until(lambda: harnesses[0].replies)
        writer.write(b"sy\r\nok 3\r\n")
        await reader.read()

    async def body() -> None:
        async with peer:
            harness = ClientHarness(peer.address)
            harnesses.append(harness)
            for name in (1, 2, 3):
                harness.add(name)
            await harness.reply(3)
            assert [(r.key, r.outcome, r.total) for r in harness.replies] == [
                (1, Outcome.OK, 1.0),
                (2, Outcome.OVERLOADED, 0.0),
                (3, Outcome.OK, 3.0),
            ]
            assert peer.connections == 1

    peer = Peer(script)
    run(body())


def test_a_late_answer_is_not_matched_to_the_next_call() -> None:
    harnesses: list[ClientHarness] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await reader.readline()
        await until(lambda: harnesses[0].replies)
        harnesses[0].counter.timeout = 5.0
        harnesses[0].add(2)
        await reader.readline()
        writer.write(b"ok 100\r\nok 200\r\n")
        await reader.read()

    async def body() -> None:
        async with Peer(script) as peer:
            harness = ClientHarness(peer.address, timeout=0.2)
            harnesses.append(harness)
            harness.add(1)
            assert await harness.reply() == (1, Outcome.TIMEOUT, 0.0)
            assert await harness.reply(2) == (1, Outcome.OK, 100.0)  # late, but still valid
            assert await harness.reply(3) == (2, Outcome.OK, 200.0)

    run(body())


def test_a_refused_connection_reports_that_nothing_was_added() -> None:
    async def body() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = server.getsockname()
        harness = ClientHarness(address)
        harness.add()
        assert await harness.reply() == (7, Outcome.CONNECT_FAILED, 0.0)

    run(body())


def test_a_call_that_timed_out_while_connecting_is_never_sent() -> None:
    async def body() -> None:
        with socket.socket() as server:
            server.bind(("127.0.0.1", 0))
            server.listen(0)
            fillers = [socket.socket() for _ in range(4)]
            for sock in fillers:
                sock.setblocking(False)
                sock.connect_ex(server.getsockname())
            harness = ClientHarness(server.getsockname(), timeout=0.05)
            harness.add()
            assert await harness.reply() == (7, Outcome.CONNECT_FAILED, 0.0)
            await until(lambda: harness.counter.connecting is None)
            assert len(harness.replies) == 1
            for sock in fillers:
                sock.close()

    run(body())


def test_a_call_whose_connection_ends_times_out_and_the_connection_is_replaced() -> None:
    async def script(number: int, reader: Reader, writer: Writer) -> None:
        await reader.readline()
        if number == 1:
            writer.write(b"ok 5\r\n")
            await reader.read()

    async def body() -> None:
        async with Peer(script) as peer:
            harness = ClientHarness(peer.address)
            harness.add()
            assert await harness.reply() == (7, Outcome.TIMEOUT, 0.0)
            harness.add()
            assert await harness.reply(2) == (7, Outcome.OK, 5.0)

    run(body())


def test_a_silent_connection_is_replaced() -> None:
    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while await reader.readline():
            if number == 1:
                writer.write(b"ok 5\r\n")

    async def body() -> None:
        async with Peer(script) as peer:
            harness = ClientHarness(peer.address, timeout=0.02)
            harness.add()
            assert await harness.reply() == (7, Outcome.TIMEOUT, 0.0)
            harness.counter.connections[0].pending[0].started_at -= 60.0  # unanswered for 60 s
            harness.counter.timeout = 5.0
            harness.add()
            assert await harness.reply(2) == (7, Outcome.OK, 5.0)
            assert peer.connections == 2

    run(body())


@pytest.mark.interpreted
def test_closes_an_idle_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "IDLE_TIMEOUT_S", 0.05)

    async def body() -> None:
        async with scripted(b"ok 1\r\n") as peer:
            harness = ClientHarness(peer.address)
            harness.add()
            await harness.reply()
            await until(lambda: peer.ended)
            assert not harness.counter.connections

    run(body())


@pytest.mark.parametrize("answers", [True, False])
def test_after_a_change_of_address_pending_calls_finish_and_new_ones_use_the_new_address(
    answers: bool,
) -> None:
    """The old connection is closed after its last answer, or once its calls have timed out."""
    harnesses: list[ClientHarness] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        old.commands.append([await reader.readline()])
        await until(lambda: len(harnesses[0].replies) == 1)
        if answers:
            writer.write(b"ok 1\r\n")
        await reader.read()

    async def body() -> None:
        async with old, scripted(b"ok 2\r\n") as new:
            harness = ClientHarness(old.address, timeout=5.0 if answers else 0.5)
            harnesses.append(harness)
            harness.add(1)
            await until(lambda: old.commands)
            harness.counter.change_address(new.address)
            harness.add(2)
            assert await harness.reply() == (2, Outcome.OK, 2.0)
            assert await harness.reply(2) == (
                (1, Outcome.OK, 1.0) if answers else (1, Outcome.TIMEOUT, 0.0)
            )
            await until(lambda: old.ended)
            assert not harness.counter.tasks

    old = Peer(script)
    run(body())


def test_a_change_of_address_while_connecting_connects_to_the_new_address() -> None:
    async def body() -> None:
        async with scripted() as old, scripted(b"ok 2\r\n") as new:
            harness = ClientHarness(old.address)
            harness.add(1)
            harness.counter.change_address(new.address)
            assert await harness.reply() == (1, Outcome.OK, 2.0)
            await until(lambda: old.ended == old.connections and not harness.counter.tasks)
            assert not old.commands

    run(body())


def test_a_change_of_address_closes_idle_connections() -> None:
    async def body() -> None:
        async with scripted(b"ok 1\r\n") as old, scripted() as new:
            harness = ClientHarness(old.address)
            harness.add()
            await harness.reply()
            harness.counter.change_address(new.address)
            await until(lambda: old.ended)
            assert not harness.counter.connections
            assert not new.connections

    run(body())


SHORT_TIMEOUT_S = 0.05
LONG_HOLD_UP_S = 0.4  # longer than a connect, or the silence of a connection, may last


@asynccontextmanager
async def written_call() -> AsyncIterator[tuple[ClientHarness, socket.socket]]:
    """Yields a client with one call, and the counter's socket, which has read it."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setblocking(False)
        harness = ClientHarness(server.getsockname(), SHORT_TIMEOUT_S)
        harness.add()
        connection, _ = await harness.counter.loop.sock_accept(server)
        with connection:
            connection.setblocking(False)
            await harness.counter.loop.sock_recv(connection, 1 << 16)
            yield harness, connection


def test_an_answer_that_arrives_during_a_hold_up_is_read_before_its_call_times_out() -> None:
    """Guards against a call reported as lost although the counter answered in time."""

    async def body() -> None:
        async with written_call() as (harness, connection):
            await hold_up_between_reads(SHORT_TIMEOUT_S, lambda: connection.send(b"ok 5\r\n"))
            assert await harness.reply() == (7, Outcome.OK, 5.0)
            assert len(harness.replies) == 1

    run(body())


def test_a_connection_whose_answers_are_unread_after_a_hold_up_is_not_silent() -> None:
    """Guards against dropping a working connection with all answers that have arrived."""

    async def body() -> None:
        async with written_call() as (harness, connection):

            def answer_and_call_again() -> None:
                connection.send(b"ok 5\r\n")
                time.sleep(LONG_HOLD_UP_S)
                harness.add()

            await hold_up_between_reads(0.0, answer_and_call_again)
            assert await harness.reply() == (7, Outcome.OK, 5.0)
            assert not harness.counter.faults

    run(body())


def test_a_connection_that_comes_up_during_a_hold_up_is_kept() -> None:
    """Guards against a counter that can't be used because each hold-up ends the connect."""

    async def body() -> None:
        async with scripted() as peer:
            harness = ClientHarness(peer.address, SHORT_TIMEOUT_S)
            harness.add()
            asyncio.get_running_loop().call_soon(time.sleep, LONG_HOLD_UP_S)
            await until(lambda: harness.counter.connecting is None)
            assert len(harness.counter.connections) == 1

    run(body())


def test_a_call_on_a_silent_connection_times_out_after_a_hold_up() -> None:
    """Guards against a call that is never reported."""

    async def body() -> None:
        async with written_call() as (harness, connection):
            await hold_up_between_reads(SHORT_TIMEOUT_S, lambda: connection.send(b"o"))
            assert await harness.reply() == (7, Outcome.TIMEOUT, 0.0)

    run(body())
