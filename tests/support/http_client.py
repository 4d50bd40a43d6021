"""An HTTP client whose requests are written as bytes."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Self

import h11

from tests.peers import Address


class HttpClient:
    """A client connection on h11, which is independent of the codec under test.

    Attributes:
        reader: Reads from the connection.
        writer: Writes to the connection.
        http: The state of the protocol.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.CLIENT)

    @classmethod
    async def connect(cls, address: Address) -> Self:
        """Connects to an address."""
        return cls(*await asyncio.open_connection(*address))

    async def read_response(self, method: str = "GET") -> tuple[int, dict[str, str], Any]:
        """Returns status, fields and JSON body of the next response, whichever request was sent.

        Raises:
            EOFError: The connection ended before a complete response.
        """
        if self.http.our_state is h11.IDLE:
            self.http.send(h11.Request(method=method, target="/", headers=[("Host", "x")]))
            self.http.send(h11.EndOfMessage())
        status = 0
        fields: dict[str, str] = {}
        body = b""
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(await self.reader.read(1 << 16))
            elif isinstance(event, h11.Response):
                status = event.status_code
                fields = {name.decode(): text.decode() for name, text in event.headers}
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        return status, fields, json.loads(body)

    async def request(self, data: bytes) -> tuple[int, dict[str, str], Any]:
        """Writes a request and reads the next response."""
        self.writer.write(data)
        return await self.read_response()
