"""Clients: each sends one request on a connection of its own and waits for its answer."""

from __future__ import annotations

import asyncio
import base64
import json
import os
from dataclasses import dataclass

from review.rig.backends import Ledger
from review.rig.resp import encode_command, read_reply


@dataclass
class Submission:
    """What a request and the client's retries of it have in common."""

    customer: str
    plan: str
    request_class: str
    key: str
    content: str
    spread: int


async def _until_answered(
    ledger: Ledger, address: tuple[str, int], data: bytes, read: object, text: str, wait: float
) -> tuple[str, bytes]:
    record = ledger.record
    record.write(f"client sends {text}")
    writer = None
    try:
        async with asyncio.timeout(wait + 0.5):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            kind, value = await read(reader)  # type: ignore[operator]
    except (OSError, asyncio.IncompleteReadError) as error:
        kind, value = "broken", type(error).__name__.encode()
    except TimeoutError:
        kind, value = "unanswered", b""
    finally:
        if writer is not None:
            writer.close()
    record.write(f"client is answered {text}: {kind} {value[:80].decode('latin-1')}")
    return kind, value


async def submit_resp(
    ledger: Ledger, address: tuple[str, int], submission: Submission, wait: float
) -> tuple[str, bytes]:
    """Sends a submission as API.WRITE."""
    s = submission
    request_id = os.urandom(8).hex()
    ledger.ids_sent.add(request_id)
    fields = (
        f"c={s.request_class},t={s.plan},d={int(wait * 1000)},k={s.key},units=1,"
        f"spread={s.spread},first=0"
    )
    data = encode_command("API.WRITE", s.customer, request_id, fields, s.content)
    text = f"{s.content}, id {request_id}, key {s.key}, to {address[0]}:{address[1]}"
    return await _until_answered(ledger, address, data, read_reply, text, wait)


async def _read_http(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = [line.split(":", 1) for line in head.split("\r\n")[1:] if line]
    fields = {name.lower(): value.strip() for name, value in lines}
    body = await reader.readexactly(int(fields["content-length"]))
    status = int(head.split(" ", 2)[1])
    if status == 200:
        return "served", base64.b64decode(json.loads(body)["value"])
    return "refused" if status == 429 else "failed", f"{status} ".encode() + body


async def submit_http(
    ledger: Ledger, address: tuple[str, int], submission: Submission, wait: float
) -> tuple[str, bytes]:
    """Sends a submission as POST /v2/solutions, with a UUID as its idempotency key."""
    s = submission
    request_id = os.urandom(8).hex()
    ledger.ids_sent.add(request_id)
    solution = base64.b64encode(s.content.encode()).decode()
    body = json.dumps({"class": s.request_class, "solution": solution}).encode()
    head = (
        f"POST /v2/solutions HTTP/1.1\r\nHost: grid.example.org\r\nX-Request-Id: {request_id}\r\n"
        f"Grid-Customer: {s.customer}\r\nGrid-Plan: {s.plan}\r\nGrid-Units: 1\r\n"
        f"Grid-Deadline-Ms: {int(wait * 1000)}\r\nGrid-Spread: {s.spread}\r\nGrid-First: 0\r\n"
        f'Idempotency-Key: "{s.key}"\r\nContent-Type: application/json\r\n'
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    text = f"{s.content}, id {request_id}, key {s.key}, to {address[0]}:{address[1]}"
    return await _until_answered(ledger, address, head.encode() + body, _read_http, text, wait)
