"""The server's side of a connection with dialect http-v2.

It uses h11, a different codec from the ingress's.
"""

from __future__ import annotations

import base64
import binascii
import json
from typing import TYPE_CHECKING

import h11

from ingress.testbed.backend_server import GridServer, ServerConnection
from ingress.testbed.record import Arrival

if TYPE_CHECKING:
    from collections.abc import Mapping

PROBLEM = "urn:grid:problem:"
REASONS = {
    200: "OK",
    202: "Accepted",
    307: "Temporary Redirect",
    400: "Bad Request",
    409: "Conflict",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class HttpServerConnection(ServerConnection):
    """A connection from an ingress that carries HTTP/1.1."""

    def __init__(self, server: GridServer, ingress: int) -> None:
        super().__init__(server, ingress)
        self.http = h11.Connection(h11.SERVER)
        self.request: h11.Request | None = None
        self.body = b""

    def data_received(self, data: bytes) -> None:
        now = self.record_receipt()
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if isinstance(event, h11.Request):
                    self.request, self.body = event, b""
                    if self.http.they_are_waiting_for_100_continue:
                        self._write(
                            self.http.send(h11.InformationalResponse(status_code=100, headers=[]))
                        )
                elif isinstance(event, h11.Data):
                    self.body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self._end_request(now)
                else:
                    break
        except h11.RemoteProtocolError:
            self.abort()

    def _end_request(self, now: float) -> None:
        request, first = (
            self.request,
            now if self.command_began_at is None else self.command_began_at,
        )
        self.command_began_at, self.last_used = None, now
        assert request is not None
        fields = {n.decode(): v.decode("latin-1") for n, v in request.headers}
        arrival = self._read(request, fields, first, now)
        if arrival is None:
            self.respond(400, {"type": PROBLEM + "malformed"})
        else:
            self.server.arrived(self, arrival)

    def _read(
        self, request: h11.Request, fields: Mapping[str, str], first: float, now: float
    ) -> Arrival | None:
        server, target = self.server, request.target.decode("ascii")
        try:
            if request.method == b"GET" and target.startswith("/v2/grids/"):
                cls = target.removeprefix("/v2/grids/")
            elif request.method == b"POST" and target == "/v2/solutions":
                document = json.loads(self.body)
                cls = document["class"]
                base64.b64decode(document["solution"], validate=True)
            else:
                return None
            if (server.deployment.by_class[cls].semantics == "safe") is not (
                request.method == b"GET"
            ):
                return None
            server.deployment.by_plan[fields["grid-plan"]]
            name, key = fields["x-request-id"], fields.get("idempotency-key", "").strip('"')
            if int(fields["grid-deadline-ms"]) < 1 or (request.method == b"POST" and not key):
                return None
            return Arrival(
                name,
                fields["grid-customer"],
                fields["grid-plan"],
                cls,
                key,
                float(fields["grid-units"]),
                server.name,
                self.ingress,
                first,
                now,
                server.work(name),
                memory=server.keys.name,
            )
        except (KeyError, ValueError, TypeError, binascii.Error):
            return None

    def send_value(self, arrival: Arrival, value: bytes) -> None:
        self.respond(200, {"id": arrival.id, "value": base64.b64encode(value).decode()}, arrival)

    def send_busy(self, arrival: Arrival) -> None:
        self.respond(429, {"type": PROBLEM + "not-started"}, arrival, [("Retry-After", "1")])

    def send_malformed(self, arrival: Arrival) -> None:
        self.respond(200, {"id": arrival.id}, arrival)

    def send_unclear(self, arrival: Arrival) -> None:
        self.respond(503, {"title": "not now"}, arrival)

    def send_accepted(self, arrival: Arrival) -> None:
        self.respond(202, {"id": arrival.id, "result": f"/v2/results/{arrival.id}"}, arrival)

    def respond(
        self,
        status: int,
        body: object,
        arrival: Arrival | None = None,
        fields: list[tuple[str, str]] | None = None,
    ) -> None:
        """Sends one response; a connection carries one request at a time."""
        text = json.dumps(body).encode()
        kind = "application/json" if status < 300 else "application/problem+json"
        data = (
            self.http.send(
                h11.Response(
                    status_code=status,
                    reason=REASONS.get(status, ""),
                    headers=[
                        ("Content-Type", kind),
                        ("Content-Length", str(len(text))),
                        *(fields or []),
                    ],
                )
            )
            or b""
        )
        data += self.http.send(h11.Data(data=text)) or b""
        data += self.http.send(h11.EndOfMessage()) or b""
        if arrival is None:
            self._write(data)
        else:
            self.write(arrival, data)
        if self.http.our_state is h11.MUST_CLOSE:
            if self.transport is not None:
                self.transport.close()
        else:
            self.http.start_next_cycle()

    def _write(self, data: bytes | None) -> None:
        if self.transport is not None and data and not self.transport.is_closing():
            self.transport.write(data)
