"""Real ingress processes: starts, configures, monitors and signals them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import signal
import socket
import sys
import tomllib
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from ingress.testbed.deployment import Deployment
from ingress.testbed.loopback_addresses import host
from ingress.testbed.record import Life, Record

ROOT = Path(__file__).resolve().parent.parent.parent
START_TIMEOUT_S = 20.0  # s until an ingress must have answered PING
LAST_LINE_COUNT = 5
COUNTS_TIMEOUT_S = 1.0  # s for a process to log its counts
COUNTS = b" counts "  # precedes the counts in a log line
PLACEMENT_MARKER = ": placement "  # precedes a placement decision in a log line of level debug


class IngressStartError(Exception):
    """An ingress did not start; the message holds its last log lines."""


OPERATOR_CONFIG = """[dialects]
default = "resp2-v1"

[dialects.kinds]
"grid-v2" = "http-v2"
"grid-half" = "resp3-v2"
"""


def run_line(deploy: Path = ROOT / "deploy" / "balancer.toml") -> str:
    """Returns the command that starts an ingress, from the `run` line of `deploy`.

    This program's interpreter replaces the one of .venv where the tree has no .venv.
    """
    command: str = tomllib.loads(deploy.read_text(encoding="utf-8"))["run"]
    if not (ROOT / ".venv" / "bin" / "python").exists():
        command = command.replace(".venv/bin/python", sys.executable)
    return command


def free_ports(host: str, count: int, taken: Collection[int] = ()) -> list[int]:
    """Returns `count` free TCP ports of an address that are not in `taken`.

    All stay bound until the last one is found, since a released port could be returned twice.
    """
    ports: list[int] = []
    with ExitStack() as stack:
        while len(ports) < count:
            server = stack.enter_context(socket.create_server((host, 0)))
            port = server.getsockname()[1]
            if port not in taken:
                ports.append(port)
    return ports


class Ingress:
    """One ingress and its successive processes, which share a name and an address."""

    def __init__(
        self,
        number: int,
        deployment: Deployment,
        record: Record,
        clock: Callable[[], float],
        folder: Path,
        command: str,
        seed: int,
        translates: bool = False,
        dialects: Iterable[str] = (),
    ) -> None:
        """Creates an ingress that is not started yet.

        `translates`: whether it gets an operator configuration with a listener per dialect.
        """
        self.number, self.deployment, self.record, self.clock = number, deployment, record, clock
        self.name, self.command, self.seed, self.starts = f"ingress-{number}", command, seed, 0
        # Its own address, so that no client's ephemeral port can take its port before a restart.
        self.host = host(number + 1)
        names = tuple(dialects)
        self.ports = free_ports(self.host, 1 + len(names))
        port, *dialect_ports = self.ports
        self.address = self.host, port
        self.folder = folder / self.name
        self.folder.mkdir()
        self.log = self.folder / "log.txt"
        self.listeners = {
            name: (self.host, port) for name, port in zip(names, dialect_ports, strict=True)
        }
        if translates:
            path = self.folder / "ingress.toml"
            path.write_text(
                OPERATOR_CONFIG
                + "".join(
                    f'\n[[listener]]\naddress = "{host}:{port}"\ndialect = "{dialect}"\n'
                    for dialect, (host, port) in self.listeners.items()
                ),
                encoding="utf-8",
            )
            self.command += f" --operator {shlex.quote(str(path))}"
        self.process: asyncio.subprocess.Process | None = None
        self.life: Life | None = None
        self.is_up = False  # the process has answered a PING
        self.cpu, self.peak_rss, self.files = 0.0, 0.0, 0
        self.memory: list[tuple[float, float]] = []  # time, resident MB
        self.sampled_cpu = 0.0  # s of the current process that `cpu` already includes
        self.core_wait = 0.0  # s that the current process was runnable but had no core

    def config(
        self, discovery: tuple[str, int], counter: tuple[str, int], known: Mapping[str, Any]
    ) -> Path:
        """Writes the configuration that the ingress reads at its start, and returns its path."""
        d, path = self.deployment, self.folder / "config.json"
        self.starts += 1
        path.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": "{}:{}".format(*self.address),
                    "discovery": "{}:{}".format(*discovery),
                    "counter": "{}:{}".format(*counter),
                    "seed": f"{(self.seed * 1000003 + self.number * 101 + self.starts) & (2**63 - 1):016x}",
                    "limits": {
                        "cores": d.cores_each,
                        "memory_mb": d.memory_mb,
                        "sockets": d.sockets,
                    },
                    "known": known,
                    "settings": d.settings(self.number),
                }
            ),
            encoding="utf-8",
        )
        return path

    async def start(self, config: Path) -> None:
        """Starts a process and waits until it answers PING.  Raises IngressStartError."""
        await self.spawn(config)
        await self._wait_until_up()

    async def spawn(self, config: Path) -> None:
        """Starts a process without waiting until it is up."""
        self.is_up = False
        env = os.environ | {
            "EDGE_CONFIG": str(config),
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": "{}:{}".format(*self.address),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.command,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.life, self.sampled_cpu, self.core_wait = Life(self.number, self.clock()), 0.0, 0.0
        self.record.lives.append(self.life)

    async def _wait_until_up(self) -> None:
        assert self.process is not None
        for _ in range(int(START_TIMEOUT_S / 0.02)):
            if self.process.returncode is not None:
                break
            if await self._pings():
                self.is_up = True
                return
            await asyncio.sleep(0.02)
        raise IngressStartError(
            f"{self.name} at {self.address[0]}:{self.address[1]} did not start:\n"
            + "\n".join(self.last_lines())
        )

    def last_lines(self) -> Sequence[str]:
        with contextlib.suppress(OSError):
            return self.log.read_text(encoding="utf-8", errors="replace").splitlines()[
                -LAST_LINE_COUNT:
            ]
        return ()

    async def _pings(self) -> bool:
        writer = None
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                return await reader.readline() == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def watch(self) -> None:
        """Waits until the process has ended, and records how it ended."""
        assert self.process is not None and self.life is not None
        code = await self.process.wait()
        # SIGKILL records the time when it is sent, as a busy machine reports the exit late.
        self.life.down = min(self.life.down, self.clock())
        if self.life.how in ("", "term"):
            self.life.how = "ended" if self.life.how == "term" and code == 0 else "crashed"

    def signal(self, number: int, how: str | None = None) -> None:
        """Sends a signal to the process; `how` records the expected kind of end."""
        if self.process is not None and self.process.returncode is None and self.life is not None:
            if how is not None:
                self.life.how = how
                if how == "killed":
                    self.life.down = self.clock()
            self.process.send_signal(number)

    def sample(self) -> None:
        """Samples CPU, memory, open files and the time spent waiting for a core."""
        if self.process is None or self.process.returncode is not None:
            return
        folder, now = Path(f"/proc/{self.process.pid}"), self.clock()
        try:
            times = (folder / "schedstat").read_text().split()
            cpu, core_wait = int(times[0]) / 1e9, int(times[1]) / 1e9
            rss = (
                int((folder / "statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
            )
            self.files = len(list((folder / "fd").iterdir()))
        except (OSError, IndexError, ValueError):
            return
        self.cpu += cpu - self.sampled_cpu
        self.peak_rss, self.sampled_cpu = max(self.peak_rss, rss), cpu
        self.memory.append((now, rss))
        if core_wait > self.core_wait:
            self.record.starved.append((now, self.number, core_wait - self.core_wait))
        self.core_wait = core_wait

    def placements(self) -> list[dict[str, Any]]:
        """Returns where its processes placed idempotent requests, if they logged that."""
        rows: list[dict[str, Any]] = []
        with contextlib.suppress(OSError):
            for line in self.log.read_text(encoding="utf-8", errors="replace").splitlines():
                _, is_placement, text = line.partition(PLACEMENT_MARKER)
                if is_placement:
                    rows.append(json.loads(text) | {"ingress": self.number})
        return rows

    async def request_counts(self) -> dict[str, Any]:
        """Requests the process's counts with SIGUSR1 at the end of the run; empty if it logs none.

        Older versions have no handler for the signal and end; that does not count as a crash.
        """
        if self.process is None or self.process.returncode is not None or self.life is None:
            return {}
        self.life.how = self.life.how or "closed"
        self.signal(signal.SIGUSR1)
        for _ in range(int(COUNTS_TIMEOUT_S / 0.02)):
            with contextlib.suppress(OSError, ValueError):
                line = self.log.read_bytes().rpartition(COUNTS)[2]
                if line.endswith(b"\n") and line.startswith(b"{"):
                    counts: dict[str, Any] = json.loads(line.splitlines()[0])
                    return counts
            await asyncio.sleep(0.02)
        return {}

    async def end(self) -> None:
        """Kills the process group, if the process is still running."""
        if self.life is not None and not self.life.how:
            self.life.how = "closed"
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()
