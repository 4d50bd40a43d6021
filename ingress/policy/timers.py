"""Tokens that identify the policy's timers."""

from __future__ import annotations

from typing import Final

TICK_TIMER: Final = 0
"""Triggers reports of use to the counter and drops idle customers."""
DISCOVERY_TIMER: Final = 1
"""Triggers a poll of the endpoint list after a failed poll."""
CONSISTENCY_TIMER: Final = 2
"""Triggers the next addition to a counter key of the consistency check."""
