"""Requests and responses of each protocol, both directions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from tests.golden_cases.handover import CALL, READ_CALL
from tests.golden_cases.names import (
    BackendProtocol,
    Call,
    ClientProtocol,
    HttpBackendProtocol,
    InvalidCallError,
    MalformedFrameError,
    MalformedResponseError,
    Resp3BackendProtocol,
    RespBackendProtocol,
    Response,
    ResponseKind,
    Settings,
    make_http_client_protocol,
    make_resp2_client_protocol,
    make_resp3_client_protocol,
    read_config,
)
from tests.golden_cases.plain import CUSTOMERS, FOLDER, plain


def settings() -> Settings:
    """Those of the configuration beside the golden files."""
    return read_config((FOLDER / "edge_config.json").read_text("utf-8")).settings


def command(*words: bytes) -> bytes:
    """An array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


READ_TEXT = b"c=grid-fetch,t=base,d=1500,units=1,spread=2,first=1"
WRITE_TEXT = b"d=900,c=solution-submit,t=editorial,k=5c0f6e1a2b3d4c59,r=1"
COMMANDS = {
    "read": command(b"API.READ", CUSTOMERS[0].encode(), b"r-1", READ_TEXT),
    "write": command(
        b"api.write", CUSTOMERS[2].upper().encode(), b"r-2", WRITE_TEXT, b"a body\r\n\x00"
    ),
    "write without body": command(b"API.WRITE", CUSTOMERS[1].encode(), b"r-3", WRITE_TEXT),
    "ping": command(b"PING"),
    "ping with text": command(b"ping", b"hello"),
    "client": command(b"CLIENT", b"SETNAME", b"x"),
    "select": command(b"SELECT", b"0"),
    "hello": command(b"HELLO"),
    "hello 3": command(b"HELLO", b"3"),
    "hello 3 read": command(b"API.READ", CUSTOMERS[0].encode(), b"r-4", READ_TEXT),
    "hello 4": command(b"HELLO", b"4"),
    "unknown": command(b"GET", b"x"),
    "no words": b"*0\r\n",
    "no customer": command(b"API.READ", b"c1", b"r-1", READ_TEXT),
    "no id": command(b"API.READ", CUSTOMERS[0].encode(), b"", READ_TEXT),
    "wrong number": command(b"API.READ", CUSTOMERS[0].encode(), b"r-1"),
    "no names": command(b"API.READ", CUSTOMERS[0].encode(), b"r-1", b"c"),
    "a name twice": command(b"API.READ", CUSTOMERS[0].encode(), b"r-1", READ_TEXT + b",d=5"),
    "no class": command(b"API.READ", CUSTOMERS[0].encode(), b"r-1", b"t=base,d=5"),
    "unknown class": command(b"API.READ", CUSTOMERS[0].encode(), b"r-1", b"c=x,t=base,d=5"),
    "unknown plan": command(b"API.READ", CUSTOMERS[0].encode(), b"r-1", b"c=grid-fetch,t=x,d=5"),
    "other command": command(b"API.WRITE", CUSTOMERS[0].encode(), b"r-1", READ_TEXT),
    "no key": command(b"API.WRITE", CUSTOMERS[0].encode(), b"r-1", b"c=solution-submit,t=base,d=5"),
    "units": command(
        b"API.READ", CUSTOMERS[0].encode(), b"r-1", READ_TEXT.replace(b"=1,s", b"=9,s")
    ),
    "wait": command(b"API.READ", CUSTOMERS[0].encode(), b"r-1", READ_TEXT.replace(b"1500", b"0")),
    "spread": command(b"API.READ", CUSTOMERS[0].encode(), b"r-1", READ_TEXT.replace(b"=2", b"=99")),
    "too large": b"*1\r\n$70000\r\n",
    "too many words": b"*9\r\n",
    "negative": b"*-1\r\n",
    "inline": b"PING\r\n",
}  # fmt: skip


def http(line: str, *fields: str, body: bytes = b"") -> bytes:
    """A request of HTTP/1.1."""
    length = [f"Content-Length: {len(body)}"] if body else []
    return "\r\n".join([line, "Host: grid.internal", *fields, *length, "", ""]).encode() + body


