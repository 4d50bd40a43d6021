"""http-v2 clients over sockets, with RESP and HTTP backends; request framing and malformed bytes."""

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
from tests.support.applications import ScriptedPolicy, running, start_attempt
from tests.support.http_client import HttpClient
from tests.test_http_backend_protocol import h11_server
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


def encode_body(data: bytes = b"a grid", request_class: str = "order") -> bytes:
    return json.dumps(
        {"class": request_class, "solution": base64.b64encode(data).decode()}
    ).encode()


def encode_post(body: bytes, *extra_fields: str) -> bytes:
    fields = [*LINES, f'Idempotency-Key: "{UUID}"', *extra_fields]
    return "\r\n".join(["POST /v2/solutions HTTP/1.1", "Host: x", *fields, "", ""]).encode() + body


def post_request(body: bytes) -> bytes:
    return encode_post(body, f"Content-Length: {len(body)}")


@asynccontextmanager
async def serving(
    *servers: dict[str, Any], scripted_policy: ScriptedPolicy | None = None
) -> AsyncIterator[tuple[Application, Address, Address]]:
    """Runs an ingress; yields it and its addresses for RESP clients and for HTTP clients."""
    application = Application(config(*servers), operator=OPERATOR)
    if scripted_policy is not None:
        application.exchange.policy = scripted_policy
    async with running(application) as (resp_address, http_address):
        yield application, resp_address, http_address


async def send_with_aiohttp(
    session: aiohttp.ClientSession,
    address: Address,
    request_id: str,
    request_class: str,
    body: bytes,
) -> Any:
    url = f"http://{address[0]}:{address[1]}"
    fields = FIELDS | {"X-Request-Id": request_id}
    if request_class == "read":
        response = await session.get(f"{url}/v2/grids/read", headers=fields)
    else:
        fields |= {"Idempotency-Key": str(uuid4())}
        response = await session.post(f"{url}/v2/solutions", headers=fields, data=encode_body(body))
    assert response.status == 200, await response.text()
    document = await response.json()
    assert document["id"] == request_id
    return base64.b64decode(document["value"])


@pytest.mark.parametrize("request_class", ["read", "order"])
def test_an_aiohttp_client_is_served_by_resp_and_http_backends(request_class: str) -> None:
    async def body() -> None:
        async with backend(value(b"\x00old")) as resp_backend, h11_server() as http_backend:
            for fleet, expected in (
                ([entry(resp_backend.address)], b"\x00old"),
                ([http_entry(http_backend.address)], b"ok"),
            ):
                async with serving(*fleet) as (_, _, address), aiohttp.ClientSession() as session:
                    for number in range(6):
                        assert (
                            await send_with_aiohttp(
                                session, address, f"r{number}", request_class, bytes(range(256))
                            )
                            == expected
                        )
            words = resp_backend.commands[0]
            assert (
                words[0] == (b"API.READ" if request_class == "read" else b"API.WRITE")
                and words[1] == b"%016x" % 7
            )
            if request_class == "order":
                assert words[4] == bytes(range(256))
                assert len(dict(pair.split(b"=") for pair in words[3].split(b","))[b"k"]) == 16

    run(body())


def test_resp_and_http_clients_share_one_exchange_and_its_request_ids() -> None:
    async def body() -> None:
        async with (
            backend(b"") as silent_backend,
            serving(entry(silent_backend.address), scripted_policy=ScriptedPolicy(plan)) as (
                application,
                resp_address,
                http_address,
            ),
        ):
            caller, http = (
                await Caller.connect(resp_address),
                await HttpClient.connect(http_address),
            )
            caller.writer.write(command("r1"))
            await until(lambda: application.exchange.open_requests)
            status, _, problem = await http.request(READ.encode())
            assert status == 400 and problem["detail"] == "the id belongs to an open request"
            assert len(application.exchange.open_requests) == 1

    def plan(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, "s1#resp2-v1")]
            if isinstance(event, RequestReceived)
            else []
        )

    run(body())


def test_a_uuid_key_reaches_http_backends_unchanged_and_maps_to_one_key_for_resp_backends() -> None:
    async def body() -> None:
        data = post_request(encode_body())
        async with h11_server() as http_backend, backend(value(b"v")) as resp_backend:
            async with serving(http_entry(http_backend.address)) as (_, _, address):
                assert (await (await HttpClient.connect(address)).request(data))[0] == 200
            assert f'"{UUID}"'.encode() in http_backend.commands[0]
            for _ in range(2):  # at two ingresses
                async with serving(entry(resp_backend.address)) as (_, _, address):
                    assert (await (await HttpClient.connect(address)).request(data))[0] == 200
        assert len({words[3].partition(b"k=")[2][:16] for words in resp_backend.commands}) == 1
        assert len(resp_backend.commands) == 2

    run(body())


