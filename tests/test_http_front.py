"""New clients: the front of http-v2 on sockets, before old and new servers; framing and bad bytes."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from uuid import uuid4

import aiohttp
import h11
import pytest

from ingress.application import Application
from ingress.core.call_limits import CallLimits
from ingress.core.calls import FAILED_RESPONSE, Call, InvalidCallError
from ingress.http.client_protocol import HttpClientProtocol
from ingress.http.frames import find_request_end
from ingress.platform.operator_config import AdditionalListener, OperatorConfig, ProtocolVersions
from ingress.policy.actions import Action, FailRequest, RejectRequest, StartAttempt
from ingress.policy.events import Event, RequestReceived
from ingress.protocol_versions.http_v2 import HttpCall
from ingress.transport.client_protocol import MalformedFrameError
from ingress.wire_settings import read_settings
from tests.peers import (
    SETTINGS,
    Address,
    Caller,
    backend,
    command,
    config,
    entry,
    read_command,
    run,
    until,
    value,
)
from tests.support.applications import ScriptedPolicy, start_attempt
from tests.test_http_wire import h11_server
from tests.test_mixed_fleets import http_entry

OPERATOR = OperatorConfig(
    ProtocolVersions(by_kind={"m2": "http-v2"}), (AdditionalListener(("127.0.0.1", 0), "http-v2"),)
)
FIELDS = {
    "X-Request-Id": "r1",
    "Grid-Customer": f"{7:016x}",
    "Grid-Plan": "basic",
    "Grid-Deadline-Ms": "2000",
}
LINES = [f"{name}: {text}" for name, text in FIELDS.items()]
READ = "\r\n".join(["GET /v2/grids/read HTTP/1.1", "Host: x", *LINES, "", ""])
UUID = "f81d4fae-7dec-11d0-a765-00a0c91e6bf6"


def body_of(data: bytes = b"a grid", cls: str = "order") -> bytes:
    return json.dumps({"class": cls, "solution": base64.b64encode(data).decode()}).encode()


def write(body: bytes, *more: str) -> bytes:
    fields = [*LINES, f'Idempotency-Key: "{UUID}"', *more]
    return "\r\n".join(["POST /v2/solutions HTTP/1.1", "Host: x", *fields, "", ""]).encode() + body


def whole(body: bytes) -> bytes:
    return write(body, f"Content-Length: {len(body)}")


@asynccontextmanager
async def serving(
    *servers: dict[str, Any], stub: ScriptedPolicy | None = None
) -> AsyncIterator[tuple[Application, Address, Address]]:
    """An ingress, where old clients connect to it, and where new ones do."""
    served = Application(config(*servers), operator=OPERATOR)
    if stub is not None:
        served.exchange.policy = stub
    task = asyncio.create_task(served.run(asyncio.Event()))
    await served.serving.wait()
    try:
        old, young = (listener.listening_socket.getsockname() for listener in served.listeners)
        yield served, old, young
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for listener in served.listeners:
            listener.close()
        served.backends.close()


class Http:
    """A client's connection on h11: another codec than the front's."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.http = reader, writer, h11.Connection(h11.CLIENT)

    @classmethod
    async def to(cls, address: Address) -> Http:
        return cls(*await asyncio.open_connection(*address))

    async def answer(self, method: str = "GET") -> tuple[int, dict[str, str], Any]:
        """The next response, whatever was sent for it."""
        if self.http.our_state is h11.IDLE:
            self.http.send(h11.Request(method=method, target="/", headers=[("Host", "x")]))
            self.http.send(h11.EndOfMessage())
        status, fields, body = 0, dict[str, str](), b""
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(1 << 16))
            elif isinstance(event, h11.Response):
                status, fields = (
                    event.status_code,
                    {k.decode(): v.decode() for k, v in event.headers},
                )
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        return status, fields, json.loads(body)

    async def ask(self, data: bytes) -> tuple[int, dict[str, str], Any]:
        self.writer.write(data)
        return await self.answer()


