"""Backends of resp2-v1 and http-v2: they run requests, drop repeats of a key, and record it all.

A backend begins a request when its last byte has come.  A request whose key its group has run
within the window has no effect; it gets the value of the first run.  What a backend runs goes on
when the connection ends.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from collections import Counter
from dataclasses import dataclass, field

from review.rig.record import Record
from review.rig.resp import read_command

ENDED = (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError)
"""The peer closed its connection or sent no request, or the run is over."""


@dataclass
class KeyMemory:
    """The keys that one group of backends has run: the time of the first run, and its value."""

    name: str
    window: float
    run_at: dict[tuple[str, str, str], float] = field(default_factory=dict)
    values: dict[tuple[str, str, str], bytes] = field(default_factory=dict)

    def begin(self, key: tuple[str, str, str], value: bytes) -> bool:
        """Returns whether a run of the key has an effect."""
        now = time.monotonic()
        if now < self.run_at.get(key, float("-inf")) + self.window:
            return False
        self.run_at[key] = now
        self.values[key] = value
        return True


@dataclass
class Ledger:
    """What all backends together received and ran."""

    record: Record
    effects: Counter[str] = field(default_factory=Counter)  # by the submission's content
    arrivals: Counter[str] = field(default_factory=Counter)
    ids_sent: set[str] = field(default_factory=set)  # of the clients' requests


@dataclass
class Backend:
    """One backend; `work_s` is the time that a request takes."""

    name: str
    zone: str
    memory: KeyMemory
    ledger: Ledger
    work_s: float
    host: str
    cell: int = 0
    address: tuple[str, int] = ("", 0)
    tasks: set[asyncio.Task[bytes]] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def open(self, dialect: str) -> None:
        """Listens on a free port."""
        serve = self._serve_http if dialect == "http-v2" else self._serve_resp
        self.server = await asyncio.start_server(serve, self.host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def entry(self, kind: str) -> dict[str, object]:
        """Returns the backend's entry of an endpoint list."""
        return {
            "id": self.name,
            "addr": "{}:{}".format(*self.address),
            "zone": self.zone,
            "kind": kind,
            "cell": self.cell,
            "state": "ready",
            "weight": 1.0,
            "started_ms": 0,
        }

    async def _run(self, request_id: str, customer: str, cls: str, key: str, body: str) -> bytes:
        ledger = self.ledger
        ledger.arrivals[body] += 1
        value = f"{body} by {self.name}".encode()
        memory = self.memory
        identity = (customer, cls, key)
        effect = memory.begin(identity, value)
        ledger.effects[body] += effect
        ledger.record.write(
            f"{self.name} ({self.zone}, keys of {memory.name}) begins {body}: id {request_id} "
            f"({'' if request_id in ledger.ids_sent else 'not '}sent by a client), "
            f"key {key}: {'runs it' if effect else 'drops a repeat'}"
        )
        await asyncio.sleep(self.work_s)
        return memory.values[identity]

    async def _run_to_the_end(self, *words: str) -> bytes:
        """Runs a request in a task of its own, which goes on if the connection ends."""
        task = asyncio.create_task(self._run(*words))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await asyncio.shield(task)

    async def _serve_resp(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDED):
            while True:
                words = [word.decode("latin-1") for word in await read_command(reader)]
                if words[0] not in ("API.READ", "API.WRITE") or len(words) not in (4, 5):
                    writer.write(b"-ERR unknown\r\n")
                    continue
                fields = dict(pair.split("=", 1) for pair in words[3].split(","))
                body = words[4] if len(words) == 5 else ""
                value = await self._run_to_the_end(
                    words[2], words[1], fields["c"], fields.get("k", ""), body
                )
                writer.write(b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value))
                await writer.drain()
        writer.close()

    async def _serve_http(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDED, KeyError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = [line.split(":", 1) for line in head.split("\r\n")[1:] if line]
                fields = {name.lower(): value.strip() for name, value in lines}
                content = await reader.readexactly(int(fields.get("content-length", "0")))
                document = json.loads(content)
                value = await self._run_to_the_end(
                    fields["x-request-id"],
                    fields["grid-customer"],
                    document["class"],
                    fields["idempotency-key"].strip('"'),
                    base64.b64decode(document["solution"]).decode(),
                )
                answer = {
                    "id": fields["x-request-id"],
                    "value": base64.b64encode(value).decode(),
                }
                text = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(text), text)
                )
                await writer.drain()
        writer.close()
