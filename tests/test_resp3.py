"""resp3-v2: frames, the backend codec against scripted backends, the client codec against the redis package."""

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
from tests.support.applications import ScriptedPolicy, running
from tests.support.http_client import HttpClient
from tests.support.open_front_ends import OPERATOR
from tests.test_http_backend_protocol import h11_server
from tests.test_http_clients import BODY, READ, post_request

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
HELLO_REPLY = b"%2\r\n$5\r\nproto\r\n:3\r\n$6\r\nserver\r\n$4\r\ngrid\r\n"
VALUE_REPLY = b"%2\r\n$5\r\nvalue\r\n$5\r\nhello\r\n$4\r\nload\r\n_\r\n"
PUSH_FRAME = b">2\r\n$4\r\nnews\r\n*1\r\n:7\r\n"


def blob_error(text: bytes) -> bytes:
    return b"!%d\r\n%b\r\n" % (len(text), text)


def make_protocol(hello_done: bool = True, max_value_bytes: int = 65536) -> Resp3BackendProtocol:
    protocol = Resp3BackendProtocol(max_value_bytes, Counter())
    assert protocol.encode_request(CALL, 0.5).startswith(HELLO)
    if hello_done:
        assert protocol.receive_data(HELLO_REPLY) is None
    return protocol


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
        PUSH_FRAME,
        VALUE_REPLY,
        HELLO_REPLY,
        b"$-1\r\n",
    ],
    ids=range(16),
)
def test_finds_the_end_of_a_frame_only_when_it_is_complete(frame: bytes) -> None:
    for received in range(len(frame)):
        assert find_frame_end(frame[:received], 0, 100, 1000) == -1
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


def test_decodes_a_value_byte_by_byte_and_sends_hello_once() -> None:
    protocol = make_protocol(hello_done=False)
    for offset in range(len(HELLO_REPLY + PUSH_FRAME + VALUE_REPLY) - 1):
        assert (
            protocol.receive_data((HELLO_REPLY + PUSH_FRAME + VALUE_REPLY)[offset : offset + 1])
            is None
        )
    assert protocol.receive_data(b"\n") == AttemptResult(
        Outcome.OK, b"hello"
    ) and protocol.reasons == {"pushed": 1}
    assert HELLO not in protocol.encode_request(CALL, 0.5)
    assert protocol.receive_data(VALUE_REPLY + PUSH_FRAME) == AttemptResult(Outcome.OK, b"hello")


@pytest.mark.parametrize("pushes_before", [0, MAX_PUSH_FRAMES])
def test_too_many_push_frames_after_a_reply_cost_only_the_connection(pushes_before: int) -> None:
    """Guards against a failed attempt despite a valid reply, and against an unexpected exception."""
    protocol = make_protocol()
    result = protocol.receive_data(
        PUSH_FRAME * pushes_before + VALUE_REPLY + PUSH_FRAME * (MAX_PUSH_FRAMES + 1)
    )
    assert result == AttemptResult(Outcome.OK, b"hello", reusable=False)
    with pytest.raises(MalformedResponseError):
        make_protocol().receive_data(PUSH_FRAME * (MAX_PUSH_FRAMES + 1) + VALUE_REPLY)


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
def test_maps_a_reply_to_an_outcome(data: bytes, outcome: Outcome, final: bool) -> None:
    protocol = make_protocol(max_value_bytes=8)
    result = protocol.receive_data(data)
    assert result is not None and result.outcome is outcome and result.value is None
    assert (result.final_response == FAILED_RESPONSE) is final


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
        PUSH_FRAME * 65,
        b"HTTP/1.1 200 OK\r\n",
    ],
    ids=range(10),
)
def test_rejects_malformed_replies(data: bytes) -> None:
    with pytest.raises(MalformedResponseError):
        make_protocol().receive_data(data)


@pytest.mark.parametrize(
    "data", [b"-NOPROTO\r\n", b"*0\r\n", HELLO_REPLY.replace(b":3", b":2"), VALUE_REPLY]
)
def test_rejects_a_backend_that_does_not_switch_to_resp3(data: bytes) -> None:
    with pytest.raises(MalformedResponseError):
        make_protocol(hello_done=False).receive_data(data)


def test_load_report_omits_invalid_numbers() -> None:
    report = b"%4\r\n$3\r\ncpu\r\n,0.5\r\n$6\r\nactive\r\n:7\r\n$7\r\nwaiting\r\n,inf\r\n$1\r\nx\r\n:1\r\n"
    result = make_protocol().receive_data(
        b"%2\r\n$5\r\nvalue\r\n$1\r\nv\r\n$4\r\nload\r\n" + report
    )
    assert result is not None and result.load_report == {"util": 0.5, "inflight": 7.0}


def test_a_connection_with_bytes_after_a_reply_other_than_push_frames_is_not_reusable() -> None:
    for rest in (VALUE_REPLY, b"+OK\r\n", b">", b">x\r\n"):
        result = make_protocol().receive_data(VALUE_REPLY + rest)
        assert result is not None and not result.reusable