async def post(
    session: aiohttp.ClientSession, address: Address, name: str, cls: str, body: bytes
) -> Any:
    url = f"http://{address[0]}:{address[1]}"
    fields = FIELDS | {"X-Request-Id": name}
    if cls == "read":
        answer = await session.get(f"{url}/v2/grids/read", headers=fields)
    else:
        fields |= {"Idempotency-Key": str(uuid4())}
        answer = await session.post(f"{url}/v2/solutions", headers=fields, data=body_of(body))
    assert answer.status == 200, await answer.text()
    found = await answer.json()
    assert found["id"] == name
    return base64.b64decode(found["value"])


@pytest.mark.parametrize("cls", ["read", "order"])
def test_a_kept_client_is_served_by_old_and_new_servers(cls: str) -> None:
    async def body() -> None:
        async with backend(value(b"\x00old")) as old, h11_server() as young:
            for fleet, found in (
                ([entry(old.address)], b"\x00old"),
                ([http_entry(young.address)], b"ok"),
            ):
                async with serving(*fleet) as (_, _, address), aiohttp.ClientSession() as session:
                    for n in range(6):
                        assert (
                            await post(session, address, f"r{n}", cls, bytes(range(256))) == found
                        )
            words = old.commands[0]
            assert (
                words[0] == (b"API.READ" if cls == "read" else b"API.WRITE")
                and words[1] == b"%016x" % 7
            )
            if cls == "order":
                assert words[4] == bytes(range(256))
                assert len(dict(p.split(b"=") for p in words[3].split(b","))[b"k"]) == 16

    run(body())


def test_old_and_new_clients_share_one_exchange_and_its_ids() -> None:
    async def body() -> None:
        async with (
            backend(b"") as silent,
            serving(entry(silent.address), stub=ScriptedPolicy(plan)) as (served, old, young),
        ):
            caller, http = await Caller.to(old), await Http.to(young)
            caller.writer.write(command("r1"))
            await until(lambda: served.exchange.open_requests)
            status, _, problem = await http.ask(READ.encode())
            assert status == 400 and problem["detail"] == "the id belongs to an open request"
            assert len(served.exchange.open_requests) == 1

    def plan(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, "s1#resp2-v1")]
            if isinstance(event, RequestReceived)
            else []
        )

    run(body())


def test_a_new_key_stays_itself_before_new_servers_and_is_the_same_for_old_ones() -> None:
    async def body() -> None:
        data = whole(body_of())
        async with h11_server() as young, backend(value(b"v")) as old:
            async with serving(http_entry(young.address)) as (_, _, address):
                assert (await (await Http.to(address)).ask(data))[0] == 200
            assert f'"{UUID}"'.encode() in young.commands[0]
            for _ in range(2):  # two ingresses
                async with serving(entry(old.address)) as (_, _, address):
                    assert (await (await Http.to(address)).ask(data))[0] == 200
        assert len({words[3].partition(b"k=")[2][:16] for words in old.commands}) == 1
        assert len(old.commands) == 2

    run(body())


@pytest.mark.parametrize(
    ("action", "status", "fields"),
    [
        (RejectRequest("", 0.25), 429, {"retry-after": "1", "grid-retry-after-ms": "250"}),
        (RejectRequest(""), 429, {}),
        (FailRequest(""), 500, {}),
    ],
)
def test_a_refusal_says_when_to_come_back_and_a_failure_promises_nothing(
    action: Any, status: int, fields: dict[str, str]
) -> None:
    def plan(event: Event) -> list[Action]:
        if not isinstance(event, RequestReceived):
            return []
        return [
            RejectRequest(event.request_id, action.retry_after)
            if status == 429
            else FailRequest(event.request_id)
        ]

    async def body() -> None:
        async with serving(stub=ScriptedPolicy(plan)) as (_, _, address):
            http = await Http.to(address)
            for _ in range(2):
                found, told, problem = await http.ask(READ.encode())
                assert found == status and problem["type"].startswith("urn:grid:problem:")
                assert {k: v for k, v in told.items() if "retry" in k} == fields

    run(body())


