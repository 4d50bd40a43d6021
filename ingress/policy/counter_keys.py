"""Keys of the shared counter: integers below 2**63, which every supported counter can store.

A customer's key contains 55 bits of a hash of the customer's name.  Two of n customers collide with
probability n * n / 2**56, which is 1 in 7 million for 100,000 customers.  The key changes each
epoch and repeats after 256 epochs.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Final

EPOCH_S: Final = 30.0
"""Time for which a key is used: half of the longest lifetime that a counter allows."""
KEY_LIFETIME_S: Final = 2 * EPOCH_S
"""Lifetime sent to the counter; every call made within the epoch arrives before it ends."""
EPOCH_BITS: Final = 8

_DIGEST_BYTES: Final = 7
_OFFSETS: Final = 1000


def key_number(text: str) -> int:
    """Returns the 55-bit number that identifies a customer or a consistency check."""
    return int.from_bytes(blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest(), "big") >> 1


def epoch_offset(number: int) -> float:
    """Returns the fraction of an epoch by which the keys of this number change earlier.

    If all keys changed at the same moment, every customer's total would be unknown at once.
    """
    return number % _OFFSETS / _OFFSETS


def counter_key(number: int, now: float) -> tuple[int, float]:
    """Returns the key in use at `now`, in Unix seconds, and the time from which it is used."""
    offset = epoch_offset(number)
    epoch = int(now / EPOCH_S + offset)
    key = number << EPOCH_BITS | epoch & (1 << EPOCH_BITS) - 1
    return key, (epoch - offset) * EPOCH_S