HTTP_FIELDS = (
    "X-Request-Id: r-1",
    f"Grid-Customer: {CUSTOMERS[1].upper()}",
    "Grid-Plan: plus",
    "Grid-Deadline-Ms: 1500",
)
SOLUTION = b'{"class": "solution-submit", "solution": "YSBib2R5AA=="}'
POST = "POST /v2/solutions HTTP/1.1"
GET = "GET /v2/grids/grid-fetch HTTP/1.1"
UUID_FIELD = 'Idempotency-Key: "0123abcd-0123-4bcd-8123-0123456789ab"'
HTTP_REQUESTS = {
    "read": http(
        GET, *HTTP_FIELDS, "Grid-Spread: 2", "Grid-First: 1", "Grid-Units: 1", "Grid-Retry: 1"
    ),
    "write": http(POST, *HTTP_FIELDS, UUID_FIELD, body=SOLUTION),
    "write in chunks": http(POST, *HTTP_FIELDS, UUID_FIELD, "Transfer-Encoding: chunked")
    + b"%x\r\n%b\r\n0\r\n\r\n" % (len(SOLUTION), SOLUTION),
    "expects": http(POST, *HTTP_FIELDS, UUID_FIELD, "Expect: 100-continue", body=SOLUTION),
    "closes": http(GET, *HTTP_FIELDS, "Connection: close"),
    "no key": http(POST, *HTTP_FIELDS, body=SOLUTION),
    "no UUID": http(POST, *HTTP_FIELDS, "Idempotency-Key: x", body=SOLUTION),
    "no resource": http("GET /v2/else HTTP/1.1", *HTTP_FIELDS),
    "no customer": http(GET, HTTP_FIELDS[0], *HTTP_FIELDS[2:]),
    "no id": http(GET, *HTTP_FIELDS[1:]),
    "no plan": http(GET, *HTTP_FIELDS[:2], HTTP_FIELDS[3]),
    "no deadline": http(GET, *HTTP_FIELDS[:3]),
    "unknown class": http("GET /v2/grids/x%20y HTTP/1.1", *HTTP_FIELDS),
    "no JSON": http(POST, *HTTP_FIELDS, UUID_FIELD, body=b"{"),
    "no text": http(POST, *HTTP_FIELDS, UUID_FIELD, body=b'{"class": 1, "solution": ""}'),
    "no base64": http(POST, *HTTP_FIELDS, UUID_FIELD, body=b'{"class": "a", "solution": "?"}'),
    "no host": http(GET, *HTTP_FIELDS).replace(b"Host: grid.internal\r\n", b""),
    "old version": http(GET.replace("1.1", "1.0"), *HTTP_FIELDS),
    "no request": b"hello\r\n\r\n",
}  # fmt: skip
SERVED, REJECTED, FAILED = ResponseKind
RESPONSES = {
    "served": Response(SERVED, b"a value\x00"),
    "rejected": Response(REJECTED),
    "rejected until": Response(REJECTED, b"", 1.2341),
    "failed": Response(FAILED),
}
CLIENT_PROTOCOLS: Mapping[
    str, tuple[Callable[[Settings], Callable[[], ClientProtocol]], Mapping[str, bytes]]
] = {
    "RESP2": (make_resp2_client_protocol, COMMANDS),
    "RESP3": (make_resp3_client_protocol, COMMANDS),
    "HTTP": (make_http_client_protocol, HTTP_REQUESTS),
}


