"""A small deployment: ingress processes, their agents, a counter and backends."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ingress.testbed.deployment import Deployment
from review.rig.backends import Backend, Ledger
from review.rig.counter import Counter
from review.rig.discovery import Agent
from review.rig.record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
START_TIMEOUT_S = 25.0
COUNTS = b" counts "
Case = Callable[[Record, bool], Awaitable[list[str]]]


class CouldNotRunError(Exception):
    """The case could not run; this is not a verdict."""


def loopback(number: int) -> str:
    """Returns a loopback address that only this run uses."""
    pid = os.getpid()
    return f"127.{pid % 250 + 1}.{pid // 250 % 250}.{number}"


def free_ports(host: str, count: int) -> list[int]:
    """Returns free TCP ports of an address; all stay bound until the last one is found."""
    with contextlib.ExitStack() as stack:
        servers = [stack.enter_context(socket.create_server((host, 0))) for _ in range(count)]
        return [server.getsockname()[1] for server in servers]


@dataclass
class Ingress:
    """One ingress: its addresses, and its current process."""

    name: str
    listen: tuple[str, int]
    http: tuple[str, int]
    peer: tuple[str, int]
    log: Path
    agent: Agent = field(default_factory=Agent)
    config: Path = Path()
    command: str = ""
    process: asyncio.subprocess.Process | None = None

    def log_bytes(self) -> bytes:
        """Returns all that its processes have logged."""
        return self.log.read_bytes() if self.log.exists() else b""


class Fleet:
    """The processes and stand-ins of a run."""

    def __init__(
        self,
        record: Record,
        deployment: Deployment,
        settings: dict[str, Any] | None = None,
        operator: str = "",
    ) -> None:
        """Creates a fleet.

        `settings` replaces entries of the deployment's settings; `operator` is added to the
        operator's file of each ingress, with the address of its further listener as `{listen}`.
        """
        self.record = record
        self.deployment = deployment
        self.settings = settings or {}
        self.operator = operator
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.ledger = Ledger(record)
        self.counter = Counter()
        self.backends: list[Backend] = []
        self.ingresses: list[Ingress] = []

    def add_ingresses(self, handover: dict[str, object] | None = None) -> None:
        """Creates the ingresses; with `handover`, also their operator's files.

        The files have [handover] with the given settings among all ingresses.
        """
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        for number in range(self.deployment.ingresses):
            host = loopback(number + 1)
            listen, http, peer = ((host, port) for port in free_ports(host, 3))
            name = f"ingress-{number}"
            log = self.folder / f"{name}.log"
            self.ingresses.append(Ingress(name, listen, http, peer, log, command=run))
        if handover is not None:
            self._write_operator_files(handover)

    def _write_operator_files(self, handover: dict[str, object]) -> None:
        keys = self.folder / "members.keys"
        keys.touch(mode=0o600)
        keys.write_text(f"1 {secrets.token_hex(32)}\n", encoding="ascii")
        peers = ", ".join(f'"{i.name}" = "{i.peer[0]}:{i.peer[1]}"' for i in self.ingresses)
        for ingress in self.ingresses:
            rows = [
                "[handover]",
                f'address = "{ingress.peer[0]}:{ingress.peer[1]}"',
                f"peers = {{ {peers} }}",
                'keys = "members.keys"',
                *(f"{key} = {json.dumps(value)}" for key, value in handover.items()),
            ]
            path = self.folder / f"{ingress.name}.toml"
            extra = self.operator.format(listen="{}:{}".format(*ingress.http))
            path.write_text("\n".join(rows) + "\n" + extra, encoding="utf-8")
            ingress.command += f" --operator {shlex.quote(str(path))}"

    async def open_stand_ins(self, dialect: str, kind: str) -> None:
        """Opens backends, counter and agents."""
        for backend in self.backends:
            await backend.open(dialect)
        counter = await self.counter.open(loopback(200))
        for number, ingress in enumerate(self.ingresses):
            for backend in self.backends:
                ingress.agent.update(backend.entry(kind))
            agent = await ingress.agent.open(loopback(200))
            settings = self.deployment.settings(number) | self.settings
            settings["limits"] = settings["limits"] | {"peers": True}
            ingress.config = self.folder / f"{ingress.name}.json"
            ingress.config.write_text(
                json.dumps(
                    {
                        "name": ingress.name,
                        "listen": "{}:{}".format(*ingress.listen),
                        "discovery": "{}:{}".format(*agent),
                        "counter": "{}:{}".format(*counter),
                        "seed": f"{number + 1:016x}",
                        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                        "known": ingress.agent.full_list(),
                        "settings": settings,
                    }
                ),
                encoding="utf-8",
            )

    async def start(self, ingress: Ingress) -> None:
        """Starts a process with the run line of the deploy file; returns once it answers PING."""
        temporary = self.folder / f"tmp-{ingress.name}"
        temporary.mkdir(exist_ok=True)
        environment = os.environ | {
            "EDGE_CONFIG": str(ingress.config),
            "EDGE_NAME": ingress.name,
            "EDGE_LISTEN": "{}:{}".format(*ingress.listen),
            "TMPDIR": str(temporary),
        }
        with ingress.log.open("ab") as log:
            ingress.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                ingress.command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        for _ in range(int(START_TIMEOUT_S / 0.01)):
            if ingress.process.returncode is not None:
                break
            if await self._pings(ingress):
                self.record.write(f"{ingress.name} answers PING")
                return
            await asyncio.sleep(0.01)
        tail = ingress.log_bytes()[-600:].decode("utf-8", "replace")
        raise CouldNotRunError(f"{ingress.name} did not start:\n{tail}")

    async def _pings(self, ingress: Ingress) -> bool:
        writer = None
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(*ingress.listen)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                return await reader.readline() == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def start_all(self) -> None:
        """Starts all ingresses at the same time."""
        await asyncio.gather(*(self.start(ingress) for ingress in self.ingresses))

    async def counts(self, ingress: Ingress) -> dict[str, Any]:
        """Returns the counts that a process logs on SIGUSR1."""
        assert ingress.process is not None
        before = ingress.log_bytes().count(COUNTS)
        ingress.process.send_signal(signal.SIGUSR1)
        for _ in range(200):
            log = ingress.log_bytes()
            if log.count(COUNTS) > before and log.endswith(b"\n"):
                counts: dict[str, Any] = json.loads(log.rpartition(COUNTS)[2].splitlines()[0])
                return counts
            await asyncio.sleep(0.01)
        raise CouldNotRunError(f"{ingress.name} logs no counts")

    async def wait_until_whole(self, numbers: list[int] | None = None) -> None:
        """Waits until the handover of the ingresses is ready: all connected, records complete."""
        for _ in range(200):
            all_counts = [
                (await self.counts(self.ingresses[n]))["handover"]
                for n in (range(len(self.ingresses)) if numbers is None else numbers)
            ]
            if all(c["whole"] and c["there"] == len(self.ingresses) - 1 for c in all_counts):
                return
            await asyncio.sleep(0.1)
        raise CouldNotRunError("handover was not ready within 20 s")

    def kill(self, ingress: Ingress) -> None:
        """Kills a process outright."""
        assert ingress.process is not None
        self.record.write(f"{ingress.name} is killed (SIGKILL)")
        os.killpg(ingress.process.pid, signal.SIGKILL)

    async def close(self) -> None:
        """Ends all processes and removes the folder."""
        for ingress in self.ingresses:
            if ingress.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(ingress.process.pid, signal.SIGKILL)
                await ingress.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case: Case, folder: Path, limit_s: float = 110.0) -> None:
    """Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if it could not run.

    `case` takes the record and whether the disruption happens, and returns the breaches.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write("with the disruption" if trouble else "without the disruption (TROUBLE=0)")

    async def limited() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        breaches = asyncio.run(limited())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        # Any other status would be taken for a verdict.
        record.write(f"could not run: {type(error).__name__}: {error}")
        sys.stderr.write(f"could not run: {type(error).__name__}: {error}\n")
        sys.exit(2)
    for breach in breaches:
        record.write(f"BROKEN: {breach}")
        sys.stdout.write(f"broken: {breach}\n")
    verdict = "the rule was broken" if breaches else "the rule held"
    record.write(verdict)
    sys.stdout.write(f"{verdict}\n")
    sys.exit(1 if breaches else 0)
