"""Watches a discovery agent, and switches to another one."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

from ingress.platform.config import Address, Config
from ingress.platform.drain_tracker import DrainTracker
from ingress.platform.endpoint_discovery import EndpointDiscovery, EndpointList
from ingress.platform.watch_backoff import WatchBackoff
from ingress.policy.events import EndpointListKind


class DiscoveryWatch:
    """Watches one agent at a time, and two while it switches between them.

    The last watch that was answered continues until its replacement is answered: otherwise a drain
    that the old agent reports while the new one is silent would be missed.

    Args:
        config: Provides the seed, the settings and the initial endpoint list.
        on_list: Called with each complete list, and with each update that is not empty.
    """

    def __init__(
        self, config: Config, on_list: Callable[[EndpointListKind, EndpointList], None]
    ) -> None:
        self.seed = config.seed
        self.drain_grace = None if config.settings.discovery_polled else config.settings.drain_grace
        self.initial_endpoints = config.initial_endpoints
        self.on_list = on_list
        self.drains = DrainTracker()
        self.current: asyncio.Task[None] | None = None
        self.previous: asyncio.Task[None] | None = None  # continues until `current` is answered
        self.answered = False  # whether the agent has answered `current`
        self.first_call_ended = asyncio.Event()

    def start(self, address: Address) -> None:
        """Starts a watch on the agent at `address`, which replaces the current watch.

        The first watch continues from the initial endpoint list; later watches begin with the
        complete list.
        """
        version = None
        if self.current is None and self.initial_endpoints.backends:
            version = self.initial_endpoints.version
        if self.current is not None:
            if self.answered:
                self._cancel_previous()
                self.previous = self.current
            else:
                self.current.cancel()
        self.answered = False
        backoff = WatchBackoff(Random(self.seed), self.drain_grace)
        discovery = EndpointDiscovery(
            address, self.on_list, backoff, version, self.drains, self._call_ended
        )
        self.current = asyncio.get_running_loop().create_task(discovery.run())

    async def stop(self) -> None:
        """Cancels the watches and waits until they have ended."""
        for task in filter(None, (self.current, self.previous)):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def _call_ended(self, answered: bool) -> None:
        self.first_call_ended.set()
        if answered and not self.answered and asyncio.current_task() is self.current:
            self.answered = True
            self._cancel_previous()

    def _cancel_previous(self) -> None:
        if self.previous is not None:
            self.previous.cancel()
            self.previous = None
