"""The complete ingress on sockets, with clients, the real policy and scripted backends."""

from __future__ import annotations

import asyncio
import logging

import hiredis
import pytest

from ingress.application import Application
from ingress.core.clock import unix_clock
from ingress.policy.actions import Action, FailRequest, RejectRequest, SetTimer, StartAttempt
from ingress.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    Outcome,
    RequestReceived,
    TimerFired,
)
from ingress.policy.gateway import Gateway
from tests.peers import (
    Caller,
    Peer,
    Reader,
    Writer,
    backend,
    command,
    config,
    entry,
    read_command,
    resp,
    run,
    until,
    value,
)
from tests.support.applications import ScriptedPolicy, serving, start_attempt


def test_answers_ping_and_connection_commands_itself() -> None:
    async def body() -> None:
        async with serving(config()) as (_, address):
            caller = await Caller.connect(address)
            caller.writer.write(resp(b"PING"))
            assert await caller.reader.readexactly(7) == b"+PONG\r\n"
            assert await caller.request(resp(b"SELECT", b"0")) == b"OK"
            assert await caller.request(resp(b"CLIENT", b"SETNAME", b"x")) == b"OK"
            assert str(await caller.request(resp(b"HELLO", b"3"))).startswith("ERR")

    run(body())


@pytest.mark.parametrize("body", [b"x", bytes(range(256)) * 256])
def test_forwards_a_value_of_any_bytes_unchanged(body: bytes) -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        words = await read_command(reader)
        peer.commands.append(words)
        writer.write(value(words[4]))
        await reader.read()

    async def exchange() -> None:
        async with peer, serving(config(entry(peer.address))) as (_, address):
            caller = await Caller.connect(address)
            assert await caller.request(command(cls="order", body=body)) == body
            [words] = peer.commands
            assert words[0] == b"API.WRITE"
            assert words[1] == b"%016x" % 7
            assert b"k=0123456789abcdef" in words[3].split(b",")

    peer = Peer(script)
    run(exchange())


def test_responses_keep_the_order_of_pipelined_requests() -> None:
    async def script(_: int, reader: Reader, writer: Writer) -> None:
        words = await read_command(reader)
        if words[2] == b"slow":
            await until(lambda: peer.commands)
        else:
            peer.commands.append(words)
        writer.write(value(words[2]))
        await reader.read()

    async def body() -> None:
        async with peer, serving(config(entry(peer.address))) as (ingress, address):
            ingress.exchange.policy = ScriptedPolicy(start_attempt)
            caller = await Caller.connect(address)
            caller.writer.write(command("slow") + command("quick") + resp(b"PING"))
            assert [await caller.read_response() for _ in range(3)] == [b"slow", b"quick", b"PONG"]

    peer = Peer(script)
    run(body())


