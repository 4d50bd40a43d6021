"""The running testbed: starts all components on loopback, injects faults and stops everything."""

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
from ingress.testbed.clients import OLD_DIALECT, ROUTE_AFTER_KILL_S, ROUTE_AFTER_TERM_S, Customers
from ingress.testbed.counter import StubCounter
from ingress.testbed.deployment import zone
from ingress.testbed.discovery_server import Agent, EndpointPublisher, Entry
from ingress.testbed.ingresses import Ingress, run_line
from ingress.testbed.links import Link, Side
from ingress.testbed.load_generator import ClientProcesses, process_count
from ingress.testbed.record import Record, Told
from ingress.testbed.scenario import Fault, Scenario
from ingress.testbed.signal_series import SignalSeries, inject_crowd

LAG_PROBE_INTERVAL_S = 0.05  # s between samples of the machine's scheduling delay
SAMPLE_INTERVAL_S = 0.25  # s between samples of the ingresses' CPU and memory
DIALECT_AFTER = {"upgrade": "http-v2", "downgrade": OLD_DIALECT, "halfway": "resp3-v2"}
COMPLETION_TIMEOUT_S = 8.0  # s after the last first attempt for all requests to end
Progress = Callable[[float, str], None]


class Closable(Protocol):
    """A component that can be closed."""

    def close(self) -> None: ...