def test_pipelined_requests_are_answered_in_their_order() -> None:
    async def script(_: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        words = await read_command(reader)
        peer.commands.append(words)
        if words[2] == b"r1":
            await until(lambda: len(peer.commands) == 2)
        writer.write(value(words[2]))
        await reader.read()

    async def body() -> None:
        async with peer, serving(entry(peer.address), stub=ScriptedPolicy(plan)) as (_, _, address):
            http = await Http.to(address)
            http.writer.write(READ.encode() + READ.replace("r1", "r2").encode())
            assert [(await http.answer())[2]["id"] for _ in range(2)] == ["r1", "r2"]

    def plan(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, "s1#resp2-v1")]
            if isinstance(event, RequestReceived)
            else []
        )

    from tests.peers import Peer

    peer = Peer(script)
    run(body())


def test_chunks_continue_and_close_by_the_book() -> None:
    sent = body_of()
    chunks = (
        b"".join(b"%x;a=b\r\n%b\r\n" % (len(p), p) for p in (sent[:5], sent[5:])) + b"0\r\n\r\n"
    )

    async def body() -> None:
        async with backend(value(b"v")) as old, serving(entry(old.address)) as (_, _, address):
            http = await Http.to(address)
            assert (await http.ask(write(chunks, "Transfer-Encoding: chunked")))[0] == 200
            http.writer.write(
                write(b"", f"Content-Length: {len(sent)}", "Expect: 100-continue").replace(
                    b"r1", b"r2"
                )
            )
            assert await http.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert (await http.ask(sent))[0] == 200
            last = READ.replace("r1", "r3").replace("Host: x", "Host: x\r\nConnection: close")
            assert (await http.ask(last.encode()))[0] == 200
            assert await http.reader.read() == b""
            assert [words[4] for words in old.commands[:2]] == [b"a grid"] * 2

    run(body())


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (READ.replace("/v2/grids/read", "/v1/grids").encode(), "no such resource"),
        (READ.replace("/read", "/what").encode(), "unknown class"),
        (READ.replace("basic", "x").encode(), "unknown plan"),
        (READ.replace("/read", "/order").encode(), "the class belongs"),
        (READ.replace("2000", "0").encode(), "bad number: Grid-Deadline-Ms"),
        (READ.replace("Grid-Deadline-Ms: 2000", "X: y").encode(), "Grid-Deadline-Ms is missing"),
        (READ.replace("Host: x\r\n", "").encode(), "Host is missing"),
        (READ.replace("X-Request-Id: r1", "X: y").encode(), "X-Request-Id"),
        (READ.replace("000000007", "00000000g").encode(), "Grid-Customer"),
        (whole(b"{}"), "the body is not"),
        (whole(b"[]"), "the body is not"),
        (whole(b"[" * 9000), "the body is not"),
        (whole(body_of()[:-3] + b'!"}'), "the body is not"),
        (whole(body_of(cls="order\ud800")), "the body is not"),
        (whole(b'"\xff"'), "the body is not"),
        (READ.replace("/read", "/%ED%A0%80").encode(), "unknown class"),
        (whole(body_of()).replace(b"Idempotency-Key", b"X-Key"), "Idempotency-Key is missing"),
        (whole(body_of()).replace(b"Idempotency-Key: ", b"Idempotency-Key: 7"), "not a UUID"),
    ],
)
def test_a_bad_request_is_told_what_is_wrong_and_the_next_one_is_served(
    data: bytes, words: str
) -> None:
    async def body() -> None:
        async with backend(value(b"v")) as old, serving(entry(old.address)) as (served, _, address):
            http = await Http.to(address)
            status, _, problem = await http.ask(data)
            assert status == 400 and words in problem["detail"], problem
            assert (await http.ask(READ.encode()))[0] == 200 and len(old.commands) == 1
            assert not served.exchange.open_requests

    run(body())


