"""Discovery's stand-in: the fleet's list, and an agent at each ingress that tells it by long polls."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from ingress.testbed.loopback_addresses import STAND_INS, host

Row = dict[str, Any]
LONGEST_WAIT = 60.0  # s of a watch
LONGEST_HEAD = 8192  # bytes of a request
CHANGES_APART = 0.005  # s between two changes of one server, as an agent hears of them


class Agent:
    """What one ingress is told.  `mode`: "" or silent, back; `late` is added to each change's way."""

    def __init__(
        self, number: int, clock: Callable[[], float], told: Callable[[int, str, str], None]
    ) -> None:
        self.number, self.clock, self.told = number, clock, told
        self.version, self.rows = 1, dict[str, Row]()
        self.changed: dict[str, int] = {}  # the version in which a server's entry last changed
        self.first: list[Row] = []  # the list as it was at first: what goes back goes back to that
        self.mode, self.late = "", 0.0
        self.news = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def open(self) -> tuple[str, int]:
        self.server = await asyncio.start_server(
            self._serve, host(STAND_INS), 0, limit=LONGEST_HEAD
        )
        address: tuple[str, int] = self.server.sockets[0].getsockname()
        return address

    def learn(self, row: Row) -> None:
        """An entry as the ingress would be told it from now on."""
        self.version += 1
        self.rows[row["id"]] = row
        self.changed[row["id"]] = self.version
        self.news.set()
        self.news = asyncio.Event()

    def known(self) -> Row:
        """The whole list, as an ingress that starts is given it."""
        return {
            "version": self.version,
            "full": True,
            "servers": [r for r in self.rows.values() if r["state"] != "gone"],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, target, *_ = head.split(" ", 2)
                url = urlsplit(target)
                if method != "GET" or url.path != "/api/targets":
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                body = await self._answer(parse_qs(url.query))
                while self.mode == "silent":
                    await self.news.wait()
                text = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(text), text)
                )
                for row in body["servers"]:
                    self.told(self.number, row["id"], row["state"])
                if body["full"]:
                    for name in self.rows.keys() - {row["id"] for row in body["servers"]}:
                        self.told(self.number, name, "gone")
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ValueError,
            asyncio.CancelledError,
        ):
            pass  # the ingress went away, what it sent is no request, or the run is over
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _answer(self, query: dict[str, list[str]]) -> Row:
        after = int(query.get("after", ["-1"])[0])
        wait = min(LONGEST_WAIT, int(query.get("wait_ms", ["0"])[0]) / 1000)
        if self.mode == "back":
            if after != self.version + 1:
                return {"version": self.version + 1, "full": True, "servers": self.first}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), wait)
            return {"version": after, "full": False, "servers": []}
        if after < 0:
            return self.known()
        until = asyncio.get_running_loop().time() + wait
        while after == self.version and (left := until - asyncio.get_running_loop().time()) > 0:
            try:
                await asyncio.wait_for(self.news.wait(), left)
            except TimeoutError:
                break
        if after > self.version:
            return self.known()  # it was told of an older list as a newer one
        rows = [row for name, row in self.rows.items() if self.changed[name] > after]
        return {"version": self.version, "full": False, "servers": rows}

    def strike(self, mode: str) -> None:
        self.mode = mode
        self.news.set()
        self.news = asyncio.Event()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()


class Roster:
    """The fleet's own list; each agent is told of a change after a way of its own."""

    def __init__(self, agents: list[Agent], notice: float, rng: random.Random) -> None:
        self.agents, self.notice, self.rng = agents, notice, rng
        self.loop = asyncio.get_running_loop()
        # When each agent hears of the latest change of a server, by the agent's number and the id.
        self.heard_at: dict[tuple[int, str], float] = {}

    def tell(self, rows: list[Row], at_once: bool = False) -> None:
        """`rows`: one server's entry for each agent, in their order.

        An agent hears of a server's changes in the order in which they happened.
        """
        for agent, row in zip(self.agents, rows, strict=True):
            if at_once:
                agent.learn(row)
                agent.first.append(row)
            else:
                wait = self.rng.uniform(0.2, 1.0) * self.notice + agent.late
                self._tell_later(agent, row, wait)

    def _tell_later(self, agent: Agent, row: Row, wait: float) -> None:
        key = agent.number, row["id"]
        # Timers for one moment may fire in any order.
        earliest = self.heard_at.get(key, 0.0) + CHANGES_APART
        self.heard_at[key] = max(self.loop.time() + wait, earliest)
        self.loop.call_at(self.heard_at[key], agent.learn, row)
