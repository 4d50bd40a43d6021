"""The baseline of `benchmarks.cost`: a relay on uvloop and hiredis without any admission decisions.

`python -m benchmarks.relay HOST:PORT HOST:PORT...` listens on the first address and forwards commands to the
others in turn, pipelined on one connection each.  It has no deadlines, limits or retries.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from collections.abc import Sequence
from itertools import cycle
from typing import cast

import hiredis
import uvloop

Address = tuple[str, int]


def address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Server(asyncio.Protocol):
    """A connection to a server, which answers in the order of the commands."""

    def __init__(self) -> None:
        self.reader = hiredis.Reader()
        self.waiting: deque[asyncio.Transport] = deque()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (answer := self.reader.gets()) is not False:
            self.waiting.popleft().write(b"$%d\r\n%b\r\n" % (len(answer[0]), answer[0]))


class Client(asyncio.Protocol):
    """A connection of a client."""

    def __init__(self, servers: cycle[Server]) -> None:
        self.reader, self.servers = hiredis.Reader(), servers
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (words := self.reader.gets()) is not False:
            if words[0] == b"PING":
                self.transport.write(b"+PONG\r\n")
                continue
            server = next(self.servers)
            server.waiting.append(self.transport)
            server.transport.write(
                b"*%d\r\n%b"
                % (len(words), b"".join([b"$%d\r\n%b\r\n" % (len(word), word) for word in words]))
            )


async def serve(listen: Address, addresses: Sequence[Address]) -> None:
    loop = asyncio.get_running_loop()
    connections = [
        (await loop.create_connection(Server, *server_address))[1] for server_address in addresses
    ]
    servers = cycle(connections)
    await (await loop.create_server(lambda: Client(servers), *listen)).serve_forever()


if __name__ == "__main__":
    uvloop.run(serve(address(sys.argv[1]), [address(text) for text in sys.argv[2:]]))
