"""The world: starts everything on loopback addresses, plays the faults, and takes it all down again."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Protocol

from ingress.testbed.backend_server import GridServer, KeyMemory, ServerConnection
from ingress.testbed.backend_server_resp3 import Resp3ServerConnection
from ingress.testbed.clients import AFTER_TERM, NOTICE, OLD, Customers
from ingress.testbed.counter import StubCounter
from ingress.testbed.deployment import zone
from ingress.testbed.discovery_server import Agent, EndpointPublisher, Entry
from ingress.testbed.ingresses import Ingress, run_line
from ingress.testbed.links import Link, Side
from ingress.testbed.load_generator import Crowd, processes
from ingress.testbed.record import Record, ServerNotice
from ingress.testbed.scenario import Fault, Scenario
from ingress.testbed.signal_series import SignalSeries, play_crowd

PROBE = 0.05  # s between looks at the machine's own lateness
SAMPLE = 0.25  # s between looks at the ingresses' figures
BECOMES = {"upgrade": "http-v2", "downgrade": OLD, "halfway": "resp3-v2"}
TAIL = 8.0  # s after the last arrival in which all must be over
Progress = Callable[[float, str], None]


class Part(Protocol):
    """A stand-in that can be taken down."""

    def close(self) -> None: ...


class World:
    """One run of a scenario.  `record` holds what was seen; the parts can be looked at while it runs."""

    def __init__(
        self, scenario: Scenario, folder: Path, command: str | None = None, clients: int = 0
    ) -> None:
        """`clients`: the processes that clients are in; 0: as many as the rate asks for, 1: the lab's own."""
        self.scenario, self.deployment = scenario, scenario.deployment
        d, self.loop = scenario.deployment, asyncio.get_running_loop()
        zero = time.monotonic()
        self.clock: Callable[[], float] = lambda: time.monotonic() - zero
        self.unix = time.time() - self.clock()  # what turns the lab's clock into Unix time
        self.record, self.pairs = Record(), dict[int, Side]()
        self.rng = random.Random(f"world {scenario.seed}")
        self.agents = [Agent(n, self._told) for n in range(d.ingresses)]
        self.counter = StubCounter(d.counter_rate, d.counter_parts, self.clock)
        count = clients or processes(d.rate)
        self.customers: Customers | Crowd = (
            Customers(d, self.record, self.clock, scenario.seed, scenario.clients)
            if count == 1
            else Crowd(count, d, self.record, self.clock, zero, scenario.seed, scenario.clients)
        )
        self.keys = {
            "v1": KeyMemory("v1"),
            "v2": KeyMemory("v2"),
        }  # old and new servers share no memory
        self.servers = [
            GridServer(
                f"server-{n}",
                zone(n),
                n // 4,
                self.rng.uniform(0.85, 1.15),
                d,
                self.keys["v1"],
                self.record,
                self.clock,
                self.pairs,
                scenario.seed,
            )
            for n in range(d.servers)
        ]
        for server in self.servers:
            self._become(server, scenario.generations.get(server.name, OLD))
        further = sorted(scenario.clients.keys() - {OLD})
        self.ingresses = [
            Ingress(
                n,
                d,
                self.record,
                self.clock,
                folder,
                command or run_line(),
                scenario.seed,
                scenario.translates(),
                further,
            )
            for n in range(d.ingresses)
        ]
        self.links: dict[str, Link] = {}
        self.addresses: dict[str, tuple[str, int]] = {}  # by link name, where it leads from
        self.states = {s.name: ("ready", 0.0) for s in self.servers}
        self.tasks: set[asyncio.Task[None]] = set()
        self.counts: list[dict[str, Any]] = []  # what each ingress said of itself at the end
        self.faults_done: list[tuple[float, str]] = []
        self.crashes: list[str] = []  # of ingresses
        self.faults: list[str] = []  # of the lab itself: no verdict then
        self.began = 0.0

    # Start and end

    async def open(self) -> None:
        """Starts the stand-ins, then the ingresses.  Raises CantStart or OSError."""
        self.publisher = EndpointPublisher(self.agents, self.deployment.notice, self.rng)
        wanted = {f.target for f in self.scenario.faults if ">" in f.target}
        counter = await self.counter.open(len(self.agents))
        for n, agent in enumerate(self.agents):
            await self._lead(f"ingress-{n}>list", await agent.open(), wanted)
            await self._lead(f"ingress-{n}>counter", counter[n], wanted)
        for server in self.servers:
            await self._listen(server, wanted)
            self.publisher.publish_initial(self._entries(server, "ready", 0.0))
        for ingress in self.ingresses:
            await self._lead(f"clients>{ingress.name}", ingress.address, wanted)
            door = self.customers.doors[ingress.number]
            door.addresses = ingress.listeners | {OLD: self.addresses[f"clients>{ingress.name}"]}
            door.link = self.links.get(f"clients>{ingress.name}")
        await asyncio.gather(*(self.start(ingress) for ingress in self.ingresses))
        for ingress in self.ingresses:
            ingress.sample()
            ingress.cpu = 0.0  # what a first start takes is not the requests'
        self.began = self.clock()
        self._spawn(self._probe())
        self._spawn(self._sample())

    async def _lead(self, name: str, target: tuple[str, int], wanted: set[str]) -> None:
        """The address by which `name` is reached: a link's where the scenario strikes it."""
        if name not in wanted:
            self.addresses[name] = target
            return
        old = self.links.get(name)
        if old is not None:
            old.target = target
            return
        self.links[name] = link = Link(self.clock, self.pairs)
        self.addresses[name] = await link.open(target)

    def _become(self, server: GridServer, dialect: str) -> None:
        """The generation of its next process: half-moved servers share the old ones' memory of keys."""
        server.dialect = dialect
        server.keys = self.keys["v2" if dialect == "http-v2" else "v1"]
        server.kind = {OLD: "small-2c", "resp3-v2": "grid-half", "http-v2": "grid-v2"}[dialect]
        if dialect == "http-v2":
            from ingress.testbed.backend_server_http import (
                HttpServerConnection,
            )  # needs h11, which the old generation does not

            server.make_connection = HttpServerConnection
        else:
            server.make_connection = ServerConnection if dialect == OLD else Resp3ServerConnection

    async def _listen(
        self, server: GridServer, wanted: set[str] | None = None, ports: list[int] | None = None
    ) -> None:
        for n, address in enumerate(await server.open(len(self.ingresses), ports)):
            await self._lead(f"ingress-{n}>{server.name}", address, wanted or set(self.links))

    def write_config(self, ingress: Ingress) -> tuple[Path, Mapping[str, Any]]:
        """Writes an ingress's configuration as things are now; its path, and the list in it."""
        number = ingress.number
        known = self.agents[number].full_list()
        discovery = self.addresses[f"ingress-{number}>list"]
        counter = self.addresses[f"ingress-{number}>counter"]
        return ingress.config(discovery, counter, known), known

    async def start(self, ingress: Ingress) -> None:
        """Starts an ingress, and sends clients to it once it is up."""
        n = ingress.number
        config, known = self.write_config(ingress)
        await ingress.start(config)
        listed = {row["id"]: row["state"] for row in known["servers"]}
        assert ingress.life is not None
        for server in self.servers:
            self.record.told.append(
                ServerNotice(n, server.name, listed.get(server.name, "gone"), ingress.life.up)
            )
        door = self.customers.doors[n]
        door.until = float("inf")
        self._spawn(self._watch(ingress))

    async def _watch(self, ingress: Ingress) -> None:
        await ingress.watch()
        if ingress.life is not None and ingress.life.how == "crashed":
            self.crashes.append(
                f"{ingress.name} ended by itself: " + " | ".join(ingress.last_lines())
            )

    def _spawn(self, body: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(body)
        self.tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.faults.append(f"{type(error).__name__}: {error}")

    async def play(self, progress: Progress | None = None) -> None:
        """Clients come for the scenario's time while its faults strike; then waits until all is over."""
        zero = self.loop.time()
        for fault in self.scenario.faults:
            self._spawn(self._at(zero + fault.at, fault))
        come = self.loop.create_task(self.customers.come(self.scenario.seconds))
        end = zero + self.scenario.seconds + TAIL
        while not come.done() and self.loop.time() < end:
            if progress is not None:
                progress(
                    self.loop.time() - zero,
                    f"{self.customers.tries} tries, {self.customers.open} open",
                )
            await asyncio.wait({come}, timeout=0.5)
        if not come.done():
            come.cancel()
        elif (error := come.exception()) is not None:
            self.faults.append(f"{type(error).__name__}: {error}")
        await asyncio.sleep(0.1)  # what is sent after a final answer would come now

    async def close(self) -> None:
        for ingress in self.ingresses:
            ingress.sample()
        if not self.counts:
            self.counts = [await ingress.told() for ingress in self.ingresses]
            for ingress in self.ingresses:
                self.record.placements += ingress.placements()
        for ingress in self.ingresses:
            await ingress.end()
        self.customers.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        parts: list[Part] = [*self.servers, *self.agents, *self.links.values(), self.counter]
        for part in parts:
            part.close()
        await asyncio.sleep(0)

    async def _probe(self) -> None:
        while True:
            at = self.loop.time() + PROBE
            await asyncio.sleep(PROBE)
            self.record.lags.append((self.clock(), max(0.0, self.loop.time() - at)))

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE)
            for ingress in self.ingresses:
                ingress.sample()

    # Discovery

    def _told(self, ingress: int, server: str, state: str) -> None:
        self.record.told.append(ServerNotice(ingress, server, state, self.clock()))

    def publish(self, server: GridServer, state: str, started: float) -> None:
        """Passes on that a server's state has changed."""
        self.publisher.publish(self._entries(server, state, started))

    def _entries(self, server: GridServer, state: str, started: float) -> list[Entry]:
        """Returns the server's entry in the list of each ingress, and notes its state."""
        self.states[server.name] = state, started
        started_ms = int((started + self.unix) * 1000) if started else 0
        return [
            {
                "id": server.name,
                "addr": "{}:{}".format(*self.addresses[f"{ingress.name}>{server.name}"]),
                "zone": server.zone,
                "kind": server.kind,
                "cell": server.cell,
                "state": state,
                "weight": 1.0,
                "started_ms": started_ms,
            }
            for ingress in self.ingresses
        ]

    # Faults

    async def _at(self, at: float, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, at - self.loop.time()))
        self.faults_done.append((self.clock() - self.began, str(fault)))
        await self._strike(fault)

    async def _strike(self, fault: Fault) -> None:
        number = int(fault.target.rpartition("-")[2]) if fault.target[-1].isdecimal() else -1
        seconds = fault.figures.get("seconds", 0.0)
        match fault.kind:
            case "reload" | "reload_term" | "term_twice" | "term_start" | "report":
                await SignalSeries(self, self.ingresses[number]).play(fault)
            case "idle_clients" | "knocks":
                await play_crowd(self.addresses[f"clients>ingress-{number}"], fault)
            case "kill" | "term" | "pause":
                await self._strike_ingress(fault.kind, self.ingresses[number], seconds)
            case "slow" | "reset" | "silent" | "spoil" | "busy" | "unclear" | "later":
                await self._disturb_server(fault, self.servers[number])
            case "move" | "restart" | "drain" | "upgrade" | "downgrade" | "halfway" | "swap":
                await self._strike_server(fault.kind, self.servers[number], seconds)
            case "delay" | "cut" | "half_close" | "dribble":
                await self._disturb_link(fault, self.links[fault.target])
            case "list_late" | "list_silent" | "list_back":
                struck = self.agents if number < 0 else [self.agents[number]]
                await self._strike_list(fault.kind, struck, seconds)
            case "surge":
                self.customers.surge(fault.target, fault.figures["factor"])
                await asyncio.sleep(seconds)
                self.customers.surge(fault.target, 1.0)
            case "shift":
                self.customers.shift(fault.figures["share"])
            case _:
                await self._strike_counter(fault)

    async def _disturb_server(self, fault: Fault, server: GridServer) -> None:
        if fault.kind == "slow":
            server.slower = fault.figures["factor"]
        else:
            server.fault = fault.kind
        await asyncio.sleep(fault.figures["seconds"])
        if fault.kind == "slow":
            server.slower = 1.0
        else:
            server.fault = ""
        if fault.kind == "silent":
            for make_connection in list(server.connections):
                make_connection.abort()  # what it took while silent is never answered

    async def _disturb_link(self, fault: Fault, link: Link) -> None:
        link.set_mode(fault.kind, fault.figures.get("ms", 0.0))
        await asyncio.sleep(fault.figures["seconds"])
        link.set_mode("pass")

    async def _strike_ingress(self, kind: str, ingress: Ingress, seconds: float) -> None:
        process, life, door = ingress.process, ingress.life, self.customers.doors[ingress.number]
        if process is None or life is None or process.returncode is not None or life.how:
            return  # it is down already, or about to go
        if kind == "pause":
            start = self.clock()
            life.pauses.append((start, float("inf")))
            ingress.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            ingress.signal(signal.SIGCONT)
            # What piled up is worked off first.
            life.pauses[-1] = start, self.clock() + 0.3
            return
        if kind == "kill":
            door.until = self.clock() + NOTICE
            ingress.signal(signal.SIGCONT)
            ingress.signal(signal.SIGKILL, "killed")
            await process.wait()
            await asyncio.sleep(seconds)
        else:
            await self.terminate(ingress)
        await asyncio.sleep(0)
        await self.start(ingress)

    async def terminate(self, ingress: Ingress, *before: signal.Signals) -> None:
        """Sends SIGTERM, behind other signals, and waits for the end."""
        self.customers.doors[ingress.number].until = self.clock() + AFTER_TERM
        for number in before:
            ingress.signal(number)
        ingress.signal(signal.SIGTERM, "term")
        await self.wait_or_kill(ingress)

    async def wait_or_kill(self, ingress: Ingress) -> None:
        """Waits for the end after SIGTERM; sends SIGKILL at the earliest that is allowed."""
        process = ingress.process
        life = ingress.life
        assert process is not None
        assert life is not None
        try:
            async with asyncio.timeout(self.deployment.kill_after_s):
                await process.wait()
        except TimeoutError:
            life.killed_late = True
            ingress.signal(signal.SIGKILL)
            await process.wait()

    async def _strike_server(self, kind: str, server: GridServer, seconds: float) -> None:
        if server.closed:
            return  # another fault has it down
        if kind == "move":
            server.stop_listening()
            await self._listen(server)
            state, started = self.states[server.name]
            self.publish(server, state, started)
            return
        ports = server.ports() if kind == "swap" else None
        if kind not in ("restart", "swap"):
            self.publish(server, "draining", self.states[server.name][1])
            await asyncio.sleep(self.deployment.notice + self.deployment.drain_grace + 0.6)
            server.draining = True
            while server.busy or server.queue:
                await asyncio.sleep(0.02)
        server.end()
        self.publish(server, "gone", 0.0)
        await asyncio.sleep(seconds)
        if kind == "swap":
            self._become(server, OLD if server.dialect != OLD else "http-v2")
        elif kind in BECOMES:
            self._become(server, BECOMES[kind])
        await self._listen(server, ports=ports)
        server.begin_cold()
        self.publish(server, "ready", self.clock())

    async def _strike_list(self, kind: str, agents: list[Agent], seconds: float) -> None:
        for agent in agents:
            if kind == "list_late":
                agent.extra_delay_s = seconds
            else:
                agent.set_fault(kind.removeprefix("list_"))
        await asyncio.sleep(seconds)
        for agent in agents:
            agent.extra_delay_s = 0.0
            agent.set_fault("")

    async def _strike_counter(self, fault: Fault) -> None:
        counter, seconds = self.counter, fault.figures.get("seconds", 0.0)
        match fault.kind:
            case "counter_empty" | "counter_older":
                counter.replace(fault.figures.get("back"))
            case "counter_split":
                counter.split()
                await asyncio.sleep(seconds)
                counter.heal()
            case "counter_flap":
                end = self.loop.time() + seconds
                while (left := end - self.loop.time()) > 0:
                    counter.lose()
                    await asyncio.sleep(min(1.0, left))
                    counter.mode = ""
                    await asyncio.sleep(min(1.0, max(0.0, end - self.loop.time())))
            case "counter_lost":
                counter.lose()
                await asyncio.sleep(seconds)
                counter.mode = ""
            case "counter_slow":
                counter.extra = fault.figures["ms"] / 1000
                await asyncio.sleep(seconds)
                counter.extra = 0.0
            case _:
                counter.mode = fault.kind.removeprefix("counter_")
                await asyncio.sleep(seconds)
                counter.mode = ""


@asynccontextmanager
async def standing(
    scenario: Scenario, command: str | None = None, clients: int = 0
) -> AsyncIterator[World]:
    """A world that stands, with its ingresses ready; nothing of it is left behind, whatever happens."""
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        world = World(scenario, Path(folder), command, clients)
        try:
            await world.open()
            yield world
        finally:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.shield(world.close())
