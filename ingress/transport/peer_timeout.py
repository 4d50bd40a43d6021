"""A timeout on a peer that expires only after the event loop has read what the peer has sent."""

from __future__ import annotations

import asyncio
import time
from types import TracebackType
from typing import Final, Self

# For the event loop to read what arrived in the moment in which the timeout expires.
READ_GRACE_S: Final = 0.01
MAX_LATENESS_S: Final = 0.01  # of a timer; beyond, the event loop was held up
# After a hold-up, for a peer to answer what this process could send only then.
RESUME_GRACE_S: Final = 0.05
MAX_EXTENSIONS: Final = 8  # so that a process that is always held up does not wait indefinitely


class PeerTimeout:
    """An asynchronous context manager like `asyncio.timeout`, for waits on a peer.

    The event loop fires timers before it reads from sockets. After the process was held up, a
    plain timeout would therefore expire although the peer has answered in time.

    Args:
        seconds: The time for the peer.

    Raises:
        TimeoutError: The peer has not acted in time.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self.limit = asyncio.timeout(None)
        self.extensions = 0
        self.due_at = 0.0
        self.timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> Self:
        await self.limit.__aenter__()
        self._set_timer(self.seconds)
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self.timer is not None:
            self.timer.cancel()
        await self.limit.__aexit__(exception_type, exception, traceback)

    def _set_timer(self, delay: float) -> None:
        self.due_at = time.monotonic() + delay
        self.timer = asyncio.get_running_loop().call_later(delay, self._on_due)

    def _on_due(self) -> None:
        """Gives the event loop time to read; expires if it has had that time."""
        held_up = time.monotonic() - self.due_at > MAX_LATENESS_S
        if (held_up or not self.extensions) and self.extensions < MAX_EXTENSIONS:
            self.extensions += 1
            self._set_timer(RESUME_GRACE_S if held_up else READ_GRACE_S)
        else:
            self.limit.reschedule(asyncio.get_running_loop().time())
