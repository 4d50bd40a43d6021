"""A stub discovery service: the fleet's endpoint list, and an agent for each ingress."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import parse_qs, urlsplit

from ingress.testbed.loopback_addresses import STUBS, host

Entry = dict[str, Any]
"""One server of an endpoint list, in its JSON form."""
NotificationHandler = Callable[[int, str, str], None]
"""Receives the number of the ingress, the server's id and its state when an entry is sent."""

MAX_WAIT_S = 60.0  # of a long poll
MAX_REQUEST_HEAD_BYTES = 8192
MIN_TIME_BETWEEN_CHANGES_S = 0.005  # of one server at one agent
PATH = "/api/targets"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
CONNECTION_ERRORS = (
    OSError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    ValueError,
    asyncio.CancelledError,
)
"""The ingress disconnected or sent an invalid request, or the run is over."""


class Agent:
    """The discovery agent of one ingress.

    Attributes:
        number: Of the ingress.
        on_notified: Called with each entry that is sent.
        version: Counts changes.
        entries: The endpoint list, by the servers' ids.
        changed_in: The version in which a server's entry last changed, by its id.
        initial_entries: The first version of the list, which the fault "back" sends.
        fault: "silent", "back", or empty for none.
        extra_delay_s: By which each change is delayed further.
        changed: Set and replaced with each change.
        servers: The listening sockets: an ingress may be configured to use another one.
        polled_ports: Ports on which the list was polled.
    """

    def __init__(self, number: int, on_notified: NotificationHandler) -> None:
        self.number = number
        self.on_notified = on_notified
        self.version = 1
        self.entries: dict[str, Entry] = {}
        self.changed_in: dict[str, int] = {}
        self.initial_entries: list[Entry] = []
        self.fault = ""
        self.extra_delay_s = 0.0
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.servers: list[asyncio.Server] = []
        self.polled_ports: set[int] = set()

    async def open(self) -> tuple[str, int]:
        """Listens on one more port; returns its address."""
        server = await asyncio.start_server(
            self._serve, host(STUBS), 0, limit=MAX_REQUEST_HEAD_BYTES
        )
        self.servers.append(server)
        address: tuple[str, int] = server.sockets[0].getsockname()
        return address

    def update(self, entry: Entry) -> None:
        """Updates an entry and sends it to the ingress from now on."""
        self.version += 1
        self.entries[entry["id"]] = entry
        self.changed_in[entry["id"]] = self.version
        self._wake_polls()

    def full_list(self) -> Mapping[str, Any]:
        """Returns the complete list, as a starting ingress receives it."""
        present = [entry for entry in self.entries.values() if entry["state"] != "gone"]
        return {"version": self.version, "full": True, "servers": present}

    def set_fault(self, fault: str) -> None:
        """Starts a fault, or ends it if `fault` is empty."""
        self.fault = fault
        self._wake_polls()

    def close(self) -> None:
        """Stops listening and drops all connections."""
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()

    def _wake_polls(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                await self._serve_request(reader, writer)
        except CONNECTION_ERRORS:
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        method, target, *_ = head.split(" ", 2)
        url = urlsplit(target)
        if method != "GET" or url.path != PATH:
            writer.write(NOT_FOUND)
            return
        self.polled_ports.add(writer.get_extra_info("sockname")[1])
        body = await self._poll(parse_qs(url.query))
        while self.fault == "silent":
            await self.changed.wait()
        text = json.dumps(body).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(text), text)
        )
        self._record_notified(body)
        await writer.drain()

    def _record_notified(self, body: Mapping[str, Any]) -> None:
        for entry in body["servers"]:
            self.on_notified(self.number, entry["id"], entry["state"])
        if body["full"]:
            sent = {entry["id"] for entry in body["servers"]}
            for name in self.entries.keys() - sent:
                self.on_notified(self.number, name, "gone")

    async def _poll(self, query: Mapping[str, list[str]]) -> Mapping[str, Any]:
        """Returns the body of the response once there is a newer version or the wait is over."""
        after = int(query.get("after", ["-1"])[0])
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", ["0"])[0]) / 1000)
        if self.fault == "back":
            return await self._poll_old_list(after, wait_s)
        if after < 0:
            return self.full_list()
        await self._wait_for_newer(after, wait_s)
        if after > self.version:
            return self.full_list()  # the fault "back" sent the old list with a higher version
        changed = [entry for name, entry in self.entries.items() if self.changed_in[name] > after]
        return {"version": self.version, "full": False, "servers": changed}

    async def _poll_old_list(self, after: int, wait_s: float) -> Mapping[str, Any]:
        if after != self.version + 1:
            return {"version": self.version + 1, "full": True, "servers": self.initial_entries}
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.changed.wait(), wait_s)
        return {"version": after, "full": False, "servers": []}

    async def _wait_for_newer(self, after: int, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while after == self.version:
            time_left = until - loop.time()
            if time_left <= 0:
                return
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), time_left)


class EndpointPublisher:
    """Publishes changes of the fleet to the agents, each after its own delay."""

    def __init__(self, agents: list[Agent], notice_s: float, rng: random.Random) -> None:
        """Creates a publisher.

        Args:
            agents: One for each ingress.
            notice_s: Seconds within which each agent receives a change.
            rng: Draws the delays.
        """
        self.agents = agents
        self.notice_s = notice_s
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        # When each agent receives the latest change of a server, by the agent's number and the id.
        self.receives_at: dict[tuple[int, str], float] = {}

    def publish_initial(self, entries: list[Entry]) -> None:
        """Gives all agents a server's first entry at once: one entry for each, in their order."""
        for agent, entry in zip(self.agents, entries, strict=True):
            agent.update(entry)
            agent.initial_entries.append(entry)

    def publish(self, entries: list[Entry]) -> None:
        """Publishes a change of one server: one entry for each agent, in their order.

        An agent receives a server's changes in the order in which they happened.
        """
        for agent, entry in zip(self.agents, entries, strict=True):
            delay_s = self.rng.uniform(0.2, 1.0) * self.notice_s + agent.extra_delay_s
            self._update_later(agent, entry, delay_s)

    def _update_later(self, agent: Agent, entry: Entry, delay_s: float) -> None:
        key = agent.number, entry["id"]
        # Timers that are due at the same time may fire in any order.
        earliest = self.receives_at.get(key, 0.0) + MIN_TIME_BETWEEN_CHANGES_S
        self.receives_at[key] = max(self.loop.time() + delay_s, earliest)
        self.loop.call_at(self.receives_at[key], agent.update, entry)