def command_with(old: bytes, new: bytes) -> bytes:
    """Returns a command with one field replaced and correct lengths."""
    fields = b"c=read,t=basic,d=2000,units=1,spread=1,first=0"
    return resp(b"API.READ", b"%016x" % 7, b"id", fields.replace(old, new))


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (resp(b"GET", b"x"), "unknown command"),
        (resp(b"API.READ"), "arguments"),
        (command(cls="read").replace(b"c=read", b"c=what"), "unknown class"),
        (command().replace(b"t=basic", b"t=biscu"), "unknown plan"),
        (command(d=0).replace(b"d=0", b"d=x"), "d"),
        (command().replace(b"units=1", b"units=x"), "units"),
        (command().replace(b"units=1", b"units=0"), "units"),
        (command().replace(b"spread=1", b"spread=_"), "spread"),
        (command().replace(b"first=0", b"first=-"), "first"),
        (command_with(b"first=0", b"first=1"), "first"),
        (command_with(b"spread=1", b"spread=2"), "spread"),
        (command_with(b"spread=1", b"spread=0"), "spread"),
        *(
            (command_with(b"units=1", b"units=" + units), "bad number: units")
            for units in (b"2", b"nan", b"inf", b"1_0", b"1e0", b"-1", b"+1", b" 1", b"")
        ),
        (command(d=0), "bad number: d"),
        (command(d=4001), "bad number: d"),
        (command_with(b"d=2", b"d=-2"), "bad number: d"),
        (command(extra=",d=5"), "twice"),
        (command(extra=",r=2"), "bad number: r"),
        (command(""), "no id"),
        (command("a b"), "no id"),
        (command("x" * 129), "no id"),
        (command().replace(b"%016x" % 7, b"0x" + b"0" * 13 + b"7"), "customer"),
        (command(customer=2**33), "customer"),
        (command().replace(b"%016x" % 7, b"z" * 16), "customer"),
        (command(verb="API.WRITE", body=b"x"), "other command"),
        (command().replace(b"c=read,", b"c-read,"), "names and values"),
        (b"*0\r\n", "bulk strings"),
        (command(cls="order").replace(b",k=", b",j="), "k is missing"),
    ],
)
def test_rejects_and_logs_a_malformed_request_and_keeps_the_connection(
    data: bytes, why: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def body() -> None:
        async with serving(config()) as (_, address):
            caller = await Caller.connect(address)
            answer = await caller.request(data)
            assert isinstance(answer, hiredis.ReplyError)
            assert str(answer).startswith("ERR ")
            assert why in str(answer)
            assert await caller.request(resp(b"PING")) == b"PONG"

    with caplog.at_level(logging.WARNING):
        run(body())
    assert any(why in record.getMessage() for record in caplog.records)


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n",
        b"+PING\r\n",
        b"*x\r\n",
        b"*1\r\n$x\r\n",
        b"*4000000000\r\n",
        b"*1\r\n$900000\r\n" + b"x" * 800_000,
        b"*1\r\n:5\r\n",
        b"*1\r\n$-1\r\n",
        b"*-1\r\n",
        b"*1\r\n$3\r\nPINGS\r\n",
        b"*1\r\n$65537\r\n",
        b"*1000000000\r\n",
        b"*1\r\n$99999999999999999",
        b"x" * 100,
    ],
)
def test_closes_after_a_malformed_frame_once_pending_responses_are_sent(data: bytes) -> None:
    applications: list[Application] = []

    async def script(_: int, reader: Reader, writer: Writer) -> None:
        await read_command(reader)
        await until(lambda: applications[0].clients.malformed_requests.count)
        writer.write(value(b"served"))
        await reader.read()

    async def body() -> None:
        async with Peer(script) as peer, serving(config(entry(peer.address))) as (ingress, address):
            applications.append(ingress)
            caller = await Caller.connect(address)
            caller.writer.write(command() + data)
            assert await caller.read_response() == b"served"
            assert str(await caller.read_response()).startswith("ERR ")
            with pytest.raises((EOFError, ConnectionError)):
                await caller.read_response()

    run(body())


def test_rejects_a_frame_that_claims_a_billion_elements_at_once() -> None:
    async def body() -> None:
        async with serving(config()) as (_, address):
            caller = await Caller.connect(address)
            assert "too many words" in str(await caller.request(b"*1000000000\r\n"))
            with pytest.raises((EOFError, ConnectionError)):
                await caller.read_response()

    run(body())


def test_reports_a_disconnected_client_to_the_policy() -> None:
    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            stub = ScriptedPolicy(start_attempt)
            ingress.exchange.policy = stub
            caller = await Caller.connect(address)
            caller.writer.write(command())
            await until(lambda: peer.commands)
            caller.writer.close()
            await until(lambda: stub.events_of(ClientDisconnected))
            assert not ingress.exchange.open_requests

    run(body())


@pytest.mark.parametrize("sent", [True, False])
def test_responds_by_the_deadline_even_if_policy_and_backend_are_silent(sent: bool) -> None:
    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            stub = ScriptedPolicy(start_attempt if sent else None)
            ingress.exchange.policy = stub
            caller = await Caller.connect(address)
            clock = asyncio.get_running_loop().time
            start = clock()
            assert str(await caller.request(command(d=300))) == "ERR failed"
            assert clock() - start > 0.2
            assert len(stub.events_of(ClientDisconnected)) == 1
            await until(
                lambda: not ingress.exchange.attempts and not ingress.exchange.open_requests
            )
            assert len(stub.events_of(AttemptEnded)) == sent
            assert await caller.request(resp(b"PING")) == b"PONG"

    run(body())


def test_policy_responds_before_the_deadline_if_the_backend_is_silent() -> None:
    """The attempt times out first, and the policy has time to respond."""

    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            caller = await Caller.connect(address)
            assert isinstance(await caller.request(command(d=500)), hiredis.ReplyError)
            policy = ingress.exchange.policy
            assert isinstance(policy, Gateway)
            assert not ingress.exchange.open_requests
            assert not policy.requests.by_id

    run(body())


def test_rejection_carries_the_retry_after_time() -> None:
    async def body() -> None:
        async with serving(config()) as (ingress, address):
            waits = {"1": 0.0, "2": 1.2501}
            ingress.exchange.policy = ScriptedPolicy(
                lambda e: [RejectRequest(e.request_id, waits[e.request_id])]
            )
            caller = await Caller.connect(address)
            assert str(await caller.request(command())) == "BUSY"
            assert str(await caller.request(command())) == "BUSY 1251"

    run(body())