BODY = body_of()
SMUGGLED = [
    write(BODY, f"Content-Length: {len(BODY)}", f"Content-Length: {len(BODY) + 1}"),
    write(BODY, f"Content-Length: {len(BODY)}", "Transfer-Encoding: chunked"),
    write(BODY, "Transfer-Encoding: gzip, chunked"),
    write(BODY, "Transfer-Encoding: xchunked"),
    write(BODY, f"Content-Length : {len(BODY)}"),
    write(BODY, f"Content-Length: +{len(BODY)}"),
    write(BODY, f"Content-Length: {len(BODY)}, {len(BODY)}"),
    write(BODY, "X: y\r\n folded: z"),
    write(BODY, "Content-Length: 99999999999"),
    write(BODY, "Content-Length: 999999"),
    READ.replace("Grid-Plan", "Grid-Plan: gold\r\nGrid-Plan").encode(),
    READ.replace("\r\n", "\n").encode(),
    READ.replace("Host: x", "X: a\0b").encode(),
    READ.replace("Host: x", "X: a\rb").encode(),
    READ.replace("HTTP/1.1", "HTTP/1.0").encode(),
    READ.replace("HTTP/1.1", "HTTP/2.0").encode(),
    b"GET / HTTP/1.1\r\nX: " + b"y" * 17000,
    b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 70 + b"\r\n",
    write(b"zz\r\n", "Transfer-Encoding: chunked"),
    write(b"3\r\nabcd\r\n", "Transfer-Encoding: chunked"),
    write(b"0\r\nX y\r\n\r\n", "Transfer-Encoding: chunked"),
    write(b"f" * 70, "Transfer-Encoding: chunked"),
    write(b"fffff\r\n", "Transfer-Encoding: chunked"),
    write(b"0\r\nX: " + b"y" * 5000, "Transfer-Encoding: chunked"),
    b"\r\n" * 3 + READ.encode(),
    write(b"1\r\na\r\n" * 4097, "Transfer-Encoding: chunked"),
    b"*1\r\n$4\r\nPING\r\n\r\n\r\n",
]


@pytest.mark.parametrize("data", SMUGGLED, ids=range(len(SMUGGLED)))
def test_what_two_readers_could_cut_differently_ends_the_connection(data: bytes) -> None:
    """And what was hidden behind it is never a request."""

    async def body() -> None:
        async with backend(value(b"v")) as old, serving(entry(old.address)) as (served, _, address):
            http, other = await Http.to(address), await Http.to(address)
            http.writer.write(data + READ.replace("r1", "hidden").encode())
            got = await http.reader.read()
            assert got.startswith(b"HTTP/1.1 400 ") and got.count(b"HTTP/1.1 ") == 1
            assert b"Connection: close" in got and not old.commands
            assert (await other.ask(READ.encode()))[0] == 200
            assert not served.exchange.open_requests

    run(body())


def test_empty_lines_before_a_request_and_trailers_behind_a_body_are_passed_over() -> None:
    chunks = b"%x\r\n%b\r\n0\r\nGrid-Plan: gold\r\nX: y\r\n\r\n" % (len(BODY), BODY)

    async def body() -> None:
        stub = ScriptedPolicy(lambda event: start_attempt(event, "s1#resp2-v1"))
        async with (
            backend(value(b"v")) as old,
            serving(entry(old.address), stub=stub) as (_, _, address),
        ):
            http = await Http.to(address)
            http.writer.write(
                b"\r\n"
                + write(chunks, "Transfer-Encoding: chunked")
                + b"\r\n\r\n"
                + READ.replace("r1", "r2").encode()
            )
            assert [(await http.answer())[0] for _ in range(2)] == [200, 200]
            assert b"t=basic" in old.commands[0][3]  # nothing of a trailer passes for a field

    run(body())


