"""The order in which customers of equal value are rejected, which all gateways compute identically.

If each gateway chose at random, a customer rejected at one gateway would be admitted at the next,
and no load would be shed.  Ranks change over time so that no customer is always rejected first.
Each customer's rank changes at a different moment, so that gateways whose clocks differ disagree
about few customers.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Final

RANK_PERIOD_S: Final = 60.0
"""Time for which a rank is valid."""

_OFFSETS: Final = 1009
_DIGEST_BYTES: Final = 4


def shed_rank(key_number: int, now: float) -> tuple[float, float]:
    """Returns a customer's rank, from 0 (rejected first) up to 1, and the time at which it ends.

    Args:
        key_number: The customer's number from `counter_keys.key_number`.
        now: Unix time in seconds, which is the same on all machines.
    """
    offset = key_number % _OFFSETS / _OFFSETS
    period = int(now / RANK_PERIOD_S + offset)
    digest = blake2b(b"%d %d" % (key_number, period), digest_size=_DIGEST_BYTES).digest()
    rank = int.from_bytes(digest, "big") / 2**32
    return rank, (period + 1 - offset) * RANK_PERIOD_S
