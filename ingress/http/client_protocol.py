"""The codec of an http-v2 client connection: decodes requests to calls, encodes responses."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Final

import httptools

from ingress.core.call_limits import CallLimits
from ingress.core.calls import Call, InvalidCallError, Response
from ingress.http.frames import RequestScanner, find_head_end, parse_fields, skip_empty_lines
from ingress.policy.settings import Settings
from ingress.protocol_versions import http_v2
from ingress.transport.client_protocol import MalformedFrameError

CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
BAD_REQUEST: Final = 400


class RequestMessage:
    """Collects the parts of one complete request; the parser calls its `on_` methods.

    Attributes:
        target: The request target.
        body: The body without its transfer coding.
        complete: Whether the parser found the end of the request.
    """

    def __init__(self) -> None:
        self.target = b""
        self.body = b""
        self.complete = False

    def on_url(self, part: bytes) -> None:
        """Appends a part of the request target."""
        self.target += part

    def on_body(self, part: bytes) -> None:
        """Appends a part of the body."""
        self.body += part

    def on_message_complete(self) -> None:
        """Marks the request as complete."""
        self.complete = True


class HttpClientProtocol:
    """One http-v2 client connection; implements `transport.client_protocol`.

    Attributes:
        close_requested: Whether the client asked to close the connection after the last request.
        limits: Checks the fields of calls.
        missing_bytes: After an incomplete request, the number of bytes that it needs at least.
        scanner: The scan of the request that is still incomplete.
        continue_awaited: Whether the client waits for 100 (Continue).
        continue_sent: Whether 100 (Continue) was sent for the request that is still incomplete.
    """

    __slots__ = (
        "close_requested",
        "continue_awaited",
        "continue_sent",
        "limits",
        "missing_bytes",
        "scanner",
    )

    def __init__(self, limits: CallLimits) -> None:
        self.limits = limits
        self.close_requested = False
        self.missing_bytes = 1
        self.scanner = RequestScanner()
        self.continue_awaited = False
        self.continue_sent = False

    def find_frame_end(self, data: bytes, at: int) -> int:
        """Returns the end offset of the request that starts at `at`, or -1 if it is incomplete.

        Raises:
            MalformedFrameError: The bytes at `at` are not a valid request, or exceed a limit.
        """
        end = self.scanner.find_end(data, at)
        if end < 0:
            self.missing_bytes = self.scanner.missing_bytes
            self.continue_awaited = not self.continue_sent and self.scanner.awaits_continue
        else:
            self.scanner = RequestScanner()
        return end

    def interim_response(self) -> bytes:
        """Returns 100 (Continue) once per request that expects it (RFC 9110, section 10.1.1)."""
        if not self.continue_awaited:
            return b""
        self.continue_awaited = False
        self.continue_sent = True
        return CONTINUE

    def decode_request(self, frame: bytes) -> Call | bytes:
        """Decodes the request whose end `find_frame_end` returned last.

        Raises:
            InvalidCallError: The request is invalid; the next one can still be decoded.
            MalformedFrameError: The framing is invalid; no further request can be decoded.
        """
        self.continue_awaited = False
        self.continue_sent = False
        request = frame[skip_empty_lines(frame, 0) :]
        message = RequestMessage()
        parser = httptools.HttpRequestParser(message)
        try:
            parser.feed_data(request)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedFrameError(f"no request: {error}") from None
        if not message.complete or parser.get_http_version() != "1.1":
            raise MalformedFrameError("no request of HTTP/1.1")
        fields = parse_fields(request[: find_head_end(request, 0)])
        self.close_requested = (
            not parser.should_keep_alive() or fields.get(b"connection", b"").lower() == b"close"
        )
        if b"host" not in fields:
            raise InvalidCallError("Host is missing")
        method = parser.get_method()
        return http_v2.decode_request(self.limits, method, message.target, fields, message.body)

    def encode_response(self, call: Call | None, response: Response) -> bytes:
        """Returns the encoded final response to a call that this codec decoded."""
        return http_v2.encode_response(call, response)

    def encode_error(self, reason: str, fatal: bool = False) -> bytes:
        """Returns a 400 (Bad Request) response with problem details (RFC 9457)."""
        problem = {
            "type": http_v2.PROBLEM_TYPE_PREFIX + "malformed",
            "title": "Not understood; nothing ran",
            "detail": reason,
        }
        return http_v2.encode_json_response(
            BAD_REQUEST, problem, "Connection: close\r\n" if fatal else ""
        )


def make_client_protocol(settings: Settings) -> Callable[[], HttpClientProtocol]:
    """Returns a factory that creates the codec of a new connection."""
    return partial(HttpClientProtocol, CallLimits(settings))