def test_random_bytes_raise_only_malformed_response_errors() -> None:
    rng = random.Random(3)
    samples = [
        HELLO_REPLY + VALUE_REPLY,
        HELLO_REPLY + PUSH_FRAME + VALUE_REPLY,
        HELLO_REPLY + blob_error(b"BUSY 3"),
    ]
    for n in range(4000):
        data = bytearray(rng.choice(samples))
        for _ in range(rng.randrange(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        protocol, offset = make_protocol(hello_done=False), 0
        try:
            while offset < len(data):
                size = rng.randrange(1, 60)
                if protocol.receive_data(bytes(data[offset : offset + size])) is not None:
                    break
                offset += size
        except MalformedResponseError:
            pass
        except Exception as error:  # pragma: no cover
            raise AssertionError(f"draw {n}: {bytes(data)!r}") from error


def half_way(reply: bytes = b"%1\r\n$5\r\nvalue\r\n$4\r\nhalf\r\n") -> Peer:
    """Returns a resp3-v2 backend that sends a push frame before each reply."""

    async def script(_: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        assert await read_command(reader) == [b"HELLO", b"3"]
        writer.write(HELLO_REPLY)
        while True:
            peer.commands.append(await read_command(reader))
            writer.write(PUSH_FRAME + reply)

    peer = Peer(script)
    return peer


@asynccontextmanager
async def serving(
    address: Address, kind: str, scripted_policy: ScriptedPolicy | None = None
) -> AsyncIterator[tuple[Application, list[Address]]]:
    application = Application(config(entry(address) | {"kind": kind}), operator=OPERATOR)
    if scripted_policy is not None:
        application.exchange.policy = scripted_policy
    async with running(application) as addresses:
        yield application, addresses


def redis_client(address: Address) -> Any:
    """Returns an unmodified client of the redis package."""
    return redis.asyncio.Redis(host=address[0], port=address[1], protocol=3)


@pytest.mark.parametrize("cls", ["read", "order"])
@pytest.mark.parametrize(
    ("kind", "make_backend", "expected"),
    [
        ("m1", lambda: backend(value(b"old")), b"old"),
        ("m2", h11_server, b"ok"),
        ("m3", half_way, b"half"),
    ],
)
def test_every_client_version_is_served_by_every_backend_version(
    kind: str, make_backend: Callable[[], Peer], expected: bytes, cls: str
) -> None:
    async def body() -> None:
        async with (
            make_backend() as peer,
            serving(peer.address, kind) as (
                application,
                (resp2_address, resp3_address, http_address),
            ),
        ):
            caller = await Caller.connect(resp2_address)
            assert await caller.request(command("a1", cls)) == expected
            client = redis_client(resp3_address)
            request = command("a2", cls)
            reader = hiredis.Reader()
            reader.feed(request)
            assert await client.execute_command(*reader.gets()) == {
                b"id": b"a2",
                b"value": expected,
            }
            await client.aclose()
            http = await HttpClient.connect(http_address)
            data = READ.encode() if cls == "read" else post_request(BODY)
            status, _, document = await http.request(data)
            assert status == 200 and document["id"] == "r1"
            assert len(peer.commands) == 3 and not application.exchange.open_requests

    run(body())


def test_the_redis_client_receives_rejections_failures_and_error_texts() -> None:
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
            client = redis_client(addresses[1])
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


def test_hello_switches_versions_and_rejects_other_arguments() -> None:
    async def body() -> None:
        async with half_way() as peer, serving(peer.address, "m3") as (_, addresses):
            caller = await Caller.connect(addresses[1])
            assert await caller.request(command("a1")) == b"half"  # RESP2 until HELLO 3
            assert await caller.request(resp(b"hello")) == [b"server", b"grid", b"proto", 2]
            for words in ((b"HELLO", b"4"), (b"HELLO", b"3", b"AUTH", b"a", b"b")):
                assert "NOPROTO" in str(await caller.request(resp(*words)))
            assert await caller.request(resp(b"HELLO", b"3")) == {b"server": b"grid", b"proto": 3}
            assert await caller.request(command("a2")) == {b"id": b"a2", b"value": b"half"}
            assert await caller.request(resp(b"HELLO", b"2")) == [b"server", b"grid", b"proto", 2]
            assert await caller.request(command("a3")) == b"half"

    run(body())


def test_resp3_backends_share_the_deduplication_memory_of_resp2_backends() -> None:
    names = ("resp2-v1", "resp3-v2", "http-v2")
    groups = Grouping(
        "resp2-v1",
        {"m3": "resp3-v2", "m2": "http-v2"},
        {},
        {name: protocol_version(name).key_memory_name for name in names},
        DeduplicationScope.ALL,
    )
    resp2, resp3, http = groups.translate(
        (Backend("a"), Backend("b", kind="m3"), Backend("c", kind="m2")), True
    )
    assert resp2.cell == resp3.cell != http.cell and len({resp2.id, resp3.id, http.id}) == 3
