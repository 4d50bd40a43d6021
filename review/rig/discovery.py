"""A discovery agent: the endpoint list, in full or as changes, by long polls."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

MAX_WAIT_S = 60.0
ENDED = (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError)
"""The peer closed its connection or sent no request, or the run is over."""


class Agent:
    """Serves one endpoint list; `update` changes an entry."""

    def __init__(self) -> None:
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_in: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def open(self, host: str) -> tuple[str, int]:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        address: tuple[str, int] = self.server.sockets[0].getsockname()[:2]
        return address

    def update(self, entry: dict[str, Any]) -> None:
        """Sets an entry and answers the open polls."""
        self.version += 1
        self.entries[entry["id"]] = entry
        self.changed_in[entry["id"]] = self.version
        self.changed.set()
        self.changed = asyncio.Event()

    def full_list(self) -> dict[str, Any]:
        """Returns the complete list."""
        present = [entry for entry in self.entries.values() if entry["state"] != "gone"]
        return {"version": self.version, "full": True, "servers": present}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDED):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                query = parse_qs(urlsplit(head.split(" ", 2)[1]).query)
                text = json.dumps(await self._answer(query)).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(text), text)
                )
                await writer.drain()
        writer.close()

    async def _answer(self, query: dict[str, list[str]]) -> dict[str, Any]:
        after = int(query.get("after", ["-1"])[0])
        if after < 0 or after > self.version:
            return self.full_list()
        wait = min(MAX_WAIT_S, int(query.get("wait_ms", ["0"])[0]) / 1000)
        if after == self.version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), wait)
        changed = [entry for name, entry in self.entries.items() if self.changed_in[name] > after]
        return {"version": self.version, "full": False, "servers": changed}
