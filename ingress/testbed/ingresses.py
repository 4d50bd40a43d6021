"""Real ingress processes: started by the `run` line, told of the stand-ins, watched, and signalled."""

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
READY = 20.0  # s until an ingress must have answered PING
LAST_LINES = 5
TOLD = 1.0  # s for a process to say what it counted
COUNTS = b" counts "
PLACEMENT = ": placement "  # before a decision in the log, which is written at level debug


class CantStart(Exception):
    """An ingress did not come up; the text holds its last words."""


OPERATOR = """[dialects]
default = "resp2-v1"

[dialects.kinds]
"grid-v2" = "http-v2"
"grid-half" = "resp3-v2"
"""


def run_line(deploy: Path = ROOT / "deploy" / "balancer.toml") -> str:
    """The command of one ingress.  Where the folder has no environment of its own, this program's is used."""
    command: str = tomllib.loads(deploy.read_text(encoding="utf-8"))["run"]
    if not (ROOT / ".venv" / "bin" / "python").exists():
        command = command.replace(".venv/bin/python", sys.executable)
    return command


def free_ports(host: str, count: int, taken: Collection[int] = ()) -> list[int]:
    """Returns ports of an address that nobody listens at, and that are not `taken`.

    All are held until the last is found: one that was let go could be found again.
    """
    found: list[int] = []
    with ExitStack() as stack:
        while len(found) < count:
            server = stack.enter_context(socket.create_server((host, 0)))
            port = server.getsockname()[1]
            if port not in taken:
                found.append(port)
    return found


class Ingress:
    """One ingress through all its processes.  It keeps name and address when it starts again."""

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
        """`translates`: whether it is given an operator's file, with a listener for each of `dialects`."""
        self.number, self.deployment, self.record, self.clock = number, deployment, record, clock
        self.name, self.command, self.seed, self.starts = f"ingress-{number}", command, seed, 0
        # Its own address, so that no client's outgoing port can be the one that it comes back to.
        self.host = host(number + 1)
        names = tuple(dialects)
        self.ports = free_ports(self.host, 1 + len(names))
        port, *further = self.ports
        self.address = self.host, port
        self.folder = folder / self.name
        self.folder.mkdir()
        self.log = self.folder / "log.txt"
        self.listeners = {
            name: (self.host, port) for name, port in zip(names, further, strict=True)
        }
        if translates:
            path = self.folder / "ingress.toml"
            path.write_text(
                OPERATOR
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
        self.cpu, self.most_rss, self.files = 0.0, 0.0, 0
        self.memory: list[tuple[float, float]] = []  # when, and MB resident
        self.seen_cpu = 0.0  # of the process that runs, already in `cpu`
        self.waited = 0.0  # s for which the process that runs stood ready and got no core

    def config(
        self, discovery: tuple[str, int], counter: tuple[str, int], known: Mapping[str, Any]
    ) -> Path:
        """Writes what the ingress is told at its start."""
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
        """Starts a process and waits until it answers PING.  Raises CantStart."""
        await self.spawn(config)
        await self._wait_until_up()

    async def spawn(self, config: Path) -> None:
        """Starts a process."""
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
        self.life, self.seen_cpu, self.waited = Life(self.number, self.clock()), 0.0, 0.0
        self.record.lives.append(self.life)

    async def _wait_until_up(self) -> None:
        assert self.process is not None
        for _ in range(int(READY / 0.02)):
            if self.process.returncode is not None:
                break
            if await self._pings():
                self.is_up = True
                return
            await asyncio.sleep(0.02)
        raise CantStart(
            f"{self.name} at {self.address[0]}:{self.address[1]} did not come up:\n"
            + "\n".join(self.last_lines())
        )

    def last_lines(self) -> Sequence[str]:
        with contextlib.suppress(OSError):
            return self.log.read_text(encoding="utf-8", errors="replace").splitlines()[-LAST_LINES:]
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
        """Returns when the process has gone, and notes how."""
        assert self.process is not None and self.life is not None
        code = await self.process.wait()
        # A kill was noted as it was sent: a busy machine tells of the end late.
        self.life.down = min(self.life.down, self.clock())
        if self.life.how in ("", "term"):
            self.life.how = "ended" if self.life.how == "term" and code == 0 else "crashed"

    def signal(self, number: int, how: str | None = None) -> None:
        """Sends a signal to the process that the run line became."""
        if self.process is not None and self.process.returncode is None and self.life is not None:
            if how is not None:
                self.life.how = how
                if how == "killed":
                    self.life.down = self.clock()
            self.process.send_signal(number)

    def sample(self) -> None:
        """Reads CPU, memory, files and the time for which it waited for a core."""
        if self.process is None or self.process.returncode is not None:
            return
        folder, now = Path(f"/proc/{self.process.pid}"), self.clock()
        try:
            times = (folder / "schedstat").read_text().split()
            cpu, waited = int(times[0]) / 1e9, int(times[1]) / 1e9
            rss = (
                int((folder / "statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
            )
            self.files = len(list((folder / "fd").iterdir()))
        except (OSError, IndexError, ValueError):
            return
        self.cpu += cpu - self.seen_cpu
        self.most_rss, self.seen_cpu = max(self.most_rss, rss), cpu
        self.memory.append((now, rss))
        if waited > self.waited:
            self.record.starved.append((now, self.number, waited - self.waited))
        self.waited = waited

    def placements(self) -> list[dict[str, Any]]:
        """Where its processes placed idempotent requests, if they logged that."""
        found: list[dict[str, Any]] = []
        with contextlib.suppress(OSError):
            for line in self.log.read_text(encoding="utf-8", errors="replace").splitlines():
                _, is_placement, text = line.partition(PLACEMENT)
                if is_placement:
                    found.append(json.loads(text) | {"ingress": self.number})
        return found

    async def told(self) -> dict[str, Any]:
        """What the process says of itself when it is asked by a signal at the run's end; nothing if it does
        not.  An older one knows no such signal, and ends by it: that is no crash."""
        if self.process is None or self.process.returncode is not None or self.life is None:
            return {}
        self.life.how = self.life.how or "closed"
        self.signal(signal.SIGUSR1)
        for _ in range(int(TOLD / 0.02)):
            with contextlib.suppress(OSError, ValueError):
                line = self.log.read_bytes().rpartition(COUNTS)[2]
                if line.endswith(b"\n") and line.startswith(b"{"):
                    counts: dict[str, Any] = json.loads(line.splitlines()[0])
                    return counts
            await asyncio.sleep(0.02)
        return {}

    async def end(self) -> None:
        """Ends the process, if there is one, whatever it does."""
        if self.life is not None and not self.life.how:
            self.life.how = "closed"
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()
