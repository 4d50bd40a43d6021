"""An ingress on loopback sockets, and a policy that returns scripted actions."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from ingress.application import Application
from ingress.core.clock import Clock
from ingress.platform.config import Config
from ingress.policy.actions import Action, StartAttempt
from ingress.policy.events import Event, RequestReceived


@asynccontextmanager
async def running(application: Application) -> AsyncIterator[list[Any]]:
    """Runs an application; yields the listening addresses of its listeners."""
    task = asyncio.create_task(application.run(asyncio.Event()))
    await application.serving.wait()
    try:
        yield [listener.listening_socket.getsockname() for listener in application.listeners]
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for listener in application.listeners:
            listener.close()
        application.backends.close()


@asynccontextmanager
async def serving(
    settings: Config, clock: Clock | None = None
) -> AsyncIterator[tuple[Application, Any]]:
    """Runs an ingress; yields it and its listening address."""
    ingress = Application(settings, clock)
    async with running(ingress) as [address]:
        yield ingress, address


class ScriptedPolicy:
    """A policy that records its events.

    Args:
        plan: Returns the actions for an event; None for no actions.
    """

    def __init__(self, plan: Any) -> None:
        self.plan = plan
        self.events: list[Event] = []
        self.actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Returns the actions that `plan` returned or appended to `actions`."""
        self.events.append(event)
        self.actions = []
        self.actions += self.plan(event) if self.plan else []
        return self.actions

    def events_of(self, kind: type) -> list[Any]:
        """Returns the recorded events of one type."""
        return [event for event in self.events if isinstance(event, kind)]


def start_attempt(event: Event, backend: str = "s1") -> list[Action]:
    """Returns the actions that forward each new request to the backend; usable as a plan."""
    return [StartAttempt(event.request_id, backend)] if isinstance(event, RequestReceived) else []
