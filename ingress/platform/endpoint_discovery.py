"""Endpoint discovery: keeps the endpoint list up to date by long polls of the discovery agent."""

from __future__ import annotations

import asyncio
import json
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import aiohttp

from ingress.platform.drain_tracker import DrainTracker
from ingress.platform.watch_backoff import WatchBackoff
from ingress.policy.events import Backend, EndpointListKind, Readiness
from ingress.transport.peer_timeout import PeerTimeout

log = logging.getLogger(__name__)

# How long the agent may hold a long poll.  Changes are answered at once, so a short poll costs
# little, and it bounds the time for which a silent connection hides added and removed backends.
LONG_POLL_MS = 1_000
LOCAL_FIRST_POLL_MS = 1  # first poll of an agent on this machine: detects its silence at once
POLL_ANSWER_GRACE_S = 0.5  # added to the long poll, for the answer to a continued watch
MAX_CONNECTIONS = 2  # to the agent
KEEPALIVE_S = 60.0  # of an idle connection to the agent
LOGGED_FAILURE_COUNTS = (0, 10, 100, 1000)  # consecutive failures before one that is logged

MAX_PORT = 65535
MAX_STARTED_MS = 1e15
MAX_WEIGHT = 1e9

# An answer that was probably truncated in transit: without a length only its content shows that.
# The same call is repeated once; if that fails too, the agent itself sends such an answer, and the
# complete list may help.
TRUNCATED_ANSWER_ERRORS = (aiohttp.ClientPayloadError, json.JSONDecodeError)
OVERLOAD_STATUSES = (429, 503)
NO_TIMEOUT = aiohttp.ClientTimeout(total=None)  # of the library, which does not allow for hold-ups


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One answer of the agent.

    Attributes:
        version: Counter of changes; it may restart with the agent.
        full: Whether the list holds all backends; otherwise only those that changed.
        backends: Entries in the agent's order.
        addresses: Host and port by backend id.
    """

    version: int
    full: bool
    backends: tuple[Backend, ...]
    addresses: dict[str, tuple[str, int]]


class DiscoveryOverloadedError(Exception):
    """The agent is overloaded; the current list remains valid."""


class MalformedListError(ValueError):
    """A list can't be read, or can't be applied to the current one."""


# No answer: nothing contradicts the current list, and the next call requests newer changes.
NO_ANSWER_ERRORS = (DiscoveryOverloadedError, OSError, aiohttp.ClientConnectionError)


def _read_entry(entry: Any) -> tuple[Backend, tuple[str, int]]:
    host, _, port_text = entry["addr"].rpartition(":")
    port = int(port_text) if host else 0
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"addr: {entry['addr']!r} is not an address and port")
    name = entry["id"]
    if not isinstance(name, str) or not name:
        raise ValueError(f"id: {name!r} is not a non-empty string")
    started_ms = entry.get("started_ms") or 0
    weight = entry.get("weight", 1.0)
    if not 0 <= started_ms < MAX_STARTED_MS:
        raise ValueError(f"started_ms: {started_ms!r} is not from 0 to {MAX_STARTED_MS:g}")
    if not 0 <= weight < MAX_WEIGHT:
        raise ValueError(f"weight: {weight!r} is not from 0 to {MAX_WEIGHT:g}")
    backend = Backend(
        name,
        entry.get("zone", ""),
        entry.get("kind", ""),
        entry.get("cell", 0),
        Readiness(entry["state"]),
        float(weight),
        started_ms / 1000,
    )
    return backend, (host, port)


def read_endpoint_list(body: Any) -> EndpointList:
    """Reads an answer of the agent, or the list that came with the configuration.

    A malformed entry is logged and skipped.

    Args:
        body: The decoded JSON.

    Raises:
        MalformedListError: The list as a whole is malformed.
    """
    if not isinstance(body, dict) or not isinstance(body.get("servers"), list):
        raise MalformedListError("servers: not a list")
    version = body.get("version")
    if isinstance(version, bool) or not isinstance(version, int):
        raise MalformedListError(f"version: {version!r} is not an integer")
    backends: list[Backend] = []
    addresses: dict[str, tuple[str, int]] = {}
    for entry in body["servers"]:
        try:
            backend, address = _read_entry(entry)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning(
                "endpoint list version %s: entry skipped: %s: %s",
                version,
                type(error).__name__,
                error,
            )
            continue
        backends.append(backend)
        addresses[backend.id] = address
    return EndpointList(version, bool(body.get("full")), tuple(backends), addresses)


class EndpointDiscovery:
    """A watch on one agent, which continues until it is cancelled.

    Args:
        address: Host and port of the agent.
        on_list: Called with each complete list, and with each update that is not empty.
        backoff: Timeouts and pauses of the calls.
        version: Version of the current list, from which the first call continues; None requests the
            complete list.
        drains: Drain notices from all agents so far.
        on_call_ended: Called after each call with whether it was answered.
    """

    def __init__(
        self,
        address: tuple[str, int],
        on_list: Callable[[EndpointListKind, EndpointList], None],
        backoff: WatchBackoff,
        version: int | None = None,
        drains: DrainTracker | None = None,
        on_call_ended: Callable[[bool], None] = lambda answered: None,
    ) -> None:
        self.url = f"http://{address[0]}:{address[1]}/api/targets"
        self.on_list = on_list
        self.backoff = backoff
        self.on_call_ended = on_call_ended
        self.drains = DrainTracker() if drains is None else drains
        self.version = version
        self.watching = False  # the last call was answered, so the next one continues it

    async def run(self) -> None:
        """Polls until it is cancelled; failures of the agent or of `on_list` do not end it."""
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, keepalive_timeout=KEEPALIVE_S)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                try:
                    await self._poll(session)
                    self.watching = True
                    self.backoff.record_success()
                    self.on_call_ended(True)
                except Exception as error:
                    pause = self._record_failure(error)
                    await asyncio.sleep(pause)

    def _record_failure(self, error: Exception) -> float:
        """Decides whether the next call continues the list, and returns the seconds to pause.

        The current list is always kept.  After a call without an answer the next one requests
        changes since that list; after a malformed answer it requests the complete list.
        """
        failures = self.backoff.consecutive_failures
        if failures in LOGGED_FAILURE_COUNTS:
            log.warning("discovery call failed: %s: %s", type(error).__name__, error)
        harmless = NO_ANSWER_ERRORS if failures else (*NO_ANSWER_ERRORS, *TRUNCATED_ANSWER_ERRORS)
        if not isinstance(error, harmless):
            self.version = None
        self.watching = False
        self.on_call_ended(False)
        return self.backoff.record_failure(isinstance(error, DiscoveryOverloadedError))

    async def _poll(self, session: aiohttp.ClientSession) -> None:
        if self.drains.take_recheck(time.monotonic()):
            self.version = None
        endpoints = await self._fetch(session)
        if not endpoints.full and (self.version is None or endpoints.version < self.version):
            # The agent restarted: its changes don't apply to the current list.
            raise MalformedListError(
                f"changes of version {endpoints.version} don't apply to version {self.version}"
            )
        self.version = endpoints.version
        corrected = self.drains.apply(endpoints.version, endpoints.backends, time.monotonic())
        endpoints = replace(endpoints, backends=corrected)
        if endpoints.full:
            self.on_list(EndpointListKind.COMPLETE, endpoints)
        elif endpoints.backends:
            self.on_list(EndpointListKind.UPDATE, endpoints)

    async def _fetch(self, session: aiohttp.ClientSession) -> EndpointList:
        """Requests the complete list, or the changes since the current one by a long poll."""
        query = ""
        timeout = POLL_ANSWER_GRACE_S if self.watching else self.backoff.call_timeout()
        if self.version is not None:
            shared_service = self.backoff.drain_grace is None
            wait_ms = LONG_POLL_MS if self.watching or shared_service else LOCAL_FIRST_POLL_MS
            query = f"?after={self.version}&wait_ms={wait_ms}"
            timeout = wait_ms / 1000 + timeout
        async with (
            PeerTimeout(timeout),
            session.get(self.url + query, timeout=NO_TIMEOUT) as answer,
        ):
            if answer.status in OVERLOAD_STATUSES:
                raise DiscoveryOverloadedError(f"status {answer.status}")
            if answer.status != 200:
                raise MalformedListError(f"status {answer.status}")
            return read_endpoint_list(json.loads(await answer.read()))
