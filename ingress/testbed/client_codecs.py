"""Client codecs, one per connection; they share no code with the codecs of the ingress."""

from __future__ import annotations

import base64
import hashlib
import importlib
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol
from uuid import UUID

import hiredis


@dataclass(slots=True)
class RequestFields:
    """The fields of a request in any dialect; `wait` is the client's timeout in seconds."""

    id: str
    customer: str
    plan: str
    request_class: str
    key: str  # 16 hex digits, "" for none
    wait: float
    spread: int
    first: int
    safe: bool
    retry: bool

    @property
    def solution(self) -> bytes:
        """Returns the body of a submission, the same in each of its attempts."""
        return b"a solution of " + (self.key or self.id).encode()


@dataclass(slots=True)
class ClientResponse:
    """A response.

    `kind` is served, refused or failed; `wait` is the retry delay in seconds, 0 if none is given.
    """

    kind: str
    value: bytes = b""
    wait: float = 0.0


class ClientCodec(Protocol):
    """The codec of one connection."""

    def ask(self, request: RequestFields) -> bytes: ...

    def receive(self, data: bytes) -> ClientResponse | None:
        """Returns the response once it is complete, None before."""

    def has_trailing_data(self) -> bool:
        """Returns whether bytes followed the response."""


class RespClientCodec:
    """The codec of resp2-v1."""

    def __init__(self) -> None:
        self.reader = hiredis.Reader()

    def ask(self, request: RequestFields) -> bytes:
        text = (
            f"c={request.request_class},t={request.plan},d={round(request.wait * 1000)}"
            + (f",k={request.key}" if request.key else "")
            + (",r=1" if request.retry else "")
            + f",units=1,spread={request.spread},first={request.first}"
        )
        parts = [
            b"API.READ" if request.safe else b"API.WRITE",
            request.customer.encode(),
            request.id.encode(),
            text.encode(),
            *([] if request.safe else [request.solution]),
        ]
        return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)

    def receive(self, data: bytes) -> ClientResponse | None:
        try:
            self.reader.feed(data)
            reply = self.reader.gets()
        except hiredis.HiredisError:
            return ClientResponse("failed")
        return None if reply is False else self._to_response(reply)

    def _to_response(self, reply: Any) -> ClientResponse:
        if isinstance(reply, list) and reply and isinstance(reply[0], bytes):
            reply = reply[0]
        if isinstance(reply, bytes):
            return ClientResponse("served", reply)
        if isinstance(reply, hiredis.ReplyError) and str(reply).split(" ")[0] == "BUSY":
            return ClientResponse("refused", wait=int([*str(reply).split(" "), "0"][1]) / 1000)
        return ClientResponse("failed")

    def has_trailing_data(self) -> bool:
        return bool(self.reader.has_data())


class Resp3ClientCodec(RespClientCodec):
    """The codec of resp3-v2, which sends HELLO 3 before the first request."""

    def __init__(self) -> None:
        super().__init__()
        self.hello_sent, self.hello_pending = False, False

    def ask(self, request: RequestFields) -> bytes:
        data = super().ask(request)
        if self.hello_sent:
            return data
        self.hello_sent = self.hello_pending = True
        return b"*2\r\n$5\r\nHELLO\r\n$1\r\n3\r\n" + data

    def receive(self, data: bytes) -> ClientResponse | None:
        try:
            self.reader.feed(data)
            reply = self.reader.gets()
            if self.hello_pending and reply is not False:
                self.hello_pending = False
                if not isinstance(reply, dict) or reply.get(b"proto") != 3:
                    return ClientResponse("failed")
                reply = self.reader.gets()
        except hiredis.HiredisError:
            return ClientResponse("failed")
        return None if reply is False else self._to_response(reply)

    def _to_response(self, reply: Any) -> ClientResponse:
        return super()._to_response(reply.get(b"value") if isinstance(reply, dict) else reply)


def uuid_for(key: str) -> UUID:
    """Returns the key of an http-v2 submission, a UUIDv4 that looks random to everyone else."""
    return UUID(bytes=hashlib.sha256(key.encode()).digest()[:16], version=4)


class HttpClientCodec:
    """The codec of http-v2, based on h11."""

    def __init__(self) -> None:
        self.h11: Any = importlib.import_module(
            "h11"
        )  # installed only for runs with http-v2 clients
        self.http = self.h11.Connection(self.h11.CLIENT)
        self.status, self.wait, self.body = 0, 0.0, b""

    def ask(self, request: RequestFields) -> bytes:
        fields = [
            ("Host", "grid.example.org"),
            ("X-Request-Id", request.id),
            ("Grid-Customer", request.customer),
            ("Grid-Plan", request.plan),
            ("Grid-Deadline-Ms", str(round(request.wait * 1000))),
            ("Grid-Units", "1"),
            ("Grid-Spread", str(request.spread)),
            ("Grid-First", str(request.first)),
            ("Grid-Retry", "1" if request.retry else "0"),
        ]
        body = b""
        if not request.safe:
            body = json.dumps(
                {
                    "class": request.request_class,
                    "solution": base64.b64encode(request.solution).decode(),
                }
            ).encode()
            fields += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        if request.key:
            fields.append(("Idempotency-Key", f'"{uuid_for(request.key)}"'))
        target = f"/v2/grids/{request.request_class}" if request.safe else "/v2/solutions"
        self.status, self.wait, self.body = 0, 0.0, b""
        chunks: list[bytes] = [
            self.http.send(
                self.h11.Request(
                    method="GET" if request.safe else "POST", target=target, headers=fields
                )
            ),
            *([self.http.send(self.h11.Data(data=body))] if body else []),
            self.http.send(self.h11.EndOfMessage()),
        ]
        return b"".join(chunks)

    def receive(self, data: bytes) -> ClientResponse | None:
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if isinstance(event, self.h11.Response):
                    self.status = event.status_code
                    fields = {n.decode(): v.decode("latin-1") for n, v in event.headers}
                    self.wait = int(fields.get("grid-retry-after-ms", "0")) / 1000
                elif isinstance(event, self.h11.Data):
                    self.body += bytes(event.data)
                elif isinstance(event, self.h11.EndOfMessage):
                    return self._to_response()
                elif not isinstance(event, self.h11.InformationalResponse):
                    return None
        except (self.h11.RemoteProtocolError, ValueError):
            return ClientResponse("failed")

    def _to_response(self) -> ClientResponse:
        if self.http.our_state is self.h11.DONE and self.http.their_state is self.h11.DONE:
            self.http.start_next_cycle()
        if self.status == 429:
            return ClientResponse("refused", wait=self.wait)
        try:
            return (
                ClientResponse("served", base64.b64decode(json.loads(self.body)["value"]))
                if self.status == 200
                else ClientResponse("failed")
            )
        except (ValueError, KeyError, TypeError):
            return ClientResponse("failed")

    def has_trailing_data(self) -> bool:
        return bool(self.http.trailing_data[0])


CLIENT_CODECS: dict[str, Callable[[], ClientCodec]] = {
    "resp2-v1": RespClientCodec,
    "resp3-v2": Resp3ClientCodec,
    "http-v2": HttpClientCodec,
}
