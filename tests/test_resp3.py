"""resp3-v2: frames, the back's codec before scripted servers, the front's before a kept client (redis)."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import hiredis
import pytest
import redis.asyncio
import redis.exceptions

from ingress.application import Application
from ingress.core.calls import FAILED_RESPONSE, Call
from ingress.platform.operator_config import AdditionalListener, OperatorConfig, ProtocolVersions
from ingress.policy.actions import Action, FailRequest, RejectRequest
from ingress.policy.events import Backend, Event, Outcome, RequestReceived
from ingress.policy.settings import DeduplicationScope
from ingress.protocol_versions.declaration import protocol_version
from ingress.protocol_versions.groups import Grouping
from ingress.resp.resp3_backend_protocol import HELLO, MAX_PUSH_FRAMES, Resp3BackendProtocol
from ingress.resp.resp3_frames import find_frame_end
from ingress.transport.backend_protocol import AttemptResult, MalformedResponseError
from ingress.transport.client_protocol import MalformedFrameError
from tests.peers import (
    Address,
    Caller,
    Peer,
    backend,
    command,
    config,
    entry,
    read_command,
    resp,
    run,
    value,
)
from tests.support.applications import ScriptedPolicy
from tests.test_http_front import BODY, READ, Http
from tests.test_http_front import whole as post
from tests.test_http_wire import h11_server

CALL = Call(
    b"r1",
    "00000000b4d65521",
    "order",
    "base",
    2.0,
    1.0,
    1,
    0,
    False,
    True,
    "0123456789abcdef",
    b"body",
)
GREETING = b"%2\r\n$5\r\nproto\r\n:3\r\n$6\r\nserver\r\n$4\r\ngrid\r\n"
SERVED = b"%2\r\n$5\r\nvalue\r\n$5\r\nhello\r\n$4\r\nload\r\n_\r\n"
NEWS = b">2\r\n$4\r\nnews\r\n*1\r\n:7\r\n"


def blob_error(text: bytes) -> bytes:
    return b"!%d\r\n%b\r\n" % (len(text), text)


def wire(greeted: bool = True, largest: int = 65536) -> Resp3BackendProtocol:
    made = Resp3BackendProtocol(largest, Counter())
    assert made.encode_request(CALL, 0.5).startswith(HELLO)
    if greeted:
        assert made.receive_data(GREETING) is None
    return made


@pytest.mark.parametrize(
    "frame",
    [
        b"+OK\r\n",
        b"_\r\n",
        b",1.5\r\n",
        b",inf\r\n",
        b"#t\r\n",
        b"(99999999999999999999\r\n",
        b"$3\r\na\r\n\r\n",
        b"=7\r\ntxt:abc\r\n",
        blob_error(b"ERR failed"),
        b"*0\r\n",
        b"~1\r\n:1\r\n",
        b"%1\r\n+a\r\n%1\r\n+b\r\n*2\r\n_\r\n_\r\n",
        NEWS,
        SERVED,
        GREETING,
        b"$-1\r\n",
    ],
    ids=range(16),
)
def test_finds_the_end_of_a_frame_only_when_it_is_complete(frame: bytes) -> None:
    for have in range(len(frame)):
        assert find_frame_end(frame[:have], 0, 100, 1000) == -1
    assert find_frame_end(frame + b"+more\r\n", 0, 100, 1000) == len(frame)
    assert find_frame_end(b"+before\r\n" + frame, 9, 100, 1000) == 9 + len(frame)


@pytest.mark.parametrize(
    "data",
    [
        b"$101\r\n",
        b"$9999999999\r\n",
        b"$x\r\n",
        b"$3\r\nabcd\r\n",
        b"*999\r\n",
        b"*-1\r\n",
        b"%70\r\n",
        b"*1\r\n" * 200,
        b"+" + b"x" * 1024,
        b"?\r\n",
        b"|1\r\n+a\r\n+b\r\n",
        b"=-1\r\n",
        b"*2\r\n" * 70,
        b"*20\r\n" + b"$90\r\n" + b"x" * 90 + b"\r\n" + (b"$90\r\n" + b"x" * 90 + b"\r\n") * 15,
    ],
    ids=range(14),
)
def test_rejects_counts_and_lengths_beyond_the_limits_at_their_header(data: bytes) -> None:
    with pytest.raises(MalformedFrameError):
        find_frame_end(data, 0, 100, 1000)


def test_a_value_comes_whole_and_byte_by_byte_and_the_greeting_is_asked_once() -> None:
    made = wire(greeted=False)
    for n in range(len(GREETING + NEWS + SERVED) - 1):
        assert made.receive_data((GREETING + NEWS + SERVED)[n : n + 1]) is None
    assert made.receive_data(b"\n") == AttemptResult(Outcome.OK, b"hello") and made.reasons == {
        "pushed": 1
    }
    assert HELLO not in made.encode_request(CALL, 0.5)
    assert made.receive_data(SERVED + NEWS) == AttemptResult(Outcome.OK, b"hello")


@pytest.mark.parametrize("before", [0, MAX_PUSH_FRAMES])
def test_push_frames_without_end_behind_a_reply_cost_the_connection_alone(before: int) -> None:
    """Guards against a served request that fails, and an exception that no codec may raise."""
    made = wire()
    result = made.receive_data(NEWS * before + SERVED + NEWS * (MAX_PUSH_FRAMES + 1))
    assert result == AttemptResult(Outcome.OK, b"hello", reusable=False)
    with pytest.raises(MalformedResponseError):
        wire().receive_data(NEWS * (MAX_PUSH_FRAMES + 1) + SERVED)


@pytest.mark.parametrize(
    ("data", "outcome", "final"),
    [
        (b"-BUSY\r\n", Outcome.OVERLOADED, False),
        (blob_error(b"BUSY 250"), Outcome.OVERLOADED, False),
        (blob_error(b"ERR failed\r\nbadly"), Outcome.ERROR, False),
        (b"-ERR failed\r\n", Outcome.ERROR, False),
        (blob_error(b"UNCLEAR it may have run"), Outcome.ERROR, False),
        (blob_error(b"SYNTAX what"), Outcome.ERROR, True),
        (b"%1\r\n$5\r\nvalue\r\n$9\r\ntoo large\r\n", Outcome.ERROR, True),
    ],
)
def test_what_an_answer_means(data: bytes, outcome: Outcome, final: bool) -> None:
    made = wire(largest=8)
    done = made.receive_data(data)
    assert done is not None and done.outcome is outcome and done.value is None
    assert (done.final_response == FAILED_RESPONSE) is final


@pytest.mark.parametrize(
    "data",
    [
        b"_\r\n",
        b"+OK\r\n",
        b"$5\r\nhello\r\n",
        b"*1\r\n$5\r\nhello\r\n",
        b"%1\r\n$5\r\nvalue\r\n_\r\n",
        b"-WHAT\r\n",
        b"%1\r\n$5\r\nvalue\r\n%0\r\n",
        b"%1\r\n$5\r\nvalue\r\n!3\r\nERR\r\n",
        NEWS * 65,
        b"HTTP/1.1 200 OK\r\n",
    ],
    ids=range(10),
)
def test_what_is_no_answer_is_spoilt(data: bytes) -> None:
    with pytest.raises(MalformedResponseError):
        wire().receive_data(data)


@pytest.mark.parametrize(
    "data", [b"-NOPROTO\r\n", b"*0\r\n", GREETING.replace(b":3", b":2"), SERVED]
)
def test_a_server_that_does_not_switch_is_not_believed(data: bytes) -> None:
    with pytest.raises(MalformedResponseError):
        wire(greeted=False).receive_data(data)


def test_figures_that_are_none_are_left_out_of_a_report() -> None:
    report = b"%4\r\n$3\r\ncpu\r\n,0.5\r\n$6\r\nactive\r\n:7\r\n$7\r\nwaiting\r\n,inf\r\n$1\r\nx\r\n:1\r\n"
    done = wire().receive_data(b"%2\r\n$5\r\nvalue\r\n$1\r\nv\r\n$4\r\nload\r\n" + report)
    assert done is not None and done.load_report == {"util": 0.5, "inflight": 7.0}


def test_what_is_behind_an_answer_and_no_news_ends_the_connection() -> None:
    for rest in (SERVED, b"+OK\r\n", b">", b">x\r\n"):
        done = wire().receive_data(SERVED + rest)
        assert done is not None and not done.reusable


def test_drawn_bytes_raise_the_codecs_own_error_and_nothing_else() -> None:
    rng = random.Random(3)
    seeds = [GREETING + SERVED, GREETING + NEWS + SERVED, GREETING + blob_error(b"BUSY 3")]
    for n in range(4000):
        data = bytearray(rng.choice(seeds))
        for _ in range(rng.randrange(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        made, at = wire(greeted=False), 0
        try:
            while at < len(data):
                size = rng.randrange(1, 60)
                if made.receive_data(bytes(data[at : at + size])) is not None:
                    break
                at += size
        except MalformedResponseError:
            pass
        except Exception as error:  # pragma: no cover
            raise AssertionError(f"draw {n}: {bytes(data)!r}") from error


def half_way(answer: bytes = b"%1\r\n$5\r\nvalue\r\n$4\r\nhalf\r\n") -> Peer:
    """A grid server of resp3-v2, which tells news in front of each answer."""

    async def script(_: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await read_command(reader) == [b"HELLO", b"3"]
        writer.write(GREETING)
        while True:
            peer.commands.append(await read_command(reader))
            writer.write(NEWS + answer)

    peer = Peer(script)
    return peer


OPERATOR = OperatorConfig(
    ProtocolVersions(by_kind={"m2": "http-v2", "m3": "resp3-v2"}),
    (
        AdditionalListener(("127.0.0.1", 0), "resp3-v2"),
        AdditionalListener(("127.0.0.1", 0), "http-v2"),
    ),
)


@asynccontextmanager
async def serving(
    address: Address, kind: str, stub: ScriptedPolicy | None = None
) -> AsyncIterator[tuple[Application, list[Address]]]:
    served = Application(config(entry(address) | {"kind": kind}), operator=OPERATOR)
    if stub is not None:
        served.exchange.policy = stub
    task = asyncio.create_task(served.run(asyncio.Event()))
    await served.serving.wait()
    try:
        yield served, [listener.listening_socket.getsockname() for listener in served.listeners]
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for listener in served.listeners:
            listener.close()
        served.backends.close()


def kept(address: Address) -> Any:
    """A client of the redis package, unchanged."""
    return redis.asyncio.Redis(host=address[0], port=address[1], protocol=3)


@pytest.mark.parametrize("cls", ["read", "order"])
@pytest.mark.parametrize(
    ("kind", "made", "found"),
    [
        ("m1", lambda: backend(value(b"old")), b"old"),
        ("m2", h11_server, b"ok"),
        ("m3", half_way, b"half"),
    ],
)
def test_the_matrix_every_client_reaches_every_server(
    kind: str, made: Callable[[], Peer], found: bytes, cls: str
) -> None:
    async def body() -> None:
        async with made() as peer, serving(peer.address, kind) as (served, (old, half, young)):
            caller = await Caller.to(old)
            assert await caller.ask(command("a1", cls)) == found
            client = kept(half)
            text = command("a2", cls)
            reader = hiredis.Reader()
            reader.feed(text)
            assert await client.execute_command(*reader.gets()) == {b"id": b"a2", b"value": found}
            await client.aclose()
            http = await Http.to(young)
            data = READ.encode() if cls == "read" else post(BODY)
            status, _, told = await http.ask(data)
            assert status == 200 and told["id"] == "r1"
            assert len(peer.commands) == 3 and not served.exchange.open_requests

    run(body())


def test_a_kept_client_hears_refusals_failures_and_what_is_wrong() -> None:
    def plan(event: Event) -> list[Action]:
        if not isinstance(event, RequestReceived):
            return []
        return [
            RejectRequest(event.request_id, 0.25)
            if event.units == 1.0 and not event.is_retry
            else FailRequest(event.request_id)
        ]

    async def body() -> None:
        async with (
            half_way() as peer,
            serving(peer.address, "m3", ScriptedPolicy(plan)) as (_, addresses),
        ):
            client = kept(addresses[1])
            words = [b"API.READ", b"%016x" % 7, b"a1", b"c=read,t=basic,d=2000"]
            with pytest.raises(redis.exceptions.ResponseError, match="BUSY 250"):
                await client.execute_command(*words)
            with pytest.raises(redis.exceptions.ResponseError, match="failed"):
                await client.execute_command(*words[:3], words[3] + b",r=1")
            with pytest.raises(redis.exceptions.ResponseError, match="unknown class"):
                await client.execute_command(*words[:3], b"c=x,t=basic,d=9")
            assert await client.execute_command("PING") in (b"PONG", True)
            await client.aclose()

    run(body())


def test_hello_switches_and_everything_else_of_it_is_refused() -> None:
    async def body() -> None:
        async with half_way() as peer, serving(peer.address, "m3") as (_, addresses):
            caller = await Caller.to(addresses[1])
            assert await caller.ask(command("a1")) == b"half"  # RESP2 until HELLO 3
            assert await caller.ask(resp(b"hello")) == [b"server", b"grid", b"proto", 2]
            for words in ((b"HELLO", b"4"), (b"HELLO", b"3", b"AUTH", b"a", b"b")):
                assert "NOPROTO" in str(await caller.ask(resp(*words)))
            assert await caller.ask(resp(b"HELLO", b"3")) == {b"server": b"grid", b"proto": 3}
            assert await caller.ask(command("a2")) == {b"id": b"a2", b"value": b"half"}
            assert await caller.ask(resp(b"HELLO", b"2")) == [b"server", b"grid", b"proto", 2]
            assert await caller.ask(command("a3")) == b"half"

    run(body())


def test_servers_half_way_share_the_old_ones_memory() -> None:
    names = ("resp2-v1", "resp3-v2", "http-v2")
    groups = Grouping(
        "resp2-v1",
        {"m3": "resp3-v2", "m2": "http-v2"},
        {},
        {name: protocol_version(name).key_memory_name for name in names},
        DeduplicationScope.ALL,
    )
    old, half, young = groups.translate(
        (Backend("a"), Backend("b", kind="m3"), Backend("c", kind="m2")), True
    )
    assert old.cell == half.cell != young.cell and len({old.id, half.id, young.id}) == 3