def understood(protocol: ClientProtocol, data: bytes) -> Any:
    """What a client's bytes come to: a call, an answer at once, or the answer to an error."""
    try:
        half = protocol.find_frame_end(data[: len(data) // 2], 0)
        prompt = protocol.interim_response()
        end = protocol.find_frame_end(data, 0)
        call = protocol.decode_request(data[:end])
    except InvalidCallError as invalid:
        return ["invalid", plain(protocol.encode_error(str(invalid)))]
    except MalformedFrameError as malformed:
        return ["malformed", plain(protocol.encode_error(str(malformed), True))]
    return [half, plain(prompt), end, plain(call), protocol.close_requested]


def client_side(name: str) -> dict[str, Any]:
    """Requests as one protocol understands them, and responses as it writes them."""
    make, requests = CLIENT_PROTOCOLS[name]
    factory = make(settings())
    upgraded = factory()
    found: dict[str, Any] = {}
    for case, data in requests.items():
        protocol = upgraded if case.startswith("hello 3") else factory()
        found[case] = understood(protocol, data)
    for case, response in RESPONSES.items():
        found[f"told {case}"] = plain(factory().encode_response(CALL, response))
        if name == "RESP3":
            found[f"upgraded, told {case}"] = plain(upgraded.encode_response(CALL, response))
    return found


LOAD = b"active=3,waiting=1,cpu=0.5,avg_ms=12.5,rps=40,err_rps=0"


def blob(text: bytes, mark: bytes = b"$") -> bytes:
    """A bulk string, or a blob error with the mark of one."""
    return b"%b%d\r\n%b\r\n" % (mark, len(text), text)


RESP2_ANSWERS = {
    "served": b"*3\r\n" + blob(b"a value") + b"$-1\r\n" + blob(LOAD),
    "served without load": b"*3\r\n" + blob(b"") + b"$-1\r\n$-1\r\n",
    "served with odd load": b"*3\r\n" + blob(b"v") + blob(b"x") + blob(LOAD + b",x=1,rps=nan"),
    "and more": b"*3\r\n" + blob(b"v") + b"$-1\r\n$-1\r\n+x\r\n",
    "full": b"-BUSY active=9,waiting=30\r\n",
    "failed": b"-ERR failed active=9\r\n",
    "half": b"*3\r\n$5\r\nab",
    "other error": b"-ERR unknown\r\n",
    "no answer": b"+OK\r\n",
}
HELLO_ANSWER = b"%2\r\n" + blob(b"server") + blob(b"grid") + blob(b"proto") + b":3\r\n"
RESP3_ANSWERS = {
    "served": HELLO_ANSWER + b"%2\r\n" + blob(b"value") + blob(b"a value")
    + blob(b"load") + b"%2\r\n" + blob(b"active") + b",3.5\r\n" + blob(b"cpu") + b":1\r\n",
    "pushed": HELLO_ANSWER + b">1\r\n+news\r\n%1\r\n" + blob(b"value") + blob(b"v")
    + b">1\r\n+x\r\n",
    "full": HELLO_ANSWER + blob(b"BUSY later", b"!"),
    "failed": HELLO_ANSWER + blob(b"ERR failed", b"!"),
    "unclear": HELLO_ANSWER + blob(b"UNCLEAR", b"!"),
    "syntax": HELLO_ANSWER + b"-SYNTAX x\r\n",
    "too large": HELLO_ANSWER + b"%1\r\n" + blob(b"value") + blob(b"x" * 100),
    "no hello": b"%1\r\n" + blob(b"proto") + b":2\r\n",
    "odd error": HELLO_ANSWER + b"-ODD\r\n",
}  # fmt: skip


def http_answer(status: str, body: bytes, kind: str = "application/problem+json") -> bytes:
    """A response of HTTP/1.1."""
    head = f"HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def problem(name: str) -> bytes:
    """Problem details (RFC 9457) of that type."""
    return b'{"type": "urn:grid:problem:%b"}' % name.encode()


HTTP_SERVED = http_answer("200 OK", b'{"id": "r-1", "value": "dg=="}', "application/json")
HTTP_ANSWERS = {
    "until the end": HTTP_SERVED.replace(b"Content-Length: 30\r\n", b""),
    "served": HTTP_SERVED,
    "of another": HTTP_SERVED.replace(b"r-1", b"r-9"),
    "interim": b"HTTP/1.1 103 Early Hints\r\n\r\n" + HTTP_SERVED,
    "closed": HTTP_SERVED.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"),
    "and more": HTTP_SERVED + HTTP_SERVED,
    "half": HTTP_SERVED[:-3],
    "no answer": b"hello",
    **{
        f"{status} {name}": http_answer(f"{status} X", problem(name))
        for status in (202, 307, 400, 409, 422, 425, 429, 500, 503)
        for name in ("", "not-started", "key-conflict", "key-in-progress")
    },
}


BACKEND_ANSWERS = {"RESP2": RESP2_ANSWERS, "RESP3": RESP3_ANSWERS, "HTTP": HTTP_ANSWERS}


def backend_protocol(name: str, reasons: Counter[str]) -> BackendProtocol:
    """A connection to a backend; `reasons` counts answers that were no plain ones."""
    if name == "RESP2":
        return RespBackendProtocol()
    if name == "RESP3":
        return Resp3BackendProtocol(64, reasons)
    return HttpBackendProtocol("grid.internal", 64, reasons)


def result_of(name: str, data: bytes) -> Any:
    """What a backend's bytes come to: first half, second half, the end; and the reasons."""
    reasons = Counter[str]()
    protocol = backend_protocol(name, reasons)
    protocol.encode_request(CALL, 1.5)
    half = len(data) // 2
    try:
        results = [
            protocol.receive_data(data[:half]),
            protocol.receive_data(data[half:]),
            protocol.receive_eof(),
        ]
    except MalformedResponseError:
        return "malformed"
    return [plain(results), dict(reasons)]


def calls() -> dict[str, Call]:
    """Calls that no protocol made, and such as each protocol makes."""
    found = {"write": CALL, "read": READ_CALL}
    for name, (make, requests) in CLIENT_PROTOCOLS.items():
        for case in ("read", "write"):
            protocol = make(settings())()
            protocol.find_frame_end(requests[case], 0)
            call = protocol.decode_request(requests[case])
            assert isinstance(call, Call)
            found[f"{name} {case}"] = call
    return found


def backend_side(name: str) -> dict[str, Any]:
    """Calls as one protocol writes them to a backend, and answers as it understands them."""
    found: dict[str, Any] = {}
    for case, call in calls().items():
        protocol = backend_protocol(name, Counter())
        found[f"sends {case}"] = plain(
            [protocol.encode_request(call, time_left) for time_left in (1.5, 0.0)]
        )
    for case, data in BACKEND_ANSWERS[name].items():
        found[f"hears {case}"] = result_of(name, data)
    return found
