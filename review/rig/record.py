"""The record of a run: what was sent, answered and run, in the order of events."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes one line for each event, with the seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes an event."""
        self.file.write(f"{time.monotonic() - self.started_at:8.3f}  {text}\n")
        self.file.flush()
