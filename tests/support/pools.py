"""A pool of connections to scripted backends that records the reported outcomes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ingress.core.clock import unix_clock
from ingress.core.ports import Attempt
from ingress.policy.events import Backend, Outcome
from ingress.resp.backend_protocol import RespBackendProtocol
from ingress.resp.command_decoder import Command
from ingress.transport.backend_pool import BackendPool
from tests.peers import Address, until

READ_COMMAND = b"API.READ", b"c7", b"r1", b"c=read,d=2000,t=basic,x=9"


def make_command(*words: bytes) -> Command:
    """Returns a call that is encoded as this command."""
    return Command(list(words), "c7", "read", "basic", 2.0, 1.0, 1, 0, False, False, "")


class PoolHarness:
    """A pool under test that records the reported outcomes.

    The backends are named s0, s1 and so on, in the order of their addresses.

    Attributes:
        outcomes: Number, outcome and value of each ended attempt, in order.
        clock_offset: Seconds by which the pool's clock is ahead of the real one.
    """

    def __init__(
        self,
        *addresses: Address,
        max_connections: int = 8,
        connect_timeout: float = 0.25,
        idle_timeout: float = 15.0,
    ) -> None:
        self.outcomes: list[tuple[int, Outcome, bytes | None]] = []
        self.clock_offset = 0.0
        self.attempt_count = 0
        clock = unix_clock()
        self.pool = BackendPool(
            RespBackendProtocol,
            max_connections,
            3 << 20,
            connect_timeout,
            idle_timeout,
            1.0,
            lambda: clock() + self.clock_offset,
            self.record_outcome,
        )
        self.update(*((Backend(f"s{number}"), address) for number, address in enumerate(addresses)))

    def update(self, *entries: tuple[Backend, Address], full: bool = True) -> None:
        """Passes these backends to the pool, as a full list or as changes."""
        backends = tuple(backend for backend, _ in entries)
        self.pool.update_endpoints(
            full, backends, {backend.id: address for backend, address in entries}
        )

    def record_outcome(
        self, attempt: Attempt, outcome: Outcome, answer: bytes | None, load: Mapping[str, float]
    ) -> None:
        """Records an outcome that the pool reports."""
        self.outcomes.append((attempt.number, outcome, answer))

    def start(
        self, name: str = "s0", wait: float = 5.0, words: tuple[bytes, ...] = READ_COMMAND
    ) -> Attempt:
        """Starts an attempt at a backend, with `wait` seconds until its deadline."""
        now = self.pool.clock()
        attempt = Attempt("r", self.attempt_count, name, now, now + wait, make_command(*words))
        self.attempt_count += 1
        self.pool.start(attempt)
        return attempt

    async def outcome(self, count: int = 1) -> Any:
        """Waits until `count` attempts have ended; returns the outcome and value of the last."""
        await until(lambda: len(self.outcomes) >= count)
        return self.outcomes[count - 1][1:]
