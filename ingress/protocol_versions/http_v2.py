"""http-v2: HTTP/1.1 with JSON. The `STATUS` table defines the meaning of each status.

Sources: RFC 9110 (semantics), RFC 9112 (HTTP/1.1), RFC 9457 (problem details), RFC 6585, section 4
(429), RFC 8470 (425).
"""

from __future__ import annotations

import base64
import binascii
import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil
from typing import Final
from urllib.parse import quote, unquote
from uuid import UUID

from ingress.core.call_limits import (
    CLASS_FIELD,
    FIRST_GATEWAY_FIELD,
    GATEWAY_COUNT_FIELD,
    IDEMPOTENCY_KEY_FIELD,
    PLAN_FIELD,
    RETRY_FIELD,
    TIMEOUT_FIELD,
    UNITS_FIELD,
    CallLimits,
)
from ingress.core.calls import FAILED_RESPONSE, Call, InvalidCallError, Response, ResponseKind
from ingress.policy.events import Outcome
from ingress.protocol_versions.declaration import (
    KeyForm,
    ProtocolVersion,
    ResponseMeaning,
    register,
)
from ingress.protocol_versions.keys import CUSTOMER, key_of, uuid_of

HTTP_V2: Final = register(
    ProtocolVersion(
        name="http-v2",
        protocol="HTTP/1.1",
        key_form=KeyForm.UUID,
        key_memory_name="v2",
        timeout_unit_s=0.001,
        retry_after_unit_s=1.0,
        max_value_bytes=1024 * 1024,
        max_body_bytes=1024 * 1024,
        carries_bytes=False,
        is_chunked=True,
        client_meanings=frozenset(
            {
                ResponseMeaning.SERVED,
                ResponseMeaning.REFUSED,
                ResponseMeaning.REFUSED_UNTIL,
                ResponseMeaning.FAILED,
                ResponseMeaning.KEY_CONFLICT,
                ResponseMeaning.MALFORMED,
            }
        ),
        backend_meanings=frozenset(ResponseMeaning) - {ResponseMeaning.UNASKED},
    )
)

PROBLEM_TYPE_PREFIX: Final = "urn:grid:problem:"
NOT_STARTED: Final = "not-started"
KEY_CONFLICT: Final = "key-conflict"
KEY_IN_PROGRESS: Final = "key-in-progress"
MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class StatusMeaning:
    """The meaning of a final status.

    Attributes:
        meaning: The meaning of the response.
        outcome: The outcome of the attempt.
        final_response: The response to a client whose protocol version can't express the meaning,
            or None to leave the response to the policy.
        reason: The name under which the response is counted.
    """

    meaning: ResponseMeaning
    outcome: Outcome
    final_response: Response | None = None
    reason: str = ""


_FAILED = StatusMeaning(ResponseMeaning.FAILED, Outcome.ERROR, reason="failed")
_UNCLEAR = StatusMeaning(ResponseMeaning.MAY_HAVE_RUN, Outcome.ERROR, reason="unclear")
_REJECTED = StatusMeaning(ResponseMeaning.REFUSED, Outcome.OVERLOADED, reason="refused")
_MALFORMED = StatusMeaning(ResponseMeaning.MALFORMED, Outcome.ERROR, FAILED_RESPONSE, "malformed")

STATUS: dict[tuple[int, str], StatusMeaning] = {
    (200, ""): StatusMeaning(ResponseMeaning.SERVED, Outcome.OK),
    # The request runs or will run: a retry returns no value sooner, and the other versions have no
    # deferred response.
    (202, ""): StatusMeaning(
        ResponseMeaning.ACCEPTED, Outcome.ERROR, FAILED_RESPONSE, "accepted-later"
    ),
    (409, KEY_CONFLICT): StatusMeaning(
        ResponseMeaning.KEY_CONFLICT, Outcome.ERROR, FAILED_RESPONSE, "key-conflict"
    ),
    (409, KEY_IN_PROGRESS): StatusMeaning(
        ResponseMeaning.IN_PROGRESS, Outcome.ERROR, reason="in-progress"
    ),
    (409, ""): _UNCLEAR,  # for a retry it can mean that the request ran
    (425, ""): _REJECTED,  # RFC 8470, section 5.2: not processed
    (429, ""): _REJECTED,  # RFC 6585, section 4
    (503, NOT_STARTED): _REJECTED,
    (503, ""): _UNCLEAR,  # the request may have run, so this is not a rejection
    (500, ""): _FAILED,
    (502, ""): _UNCLEAR,
    (504, ""): _UNCLEAR,
}
"""By status and problem type; "" matches any other type or a missing one."""
_ELSEWHERE = StatusMeaning(ResponseMeaning.ELSEWHERE, Outcome.ERROR, FAILED_RESPONSE, "redirect")