@pytest.mark.parametrize("where", ["decode_request", "find_frame_end", "encode_response"])
def test_whatever_a_codec_raises_costs_one_request_and_no_other_connection(
    where: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    real = getattr(HttpClientProtocol, where)

    def broken(self: HttpClientProtocol, *words: Any) -> Any:
        data = words[0] if where != "encode_response" else words[0].client_request_id
        if b"bad" in bytes(data) and (
            where != "encode_response" or words[1] is not FAILED_RESPONSE
        ):
            raise OverflowError("nobody thought of this")
        return real(self, *words)

    async def body() -> None:
        monkeypatch.setattr(HttpClientProtocol, where, broken)
        async with backend(value(b"v")) as old, serving(entry(old.address)) as (served, _, address):
            http, other = await Http.to(address), await Http.to(address)
            status, _, problem = await http.ask(READ.replace("r1", "bad").encode())
            if where == "encode_response":
                assert status == 500 and problem["type"] == "urn:grid:problem:failed"
            else:
                assert status == 400 and problem["detail"] == "not understood"
            asked = (
                other if where == "find_frame_end" else http
            )  # a frame that can't be cut ends its connection
            assert (await asked.ask(READ.encode()))[0] == 200
            assert served.listeners[1].codec_faults.count == 1 and not served.exchange.open_requests

    run(body())


def terms() -> CallLimits:
    return CallLimits(read_settings(SETTINGS))


def test_any_cut_of_the_stream_gives_the_same_requests() -> None:
    sent = (
        write(BODY, f"Content-Length: {len(BODY)}")
        + READ.encode()
        + write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY), "Transfer-Encoding: chunked")
    )
    talk, at, found = HttpClientProtocol(terms()), 0, list[Call | bytes]()
    for have in range(len(sent) + 1):
        while at < have and (end := talk.find_frame_end(sent[:have], at)) >= 0:
            found.append(talk.decode_request(sent[at:end]))
            at = end
    assert at == len(sent) and [c.request_class for c in found if isinstance(c, HttpCall)] == [
        "order",
        "read",
        "order",
    ]


def test_drawn_bytes_raise_the_codecs_own_errors_and_nothing_else() -> None:
    rng = random.Random(11)
    seeds = [
        READ.encode(),
        write(BODY, f"Content-Length: {len(BODY)}"),
        write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY), "Transfer-Encoding: chunked"),
    ]
    for n in range(4000):
        data = bytearray(rng.choice(seeds))
        for _ in range(rng.randrange(1, 6)):
            at = rng.randrange(len(data))
            data[at : at + rng.randrange(0, 3)] = bytes(
                rng.randrange(256) for _ in range(rng.randrange(0, 3))
            )
        talk = HttpClientProtocol(terms())
        try:
            if (end := talk.find_frame_end(bytes(data), 0)) >= 0:
                talk.decode_request(bytes(data[:end]))
            else:
                talk.interim_response()
        except (MalformedFrameError, InvalidCallError):
            pass
        except Exception as error:  # pragma: no cover
            raise AssertionError(f"draw {n}: {bytes(data)!r}") from error


def test_a_length_is_judged_as_soon_as_it_is_here() -> None:
    with pytest.raises(MalformedFrameError, match="too large"):
        find_request_end(b"POST /v2/solutions HTTP/1.1\r\nContent-Length: 300000\r\n\r\n", 0)


def test_a_planned_end_lets_new_clients_go_too() -> None:
    async def body() -> None:
        async with backend(value(b"v")) as old:
            served, stop = (
                Application(config(entry(old.address)), operator=OPERATOR),
                asyncio.Event(),
            )
            task = asyncio.create_task(served.run(stop))
            await served.serving.wait()
            http = await Http.to(served.listeners[1].listening_socket.getsockname())
            assert (await http.ask(READ.encode()))[0] == 200
            stop.set()
            assert await http.reader.read() == b""
            await task
            with pytest.raises(OSError):
                socket.create_connection(http.writer.get_extra_info("peername"), 0.2)

    run(body())


def test_no_request_is_sent_twice_by_a_front_of_its_own() -> None:
    """One exchange for both fronts: what the module sends goes out once."""

    async def body() -> None:
        async with (
            backend(value(b"v")) as old,
            serving(entry(old.address), stub=stub) as (_, _, address),
        ):
            assert (await (await Http.to(address)).ask(READ.encode()))[0] == 200
            assert len(old.commands) == 1 and len(stub.events_of(RequestReceived)) == 1

    stub = ScriptedPolicy(lambda event: start_attempt(event, "s1#resp2-v1"))
    run(body())
