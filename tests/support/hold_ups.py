"""Holds up the event loop, as a machine without free processors or a stopped process does."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable


async def hold_up_between_reads(seconds: float, meanwhile: Callable[[], object]) -> None:
    """Holds up the event loop while it handles what it has read.

    The event loop fires the timers that are due before it reads what `meanwhile` caused to arrive.
    """
    loop = asyncio.get_running_loop()
    ended = loop.create_future()
    reader, writer = socket.socketpair()

    def hold_up() -> None:
        loop.remove_reader(reader)
        meanwhile()
        time.sleep(seconds)
        ended.set_result(None)

    loop.add_reader(reader, hold_up)
    writer.send(b"x")
    await ended
    reader.close()
    writer.close()
