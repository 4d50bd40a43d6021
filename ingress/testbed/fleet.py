"""Ingresses that gossip, and the testbed's datagram paths between them."""

from __future__ import annotations

import secrets
import shlex
import socket
from contextlib import ExitStack
from pathlib import Path

from ingress.testbed.datagram_links import Address, Paths
from ingress.testbed.ingresses import Ingress
from ingress.testbed.loopback_addresses import host

SEED_COUNT = 3


def free_datagram_ports(count: int) -> list[Address]:
    """Returns free UDP addresses, one per instance; all stay bound until the last one is found."""
    addresses: list[Address] = []
    with ExitStack() as stack:
        for number in range(count):
            sock = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            sock.bind((host(number + 1), 0))
            addresses.append(sock.getsockname()[:2])
    return addresses


class Fleet:
    """Gives each ingress an operator configuration with [members]; create it before they start."""

    def __init__(
        self, ingresses: list[Ingress], folder: Path, seed: int, period: float = 0.2
    ) -> None:
        self.ingresses, self.folder, self.period = ingresses, folder, period
        self.paths = Paths(free_datagram_ports(len(ingresses)), seed)

    async def open(self) -> None:
        await self.paths.open()
        keys = self.folder / "keys"
        keys.touch(mode=0o600)
        keys.write_text(f"1 {secrets.token_hex(32)}\n", encoding="ascii")
        for ingress in self.ingresses:
            path = self.folder / f"members-{ingress.number}.toml"
            path.write_text(self.members_table(ingress.number), encoding="utf-8")
            ingress.command += f" --operator {shlex.quote(str(path))}"

    def members_table(self, number: int) -> str:
        """Returns the [members] table of one ingress."""
        seeds = ", ".join(f'"{h}:{p}"' for h, p in self.paths.addresses[:SEED_COUNT])
        (bind, port), (path_host, path_port) = (
            self.paths.real[number],
            self.paths.addresses[number],
        )
        return (
            f'[members]\naddress = "{bind}:{port}"\nadvertise = "{path_host}:{path_port}"\nseeds = [{seeds}]\n'
            f'keys = "keys"\nperiod_s = {self.period}\n'
        )

    def close(self) -> None:
        self.paths.close()