@pytest.mark.parametrize(
    ("action", "status", "fields"),
    [
        (RejectRequest("", 0.25), 429, {"retry-after": "1", "grid-retry-after-ms": "250"}),
        (RejectRequest(""), 429, {}),
        (FailRequest(""), 500, {}),
    ],
)
def test_a_rejection_states_the_retry_delay_and_a_failure_does_not(
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
        async with serving(scripted_policy=ScriptedPolicy(plan)) as (_, _, address):
            http = await HttpClient.connect(address)
            for _ in range(2):
                received_status, headers, problem = await http.request(READ.encode())
                assert received_status == status and problem["type"].startswith("urn:grid:problem:")
                assert {name: text for name, text in headers.items() if "retry" in name} == fields

    run(body())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def script(_: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        words = await read_command(reader)
        peer.commands.append(words)
        if words[2] == b"r1":
            await until(lambda: len(peer.commands) == 2)
        writer.write(value(words[2]))
        await reader.read()

    async def body() -> None:
        async with (
            peer,
            serving(entry(peer.address), scripted_policy=ScriptedPolicy(plan)) as (_, _, address),
        ):
            http = await HttpClient.connect(address)
            http.writer.write(READ.encode() + READ.replace("r1", "r2").encode())
            assert [(await http.read_response())[2]["id"] for _ in range(2)] == ["r1", "r2"]

    def plan(event: Event) -> list[Action]:
        return (
            [StartAttempt(event.request_id, "s1#resp2-v1")]
            if isinstance(event, RequestReceived)
            else []
        )

    from tests.peers import Peer

    peer = Peer(script)
    run(body())


def test_handles_chunked_bodies_expect_continue_and_connection_close() -> None:
    content = encode_body()
    chunks = (
        b"".join(b"%x;a=b\r\n%b\r\n" % (len(part), part) for part in (content[:5], content[5:]))
        + b"0\r\n\r\n"
    )

    async def body() -> None:
        async with (
            backend(value(b"v")) as resp_backend,
            serving(entry(resp_backend.address)) as (_, _, address),
        ):
            http = await HttpClient.connect(address)
            assert (await http.request(encode_post(chunks, "Transfer-Encoding: chunked")))[0] == 200
            http.writer.write(
                encode_post(b"", f"Content-Length: {len(content)}", "Expect: 100-continue").replace(
                    b"r1", b"r2"
                )
            )
            assert await http.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert (await http.request(content))[0] == 200
            last_request = READ.replace("r1", "r3").replace(
                "Host: x", "Host: x\r\nConnection: close"
            )
            assert (await http.request(last_request.encode()))[0] == 200
            assert await http.reader.read() == b""
            assert [words[4] for words in resp_backend.commands[:2]] == [b"a grid"] * 2

    run(body())


@pytest.mark.parametrize(
    ("data", "reason"),
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
        (post_request(b"{}"), "the body is not"),
        (post_request(b"[]"), "the body is not"),
        (post_request(b"[" * 9000), "the body is not"),
        (post_request(encode_body()[:-3] + b'!"}'), "the body is not"),
        (post_request(encode_body(request_class="order\ud800")), "the body is not"),
        (post_request(b'"\xff"'), "the body is not"),
        (READ.replace("/read", "/%ED%A0%80").encode(), "unknown class"),
        (
            post_request(encode_body()).replace(b"Idempotency-Key", b"X-Key"),
            "Idempotency-Key is missing",
        ),
        (
            post_request(encode_body()).replace(b"Idempotency-Key: ", b"Idempotency-Key: 7"),
            "not a UUID",
        ),
    ],
)
def test_an_invalid_request_gets_the_reason_and_the_next_one_is_served(
    data: bytes, reason: str
) -> None:
    async def body() -> None:
        async with (
            backend(value(b"v")) as resp_backend,
            serving(entry(resp_backend.address)) as (application, _, address),
        ):
            http = await HttpClient.connect(address)
            status, _, problem = await http.request(data)
            assert status == 400 and reason in problem["detail"], problem
            assert (await http.request(READ.encode()))[0] == 200 and len(resp_backend.commands) == 1
            assert not application.exchange.open_requests

    run(body())


BODY = encode_body()
MALFORMED_REQUESTS = [
    encode_post(BODY, f"Content-Length: {len(BODY)}", f"Content-Length: {len(BODY) + 1}"),
    encode_post(BODY, f"Content-Length: {len(BODY)}", "Transfer-Encoding: chunked"),
    encode_post(BODY, "Transfer-Encoding: gzip, chunked"),
    encode_post(BODY, "Transfer-Encoding: xchunked"),
    encode_post(BODY, f"Content-Length : {len(BODY)}"),
    encode_post(BODY, f"Content-Length: +{len(BODY)}"),
    encode_post(BODY, f"Content-Length: {len(BODY)}, {len(BODY)}"),
    encode_post(BODY, "X: y\r\n folded: z"),
    encode_post(BODY, "Content-Length: 99999999999"),
    encode_post(BODY, "Content-Length: 999999"),
    READ.replace("Grid-Plan", "Grid-Plan: gold\r\nGrid-Plan").encode(),
    READ.replace("\r\n", "\n").encode(),
    READ.replace("Host: x", "X: a\0b").encode(),
    READ.replace("Host: x", "X: a\rb").encode(),
    READ.replace("HTTP/1.1", "HTTP/1.0").encode(),
    READ.replace("HTTP/1.1", "HTTP/2.0").encode(),
    b"GET / HTTP/1.1\r\nX: " + b"y" * 17000,
    b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 70 + b"\r\n",
    encode_post(b"zz\r\n", "Transfer-Encoding: chunked"),
    encode_post(b"3\r\nabcd\r\n", "Transfer-Encoding: chunked"),
    encode_post(b"0\r\nX y\r\n\r\n", "Transfer-Encoding: chunked"),
    encode_post(b"f" * 70, "Transfer-Encoding: chunked"),
    encode_post(b"fffff\r\n", "Transfer-Encoding: chunked"),
    encode_post(b"0\r\nX: " + b"y" * 5000, "Transfer-Encoding: chunked"),
    b"\r\n" * 3 + READ.encode(),
    encode_post(b"1\r\na\r\n" * 4097, "Transfer-Encoding: chunked"),
    b"*1\r\n$4\r\nPING\r\n\r\n\r\n",
]


@pytest.mark.parametrize("data", MALFORMED_REQUESTS, ids=range(len(MALFORMED_REQUESTS)))
def test_a_request_with_invalid_or_ambiguous_framing_closes_the_connection(data: bytes) -> None:
    """Guards against request smuggling: the bytes after such a request are not parsed as a request."""

    async def body() -> None:
        async with (
            backend(value(b"v")) as resp_backend,
            serving(entry(resp_backend.address)) as (application, _, address),
        ):
            http, other_client = (
                await HttpClient.connect(address),
                await HttpClient.connect(address),
            )
            http.writer.write(data + READ.replace("r1", "hidden").encode())
            received = await http.reader.read()
            assert received.startswith(b"HTTP/1.1 400 ") and received.count(b"HTTP/1.1 ") == 1
            assert b"Connection: close" in received and not resp_backend.commands
            assert (await other_client.request(READ.encode()))[0] == 200
            assert not application.exchange.open_requests

    run(body())


def test_ignores_empty_lines_before_a_request_and_trailers_after_a_body() -> None:
    chunks = b"%x\r\n%b\r\n0\r\nGrid-Plan: gold\r\nX: y\r\n\r\n" % (len(BODY), BODY)

    async def body() -> None:
        scripted_policy = ScriptedPolicy(lambda event: start_attempt(event, "s1#resp2-v1"))
        async with (
            backend(value(b"v")) as resp_backend,
            serving(entry(resp_backend.address), scripted_policy=scripted_policy) as (
                _,
                _,
                address,
            ),
        ):
            http = await HttpClient.connect(address)
            http.writer.write(
                b"\r\n"
                + encode_post(chunks, "Transfer-Encoding: chunked")
                + b"\r\n\r\n"
                + READ.replace("r1", "r2").encode()
            )
            assert [(await http.read_response())[0] for _ in range(2)] == [200, 200]
            assert b"t=basic" in resp_backend.commands[0][3]  # trailers do not override fields

    run(body())


@pytest.mark.parametrize("method", ["decode_request", "find_frame_end", "encode_response"])
def test_an_unexpected_codec_exception_fails_one_request_and_no_other_connection(
    method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = getattr(HttpClientProtocol, method)

    def failing_method(self: HttpClientProtocol, *arguments: Any) -> Any:
        data = arguments[0] if method != "encode_response" else arguments[0].client_request_id
        if b"bad" in bytes(data) and (
            method != "encode_response" or arguments[1] is not FAILED_RESPONSE
        ):
            raise OverflowError("unexpected error")
        return original(self, *arguments)

    async def body() -> None:
        monkeypatch.setattr(HttpClientProtocol, method, failing_method)
        async with (
            backend(value(b"v")) as resp_backend,
            serving(entry(resp_backend.address)) as (application, _, address),
        ):
            http, other_client = (
                await HttpClient.connect(address),
                await HttpClient.connect(address),
            )
            status, _, problem = await http.request(READ.replace("r1", "bad").encode())
            if method == "encode_response":
                assert status == 500 and problem["type"] == "urn:grid:problem:failed"
            else:
                assert status == 400 and problem["detail"] == "not understood"
            usable = (
                other_client if method == "find_frame_end" else http
            )  # an error while framing closes the connection
            assert (await usable.request(READ.encode()))[0] == 200
            assert (
                application.listeners[1].codec_faults.count == 1
                and not application.exchange.open_requests
            )

    run(body())


def call_limits() -> CallLimits:
    return CallLimits(read_settings(SETTINGS))


def test_any_split_of_the_stream_gives_the_same_requests() -> None:
    stream = (
        encode_post(BODY, f"Content-Length: {len(BODY)}")
        + READ.encode()
        + encode_post(b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY), "Transfer-Encoding: chunked")
    )
    protocol, offset, calls = HttpClientProtocol(call_limits()), 0, list[Call | bytes]()
    for received in range(len(stream) + 1):
        while (
            offset < received and (end := protocol.find_frame_end(stream[:received], offset)) >= 0
        ):
            calls.append(protocol.decode_request(stream[offset:end]))
            offset = end
    assert offset == len(stream) and [
        call.request_class for call in calls if isinstance(call, HttpCall)
    ] == [
        "order",
        "read",
        "order",
    ]


def test_random_bytes_raise_only_the_errors_of_the_codec() -> None:
    rng = random.Random(11)
    samples = [
        READ.encode(),
        encode_post(BODY, f"Content-Length: {len(BODY)}"),
        encode_post(b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY), "Transfer-Encoding: chunked"),
    ]
    for n in range(4000):
        data = bytearray(rng.choice(samples))
        for _ in range(rng.randrange(1, 6)):
            offset = rng.randrange(len(data))
            data[offset : offset + rng.randrange(0, 3)] = bytes(
                rng.randrange(256) for _ in range(rng.randrange(0, 3))
            )
        protocol = HttpClientProtocol(call_limits())
        try:
            if (end := protocol.find_frame_end(bytes(data), 0)) >= 0:
                protocol.decode_request(bytes(data[:end]))
            else:
                protocol.interim_response()
        except (MalformedFrameError, InvalidCallError):
            pass
        except Exception as error:  # pragma: no cover
            raise AssertionError(f"draw {n}: {bytes(data)!r}") from error