class World:
    """One run of a scenario; `record` holds the observed traffic."""

    def __init__(
        self, scenario: Scenario, folder: Path, command: str | None = None, clients: int = 0
    ) -> None:
        """Creates the components without starting them.

        `clients`: the number of client processes; 0 derives it from the rate, 1 uses this process.
        """
        self.scenario, self.deployment = scenario, scenario.deployment
        d, self.loop = scenario.deployment, asyncio.get_running_loop()
        zero = time.monotonic()
        self.clock: Callable[[], float] = lambda: time.monotonic() - zero
        self.unix = time.time() - self.clock()  # add to the testbed's clock to get Unix time
        self.record, self.pairs = Record(), dict[int, Side]()
        self.rng = random.Random(f"world {scenario.seed}")
        self.agents = [Agent(n, self._record_published) for n in range(d.ingresses)]
        self.counter = StubCounter(d.counter_rate, d.counter_parts, self.clock)
        count = clients or process_count(d.rate)
        self.customers: Customers | ClientProcesses = (
            Customers(d, self.record, self.clock, scenario.seed, scenario.clients)
            if count == 1
            else ClientProcesses(
                count, d, self.record, self.clock, zero, scenario.seed, scenario.clients
            )
        )
        self.keys = {
            "v1": KeyMemory("v1"),
            "v2": KeyMemory("v2"),
        }  # old and new share no memory of keys
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
            self._set_dialect(server, scenario.generations.get(server.name, OLD_DIALECT))
        new_dialects = sorted(scenario.clients.keys() - {OLD_DIALECT})
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
                new_dialects,
            )
            for n in range(d.ingresses)
        ]
        self.links: dict[str, Link] = {}
        self.addresses: dict[str, tuple[str, int]] = {}  # by link name, the address to connect to
        self.states = {s.name: ("ready", 0.0) for s in self.servers}
        self.tasks: set[asyncio.Task[None]] = set()
        self.counts: list[dict[str, Any]] = []  # the counts that each ingress logged at the end
        self.faults_done: list[tuple[float, str]] = []
        self.crashes: list[str] = []  # of ingresses
        self.faults: list[str] = []  # of the testbed itself, which then gives no verdict
        self.began = 0.0

    # Start and end

    async def open(self) -> None:
        """Starts the simulated components, then the ingresses.  Raises IngressStartError or OSError."""
        self.publisher = EndpointPublisher(self.agents, self.deployment.notice, self.rng)
        linked = {f.target for f in self.scenario.faults if ">" in f.target}
        counter = await self.counter.open(len(self.agents))
        for n, agent in enumerate(self.agents):
            await self._set_address(f"ingress-{n}>list", await agent.open(), linked)
            await self._set_address(f"ingress-{n}>counter", counter[n], linked)
        for server in self.servers:
            await self._listen(server, linked)
            self.publisher.publish_initial(self._entries(server, "ready", 0.0))
        for ingress in self.ingresses:
            await self._set_address(f"clients>{ingress.name}", ingress.address, linked)
            route = self.customers.routes[ingress.number]
            route.addresses = ingress.listeners | {
                OLD_DIALECT: self.addresses[f"clients>{ingress.name}"]
            }
            route.link = self.links.get(f"clients>{ingress.name}")
        await asyncio.gather(*(self.start(ingress) for ingress in self.ingresses))
        for ingress in self.ingresses:
            ingress.sample()
            ingress.cpu = 0.0  # the CPU time of the first start is not part of the requests'
        self.began = self.clock()
        self._start_task(self._probe_lag())
        self._start_task(self._sample())

    async def _set_address(self, name: str, target: tuple[str, int], linked: set[str]) -> None:
        """Sets the address of `name`: a link's if the scenario has faults for it, else `target`."""
        if name not in linked:
            self.addresses[name] = target
            return
        old = self.links.get(name)
        if old is not None:
            old.target = target
            return
        self.links[name] = link = Link(self.clock, self.pairs)
        self.addresses[name] = await link.open(target)

    def _set_dialect(self, server: GridServer, dialect: str) -> None:
        """Sets the dialect of the server's next process.

        Servers of resp3-v2 share the memory of keys with those of the old generation.
        """
        server.dialect = dialect
        server.keys = self.keys["v2" if dialect == "http-v2" else "v1"]
        server.kind = {OLD_DIALECT: "small-2c", "resp3-v2": "grid-half", "http-v2": "grid-v2"}[
            dialect
        ]
        if dialect == "http-v2":
            from ingress.testbed.backend_server_http import (
                HttpServerConnection,
            )  # needs h11, which runs with the old generation alone do not

            server.make_connection = HttpServerConnection
        else:
            server.make_connection = (
                ServerConnection if dialect == OLD_DIALECT else Resp3ServerConnection
            )

    async def _listen(
        self, server: GridServer, linked: set[str] | None = None, ports: list[int] | None = None
    ) -> None:
        for n, address in enumerate(await server.open(len(self.ingresses), ports)):
            await self._set_address(
                f"ingress-{n}>{server.name}", address, linked or set(self.links)
            )

    def write_config(self, ingress: Ingress) -> tuple[Path, Mapping[str, Any]]:
        """Writes an ingress's current configuration; returns its path and its endpoint list."""
        number = ingress.number
        known = self.agents[number].full_list()
        discovery = self.addresses[f"ingress-{number}>list"]
        counter = self.addresses[f"ingress-{number}>counter"]
        return ingress.config(discovery, counter, known), known

    async def start(self, ingress: Ingress) -> None:
        """Starts an ingress, and routes clients to it once it is up."""
        n = ingress.number
        config, known = self.write_config(ingress)
        await ingress.start(config)
        listed = {row["id"]: row["state"] for row in known["servers"]}
        assert ingress.life is not None
        for server in self.servers:
            self.record.told.append(
                Told(n, server.name, listed.get(server.name, "gone"), ingress.life.up)
            )
        route = self.customers.routes[n]
        route.until = float("inf")
        self._start_task(self._watch(ingress))

    async def _watch(self, ingress: Ingress) -> None:
        await ingress.watch()
        if ingress.life is not None and ingress.life.how == "crashed":
            self.crashes.append(
                f"{ingress.name} ended unexpectedly: " + " | ".join(ingress.last_lines())
            )

    def _start_task(self, body: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(body)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.faults.append(f"{type(error).__name__}: {error}")

    async def play(self, progress: Progress | None = None) -> None:
        """Generates load and injects the faults, then waits for all requests to end."""
        zero = self.loop.time()
        for fault in self.scenario.faults:
            self._start_task(self._inject_at(zero + fault.at, fault))
        load = self.loop.create_task(self.customers.generate_load(self.scenario.seconds))
        end = zero + self.scenario.seconds + COMPLETION_TIMEOUT_S
        while not load.done() and self.loop.time() < end:
            if progress is not None:
                progress(
                    self.loop.time() - zero,
                    f"{self.customers.tries} attempts, {self.customers.open} open",
                )
            await asyncio.wait({load}, timeout=0.5)
        if not load.done():
            load.cancel()
        elif (error := load.exception()) is not None:
            self.faults.append(f"{type(error).__name__}: {error}")
        await asyncio.sleep(0.1)  # for bytes that an ingress sends after a final response

    async def close(self) -> None:
        for ingress in self.ingresses:
            ingress.sample()
        if not self.counts:
            self.counts = [await ingress.request_counts() for ingress in self.ingresses]
            for ingress in self.ingresses:
                self.record.placements += ingress.placements()
        for ingress in self.ingresses:
            await ingress.end()
        self.customers.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        components: list[Closable] = [
            *self.servers,
            *self.agents,
            *self.links.values(),
            self.counter,
        ]
        for component in components:
            component.close()
        await asyncio.sleep(0)

    async def _probe_lag(self) -> None:
        while True:
            at = self.loop.time() + LAG_PROBE_INTERVAL_S
            await asyncio.sleep(LAG_PROBE_INTERVAL_S)
            self.record.lags.append((self.clock(), max(0.0, self.loop.time() - at)))

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            for ingress in self.ingresses:
                ingress.sample()

    # Discovery

    def _record_published(self, ingress: int, server: str, state: str) -> None:
        self.record.told.append(Told(ingress, server, state, self.clock()))

    def publish(self, server: GridServer, state: str, started: float) -> None:
        """Publishes a change of a server's state."""
        self.publisher.publish(self._entries(server, state, started))

    def _entries(self, server: GridServer, state: str, started: float) -> list[Entry]:
        """Returns the server's entry in the list of each ingress, and stores its state."""
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

    async def _inject_at(self, at: float, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, at - self.loop.time()))
        self.faults_done.append((self.clock() - self.began, str(fault)))
        await self._inject(fault)

    async def _inject(self, fault: Fault) -> None:
        number = int(fault.target.rpartition("-")[2]) if fault.target[-1].isdecimal() else -1
        seconds = fault.figures.get("seconds", 0.0)
        match fault.kind:
            case "reload" | "reload_term" | "term_twice" | "term_start" | "report":
                await SignalSeries(self, self.ingresses[number]).inject(fault)
            case "idle_clients" | "knocks":
                await inject_crowd(self.addresses[f"clients>ingress-{number}"], fault)
            case "kill" | "term" | "pause":
                await self._inject_ingress_fault(fault.kind, self.ingresses[number], seconds)
            case "slow" | "reset" | "silent" | "spoil" | "busy" | "unclear" | "later":
                await self._degrade_server(fault, self.servers[number])
            case "move" | "restart" | "drain" | "upgrade" | "downgrade" | "halfway" | "swap":
                await self._restart_or_move_server(fault.kind, self.servers[number], seconds)
            case "delay" | "cut" | "half_close" | "dribble":
                await self._degrade_link(fault, self.links[fault.target])
            case "list_late" | "list_silent" | "list_back":
                targets = self.agents if number < 0 else [self.agents[number]]
                await self._inject_list_fault(fault.kind, targets, seconds)
            case "surge":
                self.customers.surge(fault.target, fault.figures["factor"])
                await asyncio.sleep(seconds)
                self.customers.surge(fault.target, 1.0)
            case "shift":
                self.customers.shift(fault.figures["share"])
            case _:
                await self._inject_counter_fault(fault)

    async def _degrade_server(self, fault: Fault, server: GridServer) -> None:
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
                make_connection.abort()  # requests received while silent get no response

    async def _degrade_link(self, fault: Fault, link: Link) -> None:
        link.set_mode(fault.kind, fault.figures.get("ms", 0.0))
        await asyncio.sleep(fault.figures["seconds"])
        link.set_mode("pass")

    async def _inject_ingress_fault(self, kind: str, ingress: Ingress, seconds: float) -> None:
        process, life, route = ingress.process, ingress.life, self.customers.routes[ingress.number]
        if process is None or life is None or process.returncode is not None or life.how:
            return  # it is down or already terminating
        if kind == "pause":
            start = self.clock()
            life.pauses.append((start, float("inf")))
            ingress.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            ingress.signal(signal.SIGCONT)
            # 0.3 s more for the backlog that built up during the pause.
            life.pauses[-1] = start, self.clock() + 0.3
            return
        if kind == "kill":
            route.until = self.clock() + ROUTE_AFTER_KILL_S
            ingress.signal(signal.SIGCONT)
            ingress.signal(signal.SIGKILL, "killed")
            await process.wait()
            await asyncio.sleep(seconds)
        else:
            await self.terminate(ingress)
        await asyncio.sleep(0)
        await self.start(ingress)

    async def terminate(self, ingress: Ingress, *before: signal.Signals) -> None:
        """Sends other signals and then SIGTERM, and waits for the process to end."""
        self.customers.routes[ingress.number].until = self.clock() + ROUTE_AFTER_TERM_S
        for number in before:
            ingress.signal(number)
        ingress.signal(signal.SIGTERM, "term")
        await self.wait_or_kill(ingress)

    async def wait_or_kill(self, ingress: Ingress) -> None:
        """Waits for the end after SIGTERM; sends SIGKILL at the earliest allowed time."""
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

    async def _restart_or_move_server(self, kind: str, server: GridServer, seconds: float) -> None:
        if server.closed:
            return  # another fault has stopped it
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
            self._set_dialect(server, OLD_DIALECT if server.dialect != OLD_DIALECT else "http-v2")
        elif kind in DIALECT_AFTER:
            self._set_dialect(server, DIALECT_AFTER[kind])
        await self._listen(server, ports=ports)
        server.begin_cold()
        self.publish(server, "ready", self.clock())

    async def _inject_list_fault(self, kind: str, agents: list[Agent], seconds: float) -> None:
        for agent in agents:
            if kind == "list_late":
                agent.extra_delay_s = seconds
            else:
                agent.set_fault(kind.removeprefix("list_"))
        await asyncio.sleep(seconds)
        for agent in agents:
            agent.extra_delay_s = 0.0
            agent.set_fault("")

    async def _inject_counter_fault(self, fault: Fault) -> None:
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
                while (remaining := end - self.loop.time()) > 0:
                    counter.lose()
                    await asyncio.sleep(min(1.0, remaining))
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
async def running_world(
    scenario: Scenario, command: str | None = None, clients: int = 0
) -> AsyncIterator[World]:
    """Yields a running testbed whose ingresses are ready, and always stops all of it at the end."""
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        world = World(scenario, Path(folder), command, clients)
        try:
            await world.open()
            yield world
        finally:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.shield(world.close())
