"""The codec of an http-v2 backend connection: encodes calls as requests, decodes responses.

Source: RFC 9110 (semantics) and RFC 9112 (HTTP/1.1).
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import Final

import httptools

from ingress.core.calls import FAILED_RESPONSE, Call
from ingress.policy.events import Outcome
from ingress.protocol_versions import http_v2
from ingress.transport.backend_protocol import (
    AttemptResult,
    BackendProtocolFactory,
    MalformedResponseError,
)

MAX_FIELDS: Final = 64
"""In a response's head."""
MAX_FIELD_BYTES: Final = 8 * 1024
"""In a field, name and value together."""
MAX_INTERIM_RESPONSES: Final = 8
"""1xx responses to one request."""
MAX_BODY_BYTES: Final = 2 * 1024 * 1024
"""Larger than the value, which is base64 in JSON."""
MIN_FINAL_STATUS: Final = 200
STATUSES_WITHOUT_BODY: Final = (204, 304)


class HttpBackendProtocol:
    """One http-v2 backend connection; implements `transport.backend_protocol`.

    The parser calls the methods whose names begin with `on_`.

    Attributes:
        host: The Host field of requests.
        max_value_bytes: The longest value that the clients' protocol versions can express.
        reasons: Number of responses without a usable value, by reason.
        client_request_id: The client's id of the request in flight.
        parser: Parses the responses to the request in flight.
        fields: The head's fields in order of arrival, with names in lower case.
        body: The part of the body received so far.
        interim_responses: Number of interim responses before the final response.
        has_head: Whether the head of the final response is complete.
        complete: Whether the final response is complete.
        has_length: Whether the head determines the body's end; otherwise the body ends when the
            connection is closed.
        status: The status of the final response.
        has_excess: Whether another response began after the final one.
        keep_alive: Whether the backend keeps the connection open.
    """

    def __init__(self, host: str, max_value_bytes: int, reasons: Counter[str]) -> None:
        self.host = host
        self.max_value_bytes = max_value_bytes
        self.reasons = reasons
        self.client_request_id = b""
        self._reset()

    def _reset(self) -> None:
        """Clears the state of the previous response."""
        self.parser = httptools.HttpResponseParser(self)
        self.fields: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.interim_responses = 0
        self.has_head = False
        self.complete = False
        self.has_length = False
        self.status = 0
        self.has_excess = False
        self.keep_alive = False

    def encode_request(self, call: Call, time_left: float) -> bytes:
        """Returns the call as a request whose timeout is `time_left` seconds.

        Raises:
            ValueError: This protocol can't express the call.
        """
        request = http_v2.encode_request(call, time_left, self.host)
        self.client_request_id = call.client_request_id
        self._reset()
        return request

    def receive_data(self, data: bytes) -> AttemptResult | None:
        """Processes received bytes; returns the result once the response is complete.

        Raises:
            MalformedResponseError: The bytes are not a valid response, or exceed a limit.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise MalformedResponseError("unsolicited protocol upgrade") from None
        except httptools.HttpParserError as error:
            # The parser wraps exceptions of the `on_` methods below.
            cause = error.__context__
            reason = cause if isinstance(cause, MalformedResponseError) else error
            raise MalformedResponseError(str(reason)) from None
        if len(self.body) > MAX_BODY_BYTES:
            raise MalformedResponseError("a body too large")
        return self._decode_response() if self.complete else None

    def receive_eof(self) -> AttemptResult | None:
        """Returns the result of a response whose body ends when the connection is closed.

        Returns None for any other incomplete response (RFC 9112, section 6.3).
        """
        if not self.has_head or self.complete or self.has_length:
            return None
        return self._decode_response()

    def on_message_begin(self) -> None:
        """Records whether this response follows the final one."""
        self.has_excess = self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a field of the head; ignores trailers (RFC 9110, section 6.5).

        Raises:
            MalformedResponseError: The head exceeds a limit.
        """
        if self.has_head:
            return
        if len(self.fields) >= MAX_FIELDS or len(name) + len(value) > MAX_FIELD_BYTES:
            raise MalformedResponseError("a head too large")
        self.fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Stores the final response's status and framing; ignores the heads of other responses."""
        status = self.parser.get_status_code()
        if status < MIN_FINAL_STATUS or self.has_head:
            return
        self.has_head = True
        self.status = status
        names = {name for name, _ in self.fields}
        self.has_length = (
            b"content-length" in names
            or b"transfer-encoding" in names
            or status in STATUSES_WITHOUT_BODY
        )

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body; drops the body of a response after the final one.

        Raises:
            MalformedResponseError: The body exceeds the limit.
        """
        if self.complete:
            return
        self.body += body
        if len(self.body) > MAX_BODY_BYTES:
            raise MalformedResponseError("a body too large")

    def on_message_complete(self) -> None:
        """Completes the final response, or clears the head of an interim one.

        Raises:
            MalformedResponseError: There are too many interim responses.
        """
        if not self.has_head:
            self.interim_responses += 1
            if self.interim_responses > MAX_INTERIM_RESPONSES:
                raise MalformedResponseError("too many interim responses")
            self.fields.clear()
        elif not self.complete:
            self.complete = True
            self.keep_alive = self.parser.should_keep_alive()

    def _decode_response(self) -> AttemptResult:
        """Returns the result of the final response.

        Raises:
            MalformedResponseError: The status means success, but the body holds no value for this
                request.
        """
        content_type = dict(self.fields).get(b"content-type", b"")
        media_type = content_type.partition(b";")[0].strip().lower()
        body = bytes(self.body)
        is_problem = media_type == b"application/problem+json"
        problem_type = http_v2.problem_type(body) if is_problem else ""
        meaning = http_v2.status_meaning(self.status, problem_type)
        # Bytes after the response would be taken for the response to the next request.
        reusable = self.complete and not self.has_excess and self.keep_alive
        if meaning.outcome is not Outcome.OK:
            self.reasons[meaning.reason] += 1
            return AttemptResult(meaning.outcome, None, {}, reusable, meaning.final_response)
        try:
            value = http_v2.value(body, self.client_request_id)
        except ValueError as error:
            raise MalformedResponseError(str(error)) from None
        if len(value) > self.max_value_bytes:
            self.reasons["too-large"] += 1
            return AttemptResult(Outcome.ERROR, None, {}, reusable, FAILED_RESPONSE)
        return AttemptResult(meaning.outcome, value, {}, reusable, meaning.final_response)


def make_backend_protocol(
    host: str, max_value_bytes: int, reasons: Counter[str]
) -> BackendProtocolFactory:
    """Returns a factory that creates the codec of a new connection."""
    return partial(HttpBackendProtocol, host, max_value_bytes, reasons)