def test_rejects_a_content_length_above_the_limit_before_the_body_arrives() -> None:
    with pytest.raises(MalformedFrameError, match="too large"):
        find_request_end(b"POST /v2/solutions HTTP/1.1\r\nContent-Length: 300000\r\n\r\n", 0)


def test_graceful_shutdown_closes_http_client_connections() -> None:
    async def body() -> None:
        async with backend(value(b"v")) as resp_backend:
            application, stop = (
                Application(config(entry(resp_backend.address)), operator=OPERATOR),
                asyncio.Event(),
            )
            task = asyncio.create_task(application.run(stop))
            await application.serving.wait()
            http = await HttpClient.connect(application.listeners[1].listening_socket.getsockname())
            assert (await http.request(READ.encode()))[0] == 200
            stop.set()
            assert await http.reader.read() == b""
            await task
            with pytest.raises(OSError):
                socket.create_connection(http.writer.get_extra_info("peername"), 0.2)

    run(body())


def test_an_http_request_reaches_the_policy_and_the_backend_once() -> None:
    """Guards against a second exchange for HTTP clients, which would forward each request twice."""

    async def body() -> None:
        async with (
            backend(value(b"v")) as resp_backend,
            serving(entry(resp_backend.address), scripted_policy=scripted_policy) as (
                _,
                _,
                address,
            ),
        ):
            assert (await (await HttpClient.connect(address)).request(READ.encode()))[0] == 200
            assert (
                len(resp_backend.commands) == 1
                and len(scripted_policy.events_of(RequestReceived)) == 1
            )

    scripted_policy = ScriptedPolicy(lambda event: start_attempt(event, "s1#resp2-v1"))
    run(body())
