"""Discovery: the list of backends, kept up to date by a watch on the agent."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aiohttp

from mulleinhall.interface import Backend, ListKind, Readiness

log = logging.getLogger(__name__)

# Guards against a connection to the agent that fell silent: meanwhile backends leave and come, and nothing
# tells of it.  What is new comes at once, so a short wait costs no more than a small call now and then.
WAIT_MS = 1_000  # of a watch
GRACE = 0.5  # s: an agent answers at once, or once the wait is over
ASK_TIMEOUT = 1.0  # s for a call that doesn't wait
PAUSES = (0.05, 0.1, 0.2, 0.5, 1.0)  # s between tries while the agent is gone


@dataclass(frozen=True, slots=True)
class Listing:
    """One answer: the version, whether it holds the whole list, the entries and their addresses."""

    version: int
    full: bool
    backends: tuple[Backend, ...]
    addresses: dict[str, tuple[str, int]]


def _read_entry(row: Any) -> tuple[Backend, tuple[str, int]]:
    host, _, port = row["addr"].rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"addr: {row['addr']!r}")
    name, started, weight = row["id"], row.get("started_ms") or 0, row.get("weight", 1.0)
    if not isinstance(name, str) or not name:
        raise ValueError(f"id: {name!r}")
    if not 0 <= started < 1e15 or not 0 <= weight < 1e9:
        raise ValueError("started_ms or weight is out of range")
    return Backend(name, row.get("zone", ""), row.get("kind", ""), row.get("cell", 0),
                   Readiness(row["state"]), float(weight), started / 1000), (host, int(port))


def read_listing(body: Any) -> Listing:
    """Reads an answer.  An entry that makes no sense is skipped; ValueError if the whole does not."""
    if not isinstance(body, dict) or not isinstance(body.get("servers"), list):
        raise ValueError("no list of servers")
    version = body.get("version")
    if isinstance(version, bool) or not isinstance(version, int):
        raise ValueError(f"version: {version!r}")
    backends, addresses = [], {}
    for row in body["servers"]:
        try:
            backend, address = _read_entry(row)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("list version %s: entry skipped: %s: %s", version, type(error).__name__, error)
            continue
        backends.append(backend)
        addresses[backend.id] = address
    return Listing(version, bool(body.get("full")), tuple(backends), addresses)


class Discovery:
    """Follows the agent for as long as `run` runs; each change goes to `told`."""

    def __init__(self, address: tuple[str, int], told: Callable[[ListKind, Listing], None]) -> None:
        self.url = f"http://{address[0]}:{address[1]}/api/targets"
        self.told = told
        self.version: int | None = None  # of the list that the agent gave; None: ask for all of it

    async def run(self) -> None:
        failures = 0
        connector = aiohttp.TCPConnector(limit=2, keepalive_timeout=60.0)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                try:
                    await self._ask(session)
                    failures = 0
                except Exception as error:
                    # Guards against an agent that is silent, gone or speaks nonsense, and against a fault in
                    # what is done with a list: the last one is kept, tries are spaced, and the next asks for
                    # the whole list.
                    if failures in (0, 10, 100, 1000):
                        log.warning("discovery: %s: %s", type(error).__name__, error)
                    self.version = None
                    await asyncio.sleep(PAUSES[min(failures, len(PAUSES) - 1)])
                    failures += 1

    async def _ask(self, session: aiohttp.ClientSession) -> None:
        query, limit = "", ASK_TIMEOUT
        if self.version is not None:
            query, limit = f"?after={self.version}&wait_ms={WAIT_MS}", WAIT_MS / 1000 + GRACE
        async with session.get(self.url + query, timeout=aiohttp.ClientTimeout(total=limit)) as answer:
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            listing = read_listing(json.loads(await answer.read()))
        if not listing.full and (self.version is None or listing.version < self.version):
            # Guards against an agent that began anew: its changes don't apply to the list held here.
            raise ValueError(f"changes of version {listing.version} for version {self.version}")
        self.version = listing.version
        if listing.full:
            self.told(ListKind.REPLACE, listing)
        elif listing.backends:
            self.told(ListKind.UPDATE, listing)
