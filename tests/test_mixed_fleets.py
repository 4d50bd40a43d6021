"""Tests of one instance with backends of several protocol versions, over real connections."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import hiredis
import pytest

from ingress.application import Application
from ingress.components.version_translation import (
    VersionTranslator,
)
from ingress.core.upstream_dispatcher import UpstreamDispatcher
from ingress.http.backend_protocol import HttpBackendProtocol
from ingress.platform.endpoint_discovery import read_endpoint_list
from ingress.platform.operator_config import (
    OperatorConfig,
    OperatorConfigError,
    ProtocolVersions,
)
from ingress.policy.actions import Action, FailRequest, RejectRequest, StartAttempt
from ingress.policy.events import AttemptEnded, EndpointListKind, Event, RequestReceived
from tests.peers import SETTINGS, Caller, Peer, backend, command, config, entry, run, value
from tests.support.applications import ScriptedPolicy, running
from tests.test_http_backend_protocol import h11_server, problem, response

ROOT = Path(__file__).resolve().parent.parent
MIXED = OperatorConfig(ProtocolVersions(by_kind={"m2": "http-v2"}))


def test_classes_with_different_deduplication_scopes_are_rejected() -> None:
    keyed = dict(SETTINGS["categories"][1], **{"key-scope": "cell"}, name="other")
    settings = SETTINGS | {"categories": [*SETTINGS["categories"], keyed]}
    with pytest.raises(OperatorConfigError, match="can't be grouped: their key scopes differ"):
        VersionTranslator(ProtocolVersions(), config(settings=settings))


@asynccontextmanager
async def mixed_fleet(
    *servers: dict[str, Any], scripted_policy: ScriptedPolicy | None = None
) -> AsyncIterator[tuple[Application, Caller]]:
    instance = Application(config(*servers), operator=MIXED)
    if scripted_policy is not None:
        instance.exchange.policy = scripted_policy
    async with running(instance) as [address]:
        yield instance, await Caller.connect(address)


def http_entry(address: tuple[str, int], name: str = "n1") -> dict[str, Any]:
    return entry(address, name) | {"kind": "m2"}


@pytest.mark.parametrize("cls", ["read", "order"])
def test_a_resp2_client_is_served_by_resp2_and_http_backends(cls: str) -> None:
    async def body() -> None:
        async with backend(value(b"old")) as resp2_backend, h11_server() as http_backend:
            for fleet, expected in (
                ([entry(resp2_backend.address)], b"old"),
                ([http_entry(http_backend.address)], b"ok"),
                ([entry(resp2_backend.address), http_entry(http_backend.address)], None),
            ):
                async with mixed_fleet(*fleet) as (_, caller):
                    answers = {
                        await caller.request(
                            command(f"{n:016x}", cls).replace(b"k=0123456789abcdef", b"k=%016x" % n)
                        )
                        for n in range(12)
                    }
                    assert answers == ({expected} if expected else {b"old", b"ok"})

    run(body())


def scripted_http_backend(data: bytes) -> Peer:
    """Returns an HTTP backend that answers each request with the given bytes."""

    async def script(_: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            peer.commands.append([head])
            if b"Content-Length: " in head:
                await reader.readexactly(
                    int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
                )
            writer.write(data)

    peer = Peer(script)
    return peer


@pytest.mark.parametrize(
    ("data", "error", "attempts"),
    [
        (response("202 Accepted", b"{}"), "ERR", 1),
        (response("302 Found", b"", "Location: /x"), "ERR", 1),
        (problem("409 Conflict", "key-conflict"), "ERR", 1),
        (response("409 Conflict", b""), "ERR", 4),
        (response("429 Too Many", b""), "BUSY", 4),
        (response("503 Unavailable", b""), "ERR", 4),
        (problem("503 Unavailable", "not-started"), "BUSY", 4),
        (response("400 Bad", b""), "ERR", 1),
        (b"-BUSY\r\n", "ERR", 4),
    ],
)
def test_each_response_of_an_http_backend_becomes_one_correct_response(
    data: bytes, error: str, attempts: int
) -> None:
    """The policy retries as long as it may, and rejects requests that cannot have run."""

    def plan(event: Event) -> list[Action]:
        if isinstance(event, RequestReceived) or (
            isinstance(event, AttemptEnded) and event.attempt < 3
        ):
            return (
                []
                if getattr(event, "finished", False)
                else [StartAttempt(event.request_id, "n1#http-v2")]
            )
        if isinstance(event, AttemptEnded) and not event.finished:
            return [
                RejectRequest(event.request_id)
                if event.outcome.never_ran
                else FailRequest(event.request_id)
            ]
        return []

    async def body() -> None:
        async with (
            scripted_http_backend(data) as peer,
            mixed_fleet(http_entry(peer.address), scripted_policy=ScriptedPolicy(plan)) as (
                instance,
                caller,
            ),
        ):
            answer = await caller.request(command(cls="order"))
            assert isinstance(answer, hiredis.ReplyError)
            assert str(answer).startswith(error)
            assert len(peer.commands) == attempts
            assert instance.translator is not None
            assert data.startswith(b"-") or sum(instance.translator.reasons.values()) == attempts
            # The exchange keeps neither the request nor an attempt.
            assert not instance.exchange.open_requests
            assert not instance.exchange.attempts

    run(body())


def test_a_resp2_key_reaches_an_http_backend_as_the_same_uuid_from_each_instance() -> None:
    async def body() -> None:
        keys = set()
        async with h11_server() as peer:
            for _ in range(2):
                async with mixed_fleet(http_entry(peer.address)) as (_, caller):
                    assert await caller.request(command(cls="order", body=b"\r\nX: 1")) == b"ok"
            for values in peer.commands:
                keys |= {v for v in values if v.startswith(b'"') and len(v) == 38}
        assert len(keys) == 1
        assert len(peer.commands) == 2

    run(body())


def test_a_retry_never_moves_from_resp2_to_http_backends() -> None:
    """The RESP2 backend reads the request and disconnects; the HTTP backend has no such key."""

    async def script(_: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1 << 16)
        resp2_backend.commands.append([])
        writer.close()

    async def body() -> None:
        async with (
            resp2_backend,
            h11_server() as http_backend,
            mixed_fleet(entry(resp2_backend.address), http_entry(http_backend.address)) as (
                _,
                caller,
            ),
        ):
            failed_count = 0
            served_count = 0
            for n in range(12):
                before = len(resp2_backend.commands)
                answer = await caller.request(
                    command(f"{n:016x}", "order").replace(b"k=0123456789abcdef", b"k=%016x" % n)
                )
                if len(resp2_backend.commands) > before:
                    # A request that may have run there is retried there or fails, never rejected.
                    assert isinstance(answer, hiredis.ReplyError)
                    assert str(answer).startswith("ERR")
                    failed_count += 1
                elif answer == b"ok":
                    served_count += 1
                else:
                    # The only backend of its home cell is down: nothing ran.
                    assert isinstance(answer, hiredis.ReplyError)
                    assert str(answer).startswith("BUSY")
            assert failed_count
            assert served_count

    resp2_backend = Peer(script)
    run(body())


def test_a_backend_that_changes_its_protocol_version_is_served_over_new_connections() -> None:
    async def body() -> None:
        async with (
            backend(value(b"old")) as resp2_backend,
            h11_server() as http_backend,
            mixed_fleet(entry(resp2_backend.address, "s1")) as (instance, caller),
        ):
            assert await caller.request(command("00000000000000a1")) == b"old"
            instance.update_endpoints(
                EndpointListKind.UPDATE,
                read_endpoint_list(
                    {
                        "version": 2,
                        "full": False,
                        "servers": [http_entry(http_backend.address, "s1")],
                    }
                ),
            )
            assert await caller.request(command("00000000000000a2")) == b"ok"

    run(body())


def test_a_value_too_large_for_resp2_clients_fails_without_a_retry() -> None:
    big = json.dumps({"id": "r1", "value": base64.b64encode(b"x" * 65537).decode()}).encode()

    async def body() -> None:
        async with (
            scripted_http_backend(response(body=big)) as peer,
            mixed_fleet(http_entry(peer.address)) as (instance, caller),
        ):
            assert str(await caller.request(command("r1", "order"))) == "ERR failed"
            assert len(peer.commands) == 1
            assert instance.translator is not None
            assert instance.translator.reasons == {"too-large": 1}

    run(body())


@pytest.mark.parametrize("where", ["encode_request", "receive_data", "receive_eof"])
def test_an_exception_in_a_backend_codec_ends_only_its_own_attempt(
    where: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = getattr(HttpBackendProtocol, where)

    def fail_for_one_request(self: HttpBackendProtocol, *arguments: Any) -> Any:
        if self.client_request_id == b"bad" or (
            where == "encode_request" and arguments[0].client_request_id == b"bad"
        ):
            raise OverflowError("unexpected error in the codec")
        return original(self, *arguments)

    async def script(_: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends a response that ends with the connection."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
            b'{"id": "good", "value": "b2s="}'
        )

    def plan(event: Event) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [StartAttempt(event.request_id, "n1#http-v2")]
        if isinstance(event, AttemptEnded) and not event.finished:
            return [FailRequest(event.request_id)]
        return []

    async def body() -> None:
        monkeypatch.setattr(HttpBackendProtocol, where, fail_for_one_request)
        async with (
            Peer(script) as peer,
            mixed_fleet(http_entry(peer.address), scripted_policy=ScriptedPolicy(plan)) as (
                instance,
                caller,
            ),
        ):
            assert str(await caller.request(command("bad"))) == "ERR failed"
            assert await caller.request(command("good")) == b"ok"
            assert isinstance(instance.backends, UpstreamDispatcher)
            assert not instance.exchange.attempts
            assert instance.counts()["back_faults"] == {"http-v2": 1, "resp2-v1": 0}

    run(body())
