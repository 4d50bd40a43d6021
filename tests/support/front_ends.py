"""The requests of each kind of front end, as bytes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tests.peers import command


def http_read(request_id: str, customer: int = 7, timeout_ms: int = 2000) -> bytes:
    """Returns an encoded http-v2 read request."""
    fields = {
        "Host": "x",
        "X-Request-Id": request_id,
        "Grid-Customer": f"{customer:016x}",
        "Grid-Plan": "basic",
        "Grid-Deadline-Ms": str(timeout_ms),
    }
    lines = [f"{name}: {text}" for name, text in fields.items()]
    return "\r\n".join(["GET /v2/grids/read HTTP/1.1", *lines, "", ""]).encode()


def resp_read(request_id: str, customer: int = 7, timeout_ms: int = 2000) -> bytes:
    """Returns an encoded RESP read request, which RESP2 and RESP3 share."""
    return command(request_id, customer=customer, d=timeout_ms)


@dataclass(frozen=True, slots=True)
class FrontEndRequests:
    """The requests of one kind of front end.

    Attributes:
        listener: The index of its listener in an instance with all kinds.
        read: Encodes a read request from its id.
    """

    listener: int
    read: Callable[[str], bytes]


FRONT_ENDS = {
    "resp2-v1": FrontEndRequests(0, resp_read),
    "resp3-v2": FrontEndRequests(1, resp_read),
    "http-v2": FrontEndRequests(2, http_read),
}
