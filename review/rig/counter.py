"""A counter: named totals that it adds to."""

from __future__ import annotations

import asyncio
import contextlib

ENDED = (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError)
"""The peer closed its connection or sent no request, or the run is over."""


class Counter:
    """Answers each call at once."""

    def __init__(self) -> None:
        self.totals: dict[bytes, float] = {}
        self.server: asyncio.Server | None = None

    async def open(self, host: str) -> tuple[str, int]:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        address: tuple[str, int] = self.server.sockets[0].getsockname()[:2]
        return address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDED):
            while line := await reader.readline():
                writer.write(self._answer(line.split()) + b"\r\n")
                await writer.drain()
        writer.close()

    def _answer(self, words: list[bytes]) -> bytes:
        if words == [b"ping"]:
            return b"pong"
        if len(words) != 4 or words[0] != b"add":
            return b"error"
        total = self.totals.get(words[1], 0.0) + float(words[2])
        self.totals[words[1]] = total
        return b"ok %.7g" % total
