"""What the module decides stays what it was, unless a change means to change it."""

from __future__ import annotations

from collections import Counter

import pytest

from mulleinhall import interface, logic
from tests.staged import Stage

# Taken from the sources of 2026-12-01, with evidence on quotas.  A change that means to
# decide otherwise puts new digests here and says in its commit what the service measure did.
DIGESTS = {
    1: "9717777dd61f2c8a",
    2: "666f919e69746a3f",
    3: "c0a99411f69e0f97",
    4: "e42b01db9fefecdb",
    5: "b63aee4c27559fce",
    6: "959e3e78edcf4c55",
    7: "c586f5bd711ff3a1",
    8: "762818bae63f7333",
    9: "6e5a10eefcbec2e6",
    10: "0a2f99cd6ee6b85b",
    11: "962b7fbb0ac79b62",
    12: "b41996462e2a11d1",
    13: "961acd84450b21fd",
    14: "c555205d8c8e8d7d",
    15: "e0ec0f4b0c67cb2a",
    16: "0afde83217a00150",
}
CAME_ABOUT = (
    "Send",
    "Refuse",
    "Fail",
    "Count",
    "TellPeers",
    "OK",
    "ERROR",
    "FULL",
    "TIMEOUT",
    "CONNECT_FAILED",
    "RESET",
    "CANCELLED",
    "count TIMEOUT",
    "count FULL",
    "drain",
    "gone",
    "restart",
    "new",
)


@pytest.mark.parametrize("seed", DIGESTS)
def test_the_same_troubles_bring_the_same_decisions(seed: int) -> None:
    assert Stage(interface, logic, seed).play()[:16] == DIGESTS[seed]


def test_the_plays_bring_about_what_they_are_for() -> None:
    """Half of the seeds, played anew, so that the test stands alone on its worker."""
    found: Counter[str] = Counter()
    for seed in list(DIGESTS)[::2]:
        stage = Stage(interface, logic, seed)
        stage.play()
        found += stage.seen
    assert [what for what in CAME_ABOUT if not found[what]] == []
