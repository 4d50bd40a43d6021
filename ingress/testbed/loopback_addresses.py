"""Loopback addresses per run, so that no two runs on a machine can take each other's freed ports."""

from __future__ import annotations

import os

# The number of the address for stub servers, discovery, the counter and links; ingresses count from 1.
STUBS = 200


def host(number: int) -> str:
    """Returns a loopback address that only this process uses.

    A peer that keeps connecting to a freed port there reaches nobody, or a stub of the same run, which
    records it.
    """
    pid = os.getpid()
    return f"127.{pid % 250 + 1}.{pid // 250 % 250}.{number}"
