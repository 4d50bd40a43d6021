"""Ingresses with handover, and a link of the testbed on the path between each two of them."""

from __future__ import annotations

import secrets
import shlex
from collections.abc import Iterable
from pathlib import Path

from ingress.testbed.ingresses import Ingress, free_ports
from ingress.testbed.links import Link
from ingress.testbed.world import World


class HandoverLinks:
    """Gives each ingress an operator configuration with [handover]; create it before they start."""

    def __init__(
        self, world: World, folder: Path, stores: bool = False, **settings: float | bool
    ) -> None:
        self.ingresses: list[Ingress] = world.ingresses
        world.record.hands_over = True
        self.folder, self.stores, self.settings = folder, stores, settings
        self.real = [(i.host, free_ports(i.host, 1, i.ports)[0]) for i in self.ingresses]
        self.links = {
            (a, b): Link(world.clock, {})
            for a in range(len(self.real))
            for b in range(len(self.real))
            if a != b
        }

    async def open(self) -> None:
        keys = self.folder / "crew-keys"
        keys.touch(mode=0o600)
        keys.write_text(f"1 {secrets.token_hex(32)}\n", encoding="ascii")
        linked = {pair: await link.open(self.real[pair[1]]) for pair, link in self.links.items()}
        for n, ingress in enumerate(self.ingresses):
            addresses = {
                other.name: self.real[n] if m == n else linked[n, m]
                for m, other in enumerate(self.ingresses)
            }
            peers = ", ".join(
                f'"{name}" = "{host}:{port}"' for name, (host, port) in addresses.items()
            )
            rows = [
                f'address = "{self.real[n][0]}:{self.real[n][1]}"',
                f"peers = {{ {peers} }}",
                'keys = "crew-keys"',
            ]
            rows += [f"{key} = {str(value).lower()}" for key, value in self.settings.items()]
            if self.stores:
                rows.append(f'store = "{self.store(n).name}"')
            path = self.folder / f"crew-{n}.toml"
            path.write_text("[handover]\n" + "\n".join(rows) + "\n", encoding="utf-8")
            ingress.command += f" --operator {shlex.quote(str(path))}"

    def store(self, number: int) -> Path:
        return self.folder / f"store-{number}"

    def partition(self, one: Iterable[int], other: Iterable[int], both: bool = True) -> None:
        """Resets and refuses connections from `one` group to the `other`, and back if `both`."""
        for a in one:
            for b in other:
                if a != b:
                    self.links[a, b].set_mode("cut")
                    if both:
                        self.links[b, a].set_mode("cut")

    def slow(self, ms: float) -> None:
        for link in self.links.values():
            link.set_mode("delay", ms)

    def heal(self) -> None:
        for link in self.links.values():
            link.set_mode("pass")

    def close(self) -> None:
        for link in self.links.values():
            link.close()
