"""The counter's client: outcomes, the order of answers, and connections that fail."""

from __future__ import annotations

import socket

import pytest

from ingress.core.clock import unix_clock
from ingress.platform import counter_client as module
from ingress.platform.counter_client import CounterClient
from ingress.policy.events import CounterReply, Outcome
from tests.peers import Address, Peer, Reader, Writer, run, until


class Calls:
    """A counter's client under test, and what it has told."""

    def __init__(self, address: Address, timeout: float = 5.0) -> None:
        self.replies: list[CounterReply] = []
        self.counter = CounterClient(address, timeout, unix_clock(), self.replies.append)

    def add(self, name: int = 7, amount: float = 1.0, lifetime: float = 60.0) -> None:
        self.counter.call(name, amount, lifetime)

    async def reply(self, count: int = 1) -> tuple[int, Outcome, float]:
        await until(lambda: len(self.replies) >= count)
        last = self.replies[count - 1]
        return last.key, last.outcome, last.total


def scripted(*answers: bytes) -> Peer:
    """Answers the calls in turn, then falls silent."""

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
def test_a_malformed_answer_ends_its_connection(answer: bytes) -> None:
    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while await reader.readline():
            writer.write(b"ok 5\r\n" if number else answer + b"ok 99\r\n")

    async def body() -> None:
        async with Peer(script) as peer:
            calls = Calls(peer.address)
            calls.add()
            assert (await calls.reply())[1] is Outcome.TIMEOUT
            calls.add()
            assert await calls.reply(2) == (7, Outcome.OK, 5.0)

    run(body())


def test_a_slow_call_does_not_delay_the_others() -> None:
    """Its answer is owed first on its connection; the next calls go on others, up to the most."""

    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while b"add 1 " not in await reader.readline():
            writer.write(b"ok 5\r\n")
        await reader.read()

    async def body() -> None:
        async with Peer(script) as peer:
            calls = Calls(peer.address)
            calls.add(1)
            await until(lambda: calls.counter.connections)
            calls.add(2)  # behind it: a further connection is only coming up
            await until(lambda: len(calls.counter.connections) == 2)
            for name in range(3, 20):
                calls.add(name)
                await calls.reply(name - 2)
            assert [reply.key for reply in calls.replies] == list(range(3, 20))
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
def test_outcome_of_each_answer(answer: bytes, outcome: Outcome, total: float) -> None:
    async def body() -> None:
        async with scripted(answer) as peer:
            calls = Calls(peer.address)
            calls.add()
            assert await calls.reply() == (7, outcome, total)

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
            calls = Calls(peer.address)
            calls.add(7, amount, lifetime)
            await until(lambda: peer.commands)
            assert peer.commands == [[line]]

    run(body())


def test_calls_are_pipelined_on_one_connection_and_matched_in_order() -> None:
    made: list[Calls] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        for _ in range(3):
            peer.commands.append([await reader.readline()])
        writer.write(b"ok 1\r\nbu")
        await until(lambda: made[0].replies)
        writer.write(b"sy\r\nok 3\r\n")
        await reader.read()

    async def body() -> None:
        async with peer:
            calls = Calls(peer.address)
            made.append(calls)
            for name in (1, 2, 3):
                calls.add(name)
            await calls.reply(3)
            assert [(r.key, r.outcome, r.total) for r in calls.replies] == [
                (1, Outcome.OK, 1.0),
                (2, Outcome.OVERLOADED, 0.0),
                (3, Outcome.OK, 3.0),
            ]
            assert peer.connections == 1

    peer = Peer(script)
    run(body())


def test_a_late_answer_is_not_taken_for_the_next_calls() -> None:
    made: list[Calls] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await reader.readline()
        await until(lambda: made[0].replies)
        made[0].counter.timeout = 5.0
        made[0].add(2)
        await reader.readline()
        writer.write(b"ok 100\r\nok 200\r\n")
        await reader.read()

    async def body() -> None:
        async with Peer(script) as peer:
            calls = Calls(peer.address, timeout=0.2)
            made.append(calls)
            calls.add(1)
            assert await calls.reply() == (1, Outcome.TIMEOUT, 0.0)
            assert await calls.reply(2) == (1, Outcome.OK, 100.0)  # late, and true all the same
            assert await calls.reply(3) == (2, Outcome.OK, 200.0)

    run(body())