def status_meaning(status: int, problem_type: str) -> StatusMeaning:
    """Returns the meaning of a final status with a problem type (without its prefix)."""
    meaning = STATUS.get((status, problem_type)) or STATUS.get((status, ""))
    if meaning is not None:
        return meaning
    if 300 <= status < 400:
        return _ELSEWHERE
    return _MALFORMED if 400 <= status < 500 else _UNCLEAR


def encode_request(call: Call, time_left: float, host: str) -> bytes:
    """Returns a call as a request to a backend.

    Args:
        call: The call.
        time_left: The timeout that the request states, in seconds.
        host: The Host field.

    Raises:
        ValueError: A value is not allowed in an HTTP field; a call must not inject fields.
    """
    request_id = call.client_request_id.decode("latin-1")
    for word in (request_id, call.customer, call.plan, host):
        if not word.isascii() or not word.isprintable() or " " in word:
            raise ValueError("value not allowed in an HTTP field")
    fields = (
        f"Host: {host}\r\nX-Request-Id: {request_id}\r\n"
        f"Grid-Customer: {call.customer}\r\nGrid-Plan: {call.plan}\r\n"
        f"Grid-Units: {call.units:g}\r\nGrid-Deadline-Ms: {max(1, int(time_left * MS_PER_S))}\r\n"
    )
    if not call.is_write:
        path = quote(call.request_class, safe="")
        return f"GET /v2/grids/{path} HTTP/1.1\r\n{fields}\r\n".encode("ascii")
    solution = base64.b64encode(call.body or b"").decode("ascii")
    body = json.dumps({"class": call.request_class, "solution": solution}).encode("ascii")
    if call.idempotency_key:
        uuid = call.uuid if isinstance(call, HttpCall) else None
        uuid = uuid or uuid_of(call.idempotency_key, call.customer, call.request_class)
        fields += f'Idempotency-Key: "{uuid}"\r\n'
    head = (
        f"POST /v2/solutions HTTP/1.1\r\n{fields}Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("ascii") + body


@dataclass(init=False, slots=True)
class HttpCall(Call):
    """A call received in this version; its `idempotency_key` is converted to the resp2-v1 format.

    Attributes:
        uuid: The idempotency key as received, or None.
    """

    uuid: UUID | None

    def __init__(
        self,
        client_request_id: bytes,
        customer: str,
        request_class: str,
        plan: str,
        timeout: float,
        units: float,
        gateway_count: int,
        first_gateway: int,
        is_retry: bool,
        is_write: bool,
        idempotency_key: str,
        body: bytes | None,
        uuid: UUID | None,
    ) -> None:
        # Not super(): a dataclass with slots is created a second time, and the cell that super()
        # reads would refer to the first class.
        Call.__init__(
            self,
            client_request_id,
            customer,
            request_class,
            plan,
            timeout,
            units,
            gateway_count,
            first_gateway,
            is_retry,
            is_write,
            idempotency_key,
            body,
        )
        self.uuid = uuid


HEADER_FIELDS: Final = {
    b"grid-plan": PLAN_FIELD,
    b"grid-deadline-ms": TIMEOUT_FIELD,
    b"grid-units": UNITS_FIELD,
    b"grid-spread": GATEWAY_COUNT_FIELD,
    b"grid-first": FIRST_GATEWAY_FIELD,
    b"grid-retry": RETRY_FIELD,
}
"""Call fields by HTTP field name."""
FIELD_NAMES: Final = {field: header.decode().title() for header, field in HEADER_FIELDS.items()} | {
    CLASS_FIELD: "class",
    IDEMPOTENCY_KEY_FIELD: "Idempotency-Key",
}
"""Names of call fields in error messages."""
READ_PATH: Final = b"/v2/grids/"
WRITE_PATH: Final = b"/v2/solutions"
REQUEST_ID: Final = re.compile(rb"[!-~]{1,128}")
QUOTED_UUID: Final = re.compile(rb'"?([0-9a-fA-F]{8}(?:-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12})"?')


def decode_request(
    limits: CallLimits, method: bytes, target: bytes, headers: Mapping[bytes, bytes], body: bytes
) -> HttpCall:
    """Returns the call that a client's request encodes.

    Raises:
        InvalidCallError: A field or the body is missing or invalid, or the resource is unknown.
    """
    is_write = method == b"POST"
    fields = {
        field: headers[name].decode("latin-1")
        for name, field in HEADER_FIELDS.items()
        if name in headers
    }
    solution: bytes | None = None
    if method == b"GET" and target.startswith(READ_PATH):
        fields[CLASS_FIELD] = unquote(target[len(READ_PATH) :].decode("latin-1"))
    elif is_write and target == WRITE_PATH:
        fields[CLASS_FIELD], solution = _decode_body(body)
    else:
        raise InvalidCallError("no such resource")
    customer = headers.get(b"grid-customer", b"").decode("latin-1").lower()
    request_id = headers.get(b"x-request-id", b"")
    if not CUSTOMER.fullmatch(customer):
        raise InvalidCallError("Grid-Customer is not a number of 16 hex digits")
    if not REQUEST_ID.fullmatch(request_id):
        raise InvalidCallError("X-Request-Id is missing")
    uuid: UUID | None = None
    idempotency_key = ""
    if b"idempotency-key" in headers:
        uuid = _decode_uuid(headers[b"idempotency-key"])
        idempotency_key = key_of(uuid, customer, fields[CLASS_FIELD])
        fields[IDEMPOTENCY_KEY_FIELD] = idempotency_key
    timeout, units, gateway_count, first_gateway = limits.read(fields, is_write, FIELD_NAMES)
    return HttpCall(
        request_id,
        customer,
        fields[CLASS_FIELD],
        fields[PLAN_FIELD],
        timeout,
        units,
        gateway_count,
        first_gateway,
        fields.get(RETRY_FIELD) == "1",
        is_write,
        idempotency_key,
        solution,
        uuid,
    )


def _decode_uuid(value: bytes) -> UUID:
    """Returns the idempotency key of an HTTP field value, quoted or not.

    Raises:
        InvalidCallError: The value is not a UUID.
    """
    match = QUOTED_UUID.fullmatch(value)
    if match is None:
        raise InvalidCallError("Idempotency-Key is not a UUID")
    return UUID(match[1].decode("ascii"))


def _decode_body(body: bytes) -> tuple[str, bytes]:
    """Returns the request class and the decoded solution from a request's body.

    Raises:
        InvalidCallError: The body is not a JSON object with a class and a base64 solution.
    """
    try:
        document = json.loads(body)
        request_class = document["class"]
        solution = document["solution"]
        if not isinstance(request_class, str) or not isinstance(solution, str):
            raise InvalidCallError("class or solution is no text")
        # JSON allows lone surrogates, which the other versions can't express.
        request_class.encode()
        return request_class, base64.b64decode(solution, validate=True)
    except (ValueError, KeyError, TypeError, RecursionError):
        raise InvalidCallError("the body is not a class and a solution in JSON") from None


def encode_response(call: Call | None, response: Response) -> bytes:
    """Returns the encoded final response to a call."""
    if response.kind is ResponseKind.SERVED and call is not None:
        body = {
            "id": call.client_request_id.decode("latin-1"),
            "value": base64.b64encode(response.value).decode("ascii"),
        }
        return encode_json_response(200, body)
    if response.kind is ResponseKind.REJECTED:
        retry_after = response.retry_after
        fields = (
            f"Retry-After: {ceil(retry_after)}\r\n"
            f"Grid-Retry-After-Ms: {ceil(retry_after * MS_PER_S)}\r\n"
        )
        problem = {"type": PROBLEM_TYPE_PREFIX + NOT_STARTED, "title": "Refused; nothing ran"}
        return encode_json_response(429, problem, fields if retry_after > 0 else "")
    problem = {"type": PROBLEM_TYPE_PREFIX + "failed", "title": "Failed; it may have run"}
    return encode_json_response(500, problem)


def encode_json_response(status: int, body: object, fields: str = "") -> bytes:
    """Returns an encoded response with a JSON body.

    Args:
        status: One of `REASON_PHRASES`.
        body: The content of the body; must be serializable as JSON.
        fields: Additional fields, each with its CRLF.
    """
    text = json.dumps(body).encode("ascii")
    media_type = "application/json" if status < 300 else "application/problem+json"
    head = (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Type: {media_type}\r\n"
        f"Content-Length: {len(text)}\r\n{fields}\r\n"
    )
    return head.encode("ascii") + text


REASON_PHRASES: Final = {
    200: "OK",
    400: "Bad Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
}


def problem_type(body: bytes) -> str:
    """Returns the type of problem details without its prefix, or "" if the body has none.

    Source: RFC 9457, section 3.1.1.
    """
    try:
        type_uri = json.loads(body).get("type", "")
    except (ValueError, AttributeError, RecursionError):
        return ""
    return type_uri.removeprefix(PROBLEM_TYPE_PREFIX) if isinstance(type_uri, str) else ""


def value(body: bytes, client_request_id: bytes) -> bytes:
    """Returns the value from the body of a 200 response.

    Raises:
        ValueError: The body has no value, or belongs to another request.
    """
    try:
        document = json.loads(body)
        if document["id"] != client_request_id.decode("latin-1"):
            raise ValueError("response to another request")
        return base64.b64decode(document["value"], validate=True)
    except (KeyError, TypeError, RecursionError, binascii.Error) as error:
        raise ValueError(f"response has no value: {type(error).__name__}") from None
