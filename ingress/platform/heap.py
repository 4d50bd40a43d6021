"""Settings of the C library's heap."""

from __future__ import annotations

import ctypes
import logging
from typing import Final

log = logging.getLogger(__name__)

M_MMAP_THRESHOLD: Final = -3
"""Parameter of `mallopt(3)`: the size from which a block gets memory mapped for it alone."""
MAPPED_BLOCK_BYTES: Final = 16 * 1024


def return_large_blocks() -> None:
    """Makes the C library return each large block to the system as soon as it is released.

    By default the library raises its threshold when a large block is released, and takes further
    ones from the heap. The heap then keeps its greatest size, since a small block above a gap
    prevents it from shrinking.
    """
    try:
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
    except (AttributeError, OSError) as error:  # another C library than glibc
        log.debug("the heap keeps released blocks: %s", error)
