"""Faults of the soak test: series of signals to an ingress, and crowds of clients."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import TYPE_CHECKING

from ingress.testbed.scenario import Fault

if TYPE_CHECKING:
    from ingress.testbed.ingresses import Ingress
    from ingress.testbed.world import World

RELOAD_TIMEOUT_S = 4.0  # from SIGHUP until the new configuration must be in effect
PING = b"*1\r\n$4\r\nPING\r\n"
CLIENT_TIMEOUT_S = 1.0


class SignalSeries:
    """Injects the faults of one ingress that consist of signals."""

    def __init__(self, world: World, ingress: Ingress) -> None:
        self.world = world
        self.ingress = ingress

    async def inject(self, fault: Fault) -> None:
        """Injects a fault, unless the ingress is not up or is already terminating.

        A process that has no signal handlers yet is terminated by any signal, so it gets none.
        """
        life = self.ingress.life
        if life is None or life.how or not self.ingress.is_up:
            return
        gap_s = fault.figures.get("ms", 0.0) / 1000
        count = int(fault.figures.get("count", 1))
        match fault.kind:
            case "reload":
                await self._reload(count, gap_s)
            case "reload_term":
                await self._move_discovery()
                await self.world.terminate(self.ingress, signal.SIGHUP)
                await self.world.start(self.ingress)
            case "term_twice":
                second = asyncio.create_task(self._terminate_again(gap_s))
                await self.world.terminate(self.ingress)
                await second
                await self.world.start(self.ingress)
            case "term_start":
                await self._terminate_during_start(gap_s)
            case _:
                await self._repeat(signal.SIGUSR1, count, gap_s)

    async def _repeat(self, number: signal.Signals, count: int, gap_s: float) -> None:
        for _ in range(count):
            self.ingress.signal(number)
            await asyncio.sleep(gap_s)

    async def _reload(self, count: int, gap_s: float) -> None:
        """Moves discovery with each SIGHUP, and checks that the last address is polled in time."""
        life = self.ingress.life
        assert life is not None
        port = 0
        for _ in range(count):
            port = await self._move_discovery()
            self.ingress.signal(signal.SIGHUP)
            await asyncio.sleep(gap_s)
        await asyncio.sleep(RELOAD_TIMEOUT_S)
        agent = self.world.agents[self.ingress.number]
        is_same_process = self.ingress.life is life and not life.how
        is_reachable = not agent.fault and f"{self.ingress.name}>list" not in self.world.links
        if is_same_process and not life.pauses and is_reachable and port not in agent.polled_ports:
            self.world.crashes.append(
                f"{self.ingress.name} did not apply the last of {count} configurations"
            )

    async def _move_discovery(self) -> int:
        """Moves the agent to a new address, writes the configuration and returns the new port."""
        name = f"{self.ingress.name}>list"
        address = await self.world.agents[self.ingress.number].open()
        if name in self.world.links:
            self.world.links[name].target = address
        else:
            self.world.addresses[name] = address
        self.world.write_config(self.ingress)
        return address[1]

    async def _terminate_again(self, gap_s: float) -> None:
        process = self.ingress.process
        await asyncio.sleep(gap_s)
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGTERM)

    async def _terminate_during_start(self, gap_s: float) -> None:
        ingress = self.ingress
        assert ingress.process is not None
        self.world.customers.routes[ingress.number].until = self.world.clock()
        ingress.signal(signal.SIGKILL, "killed")
        await ingress.process.wait()
        config, _ = self.world.write_config(ingress)
        await ingress.spawn(config)
        await asyncio.sleep(gap_s)
        assert ingress.life is not None
        ingress.signal(signal.SIGTERM, "closed")
        await self.world.wait_or_kill(ingress)
        ingress.life.down = self.world.clock()
        await self.world.start(ingress)


async def inject_crowd(address: tuple[str, int], fault: Fault) -> None:
    """Connects clients that the invariant checker ignores."""
    if fault.kind == "idle_clients":
        await _stay_idle(address, int(fault.figures["count"]), fault.figures["seconds"])
    else:
        await _ping_repeatedly(address, fault.figures["ms"] / 1000, fault.figures["seconds"])


async def _stay_idle(address: tuple[str, int], count: int, seconds: float) -> None:
    writers: list[asyncio.StreamWriter] = []
    for _ in range(count):
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*address)
                writers.append(writer)
    await asyncio.sleep(seconds)
    for writer in writers:
        writer.close()


async def _ping_repeatedly(address: tuple[str, int], gap_s: float, seconds: float) -> None:
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(PING)
                await reader.readline()
                writer.close()
        await asyncio.sleep(gap_s)
