"""One instance as a process of its own, with limits on memory and descriptors."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.peers import SETTINGS, Address, Caller, config_text, entry, resp

ROOT = Path(__file__).resolve().parents[2]
LEAST_MEMORY_MB = 32
DESCRIPTORS = 1024
BACKENDS_IN_LIST = 8
OPERATOR_FILE = """
[[listener]]
address = "{resp3}"
dialect = "resp3-v2"

[[listener]]
address = "{http}"
dialect = "http-v2"
"""


@dataclass(slots=True)
class Instance:
    """A running instance.

    Attributes:
        process: The process.
        addresses: The address of each listener: RESP2, then any for RESP3 and HTTP.
    """

    process: subprocess.Popen[bytes]
    addresses: list[Address]

    def anonymous_memory_mb(self) -> float:
        """Returns the process's anonymous memory; files that it maps are shared and not counted."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        [line] = [line for line in status.splitlines() if line.startswith("RssAnon:")]
        return int(line.split()[1]) / 1024


def free_addresses(count: int) -> list[Address]:
    """Returns addresses with ports that are free now."""
    servers = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses: list[Address] = [server.getsockname() for server in servers]
    for server in servers:
        server.close()
    return addresses


def _limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def _start(arguments: list[str], config_path: Path, log_path: Path) -> subprocess.Popen[bytes]:
    with log_path.open("wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "ingress", *arguments],
            cwd=ROOT,
            env=os.environ | {"EDGE_CONFIG": str(config_path)},
            stderr=log,
            preexec_fn=_limit_descriptors,  # noqa: PLW1509 - the test process has one thread here
        )


@asynccontextmanager
async def limited_instance(
    backend_address: Address,
    directory: Path,
    all_listeners: bool,
    settings: dict[str, Any] = SETTINGS,
) -> AsyncIterator[Instance]:
    """Runs an instance with the least memory and 1024 descriptors.

    Args:
        backend_address: The address of all backends of its endpoint list.
        directory: An empty directory for its files.
        all_listeners: Whether it listens for RESP3 and HTTP clients too.
        settings: The policy's settings.
    """
    addresses = free_addresses(3 if all_listeners else 1)
    texts = [f"{host}:{port}" for host, port in addresses]
    arguments = []
    if all_listeners:
        operator = directory / "operator.toml"
        operator.write_text(OPERATOR_FILE.format(resp3=texts[1], http=texts[2]), encoding="utf-8")
        arguments = ["--operator", str(operator)]
    limits = {"cores": 1.0, "memory_mb": LEAST_MEMORY_MB, "sockets": DESCRIPTORS}
    entries = (entry(backend_address, f"s{number}") for number in range(BACKENDS_IN_LIST))
    path = directory / "config.json"
    text = config_text(*entries, listen=texts[0], limits=limits, settings=settings)
    path.write_text(text, encoding="utf-8")
    process = _start(arguments, path, directory / "log")
    try:
        await wait_until_ready(addresses[0])
        yield Instance(process, addresses)
    finally:
        process.kill()
        process.wait()


async def wait_until_ready(address: Address) -> None:
    """Waits until an instance answers PING at an address."""
    while True:
        try:
            caller = await Caller.connect(address)
            break
        except ConnectionError:
            await asyncio.sleep(0.01)
    assert await caller.request(resp(b"PING")) == b"PONG"
    caller.writer.close()