def test_drops_a_second_final_response() -> None:
    async def body() -> None:
        async with serving(config()) as (ingress, address):
            ingress.exchange.policy = ScriptedPolicy(
                lambda e: [FailRequest(e.request_id), RejectRequest(e.request_id)]
            )
            caller = await Caller.connect(address)
            assert str(await caller.request(command())) == "ERR failed"
            assert await caller.request(resp(b"PING")) == b"PONG"

    run(body())


def test_exception_in_the_policy_fails_only_one_request(caplog: pytest.LogCaptureFixture) -> None:
    """Actions from before the exception are carried out, in particular the next timer."""

    async def body() -> None:
        async with backend() as peer, serving(config(entry(peer.address))) as (ingress, address):

            def plan(event: Event) -> list[Action]:
                if isinstance(event, RequestReceived) and event.customer.endswith("9"):
                    stub.actions.append(SetTimer(0.0, 5))
                    raise RuntimeError("policy fault")
                return start_attempt(event)

            stub = ScriptedPolicy(plan)
            ingress.exchange.policy = stub
            caller = await Caller.connect(address)
            caller.writer.write(command("one") + command("two", customer=9) + command("three"))
            assert await caller.read_response() == b"one"
            assert str(await caller.read_response()) == "ERR failed"
            assert await caller.read_response() == b"three"
            await until(lambda: stub.events_of(TimerFired))
            await until(lambda: not ingress.exchange.open_requests)

    run(body())
    assert sum("the policy failed" in record.getMessage() for record in caplog.records) == 1


def test_cancels_the_earlier_attempt_before_it_starts_another() -> None:
    async def body() -> None:
        async with (
            backend(b"") as one,
            backend() as two,
            serving(config(entry(one.address), entry(two.address, "s2"))) as (ingress, address),
        ):

            def plan(event: Event) -> list[Action]:
                if isinstance(event, TimerFired):  # the replaced policy's timers may fire too
                    return [StartAttempt("1", "s2")] if event.token == 77 else []
                return (
                    [*start_attempt(event), SetTimer(0.1, 77)]
                    if isinstance(event, RequestReceived)
                    else []
                )

            stub = ScriptedPolicy(plan)
            ingress.exchange.policy = stub
            caller = await Caller.connect(address)
            assert await caller.request(command("x")) == b"x"
            assert [e.outcome for e in stub.events_of(AttemptEnded)] == [
                Outcome.CANCELLED,
                Outcome.OK,
            ]
            await until(lambda: one.ended)

    run(body())


def test_supersedes_an_attempt_after_the_request_ended_or_beyond_the_maximum() -> None:
    async def body() -> None:
        async with (
            backend(b"-ERR failed\r\n") as peer,
            serving(config(entry(peer.address))) as (ingress, address),
        ):

            def plan(event: Event) -> list[Action]:
                retry = isinstance(event, AttemptEnded) and not event.finished and event.attempt < 4
                return [StartAttempt(event.request_id, "s1")] if retry else start_attempt(event)  # type: ignore[union-attr]

            stub = ScriptedPolicy(plan)
            ingress.exchange.policy = stub
            caller = await Caller.connect(address)
            assert str(await caller.request(command(d=300))) == "ERR failed"
            ends = [(e.attempt, e.outcome) for e in stub.events_of(AttemptEnded)]
            assert ends == [*((n, Outcome.ERROR) for n in range(4)), (4, Outcome.SUPERSEDED)]

    run(body())


def test_rejects_requests_beyond_the_maximum_of_open_requests() -> None:
    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            ingress.exchange.max_open_requests = 1
            caller = await Caller.connect(address)
            other = await Caller.connect(address)
            caller.writer.write(command())
            await until(lambda: peer.commands)
            assert str(await other.request(command("other"))) == "BUSY"

    run(body())


def test_rejects_a_request_whose_id_is_open() -> None:
    async def body() -> None:
        async with backend(b"") as peer, serving(config(entry(peer.address))) as (ingress, address):
            ingress.exchange.policy = ScriptedPolicy(start_attempt)
            one = await Caller.connect(address)
            two = await Caller.connect(address)
            one.writer.write(command("same", d=300))
            await until(lambda: peer.commands)
            assert "open request" in str(await two.request(command("same")))
            assert str(await one.read_response()) == "ERR failed"
            two.writer.write(command("same", d=300))  # the first request with this id has ended
            assert str(await two.read_response()) == "ERR failed"
            assert len(peer.commands) == 2
            assert not ingress.exchange.client_request_ids

    run(body())


def test_clock_is_unix_time_and_does_not_follow_a_jump(monkeypatch: pytest.MonkeyPatch) -> None:
    import time

    clock = unix_clock()
    assert abs(clock() - time.time()) < 5.0
    before = clock()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert before <= clock() < before + 5.0
