"""The server's side of a connection with dialect resp3-v2: RESP3 after HELLO 3, with push messages."""

from __future__ import annotations

from ingress.testbed.backend_server import ServerConnection
from ingress.testbed.record import Arrival

PUSH = b">2\r\n$4\r\nnews\r\n$4\r\ngrid\r\n"


class Resp3ServerConnection(ServerConnection):
    """A connection from an ingress that carries RESP3.

    A push message precedes every third response with a value.
    """

    served_count = 0

    def handle_greeting(self, words: list[bytes]) -> bool:
        if [word.upper() for word in words] != [b"HELLO", b"3"]:
            return False
        if self.transport is not None:
            self.transport.write(b"%2\r\n$6\r\nserver\r\n$4\r\ngrid\r\n$5\r\nproto\r\n:3\r\n")
        return True

    def send_value(self, arrival: Arrival, value: bytes) -> None:
        self.served_count += 1
        push = PUSH if self.served_count % 3 == 0 else b""
        self.write(
            arrival,
            b"%b%%2\r\n$5\r\nvalue\r\n$%d\r\n%b\r\n$4\r\nload\r\n_\r\n" % (push, len(value), value),
        )

    def send_unclear(self, arrival: Arrival) -> None:
        self.write(arrival, b"-UNCLEAR it may have run\r\n")