def test_a_refused_connection_reports_that_nothing_was_added() -> None:
    async def body() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = server.getsockname()
        calls = Calls(address)
        calls.add()
        assert await calls.reply() == (7, Outcome.CONNECT_FAILED, 0.0)

    run(body())


def test_a_call_that_timed_out_before_its_connection_came_up_is_never_sent() -> None:
    async def body() -> None:
        with socket.socket() as server:
            server.bind(("127.0.0.1", 0))
            server.listen(0)
            fillers = [socket.socket() for _ in range(4)]
            for sock in fillers:
                sock.setblocking(False)
                sock.connect_ex(server.getsockname())
            calls = Calls(server.getsockname(), timeout=0.05)
            calls.add()
            assert await calls.reply() == (7, Outcome.CONNECT_FAILED, 0.0)
            await until(lambda: calls.counter.connecting is None)
            assert len(calls.replies) == 1
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
            calls = Calls(peer.address)
            calls.add()
            assert await calls.reply() == (7, Outcome.TIMEOUT, 0.0)
            calls.add()
            assert await calls.reply(2) == (7, Outcome.OK, 5.0)

    run(body())


def test_a_silent_connection_is_replaced() -> None:
    async def script(number: int, reader: Reader, writer: Writer) -> None:
        while await reader.readline():
            if number == 1:
                writer.write(b"ok 5\r\n")

    async def body() -> None:
        async with Peer(script) as peer:
            calls = Calls(peer.address, timeout=0.02)
            calls.add()
            assert await calls.reply() == (7, Outcome.TIMEOUT, 0.0)
            calls.counter.connections[0].pending[
                0
            ].started_at -= 60.0  # it is owed an answer for long
            calls.counter.timeout = 5.0
            calls.add()
            assert await calls.reply(2) == (7, Outcome.OK, 5.0)
            assert peer.connections == 2

    run(body())


@pytest.mark.interpreted
def test_closes_an_idle_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "IDLE_TIMEOUT_S", 0.05)

    async def body() -> None:
        async with scripted(b"ok 1\r\n") as peer:
            calls = Calls(peer.address)
            calls.add()
            await calls.reply()
            await until(lambda: peer.ended)
            assert not calls.counter.connections

    run(body())


@pytest.mark.parametrize("answers", [True, False])
def test_after_a_move_pending_calls_finish_and_new_ones_go_to_the_new_address(
    answers: bool,
) -> None:
    """The old connection ends with its last answer, or once its calls have timed out."""
    made: list[Calls] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        old.commands.append([await reader.readline()])
        await until(lambda: len(made[0].replies) == 1)
        if answers:
            writer.write(b"ok 1\r\n")
        await reader.read()

    async def body() -> None:
        async with old, scripted(b"ok 2\r\n") as new:
            calls = Calls(old.address, timeout=5.0 if answers else 0.5)
            made.append(calls)
            calls.add(1)
            await until(lambda: old.commands)
            calls.counter.change_address(new.address)
            calls.add(2)
            assert await calls.reply() == (2, Outcome.OK, 2.0)
            assert await calls.reply(2) == (
                (1, Outcome.OK, 1.0) if answers else (1, Outcome.TIMEOUT, 0.0)
            )
            await until(lambda: old.ended)
            assert not calls.counter.tasks

    old = Peer(script)
    run(body())


def test_a_move_while_connecting_connects_to_the_new_address() -> None:
    async def body() -> None:
        async with scripted() as old, scripted(b"ok 2\r\n") as new:
            calls = Calls(old.address)
            calls.add(1)
            calls.counter.change_address(new.address)
            assert await calls.reply() == (1, Outcome.OK, 2.0)
            await until(lambda: old.ended == old.connections and not calls.counter.tasks)
            assert not old.commands

    run(body())


def test_a_move_closes_idle_connections() -> None:
    async def body() -> None:
        async with scripted(b"ok 1\r\n") as old, scripted() as new:
            calls = Calls(old.address)
            calls.add()
            await calls.reply()
            calls.counter.change_address(new.address)
            await until(lambda: old.ended)
            assert not calls.counter.connections
            assert not new.connections

    run(body())
