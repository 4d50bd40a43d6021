"""The member states, and a table of the updates that supersede a state.

Updates arrive repeatedly, late and in any order. Whether an update is applied depends only on the
two states and the two incarnations, so that all members that received the same updates have the
same state. A process that restarts under its name has a higher incarnation than all earlier ones.
"""

from __future__ import annotations

from enum import IntEnum
from operator import ge, gt
from typing import Final


class MemberState(IntEnum):
    """State of a member; the values are sent on the wire.

    A member is DEAD if it did not refute a suspicion in time, and LEFT if it shut down gracefully.
    Both states end an incarnation.
    """

    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


# For (current, received) states: the comparison that the received incarnation must satisfy against
# the current one. SWIM, section 4.2, with LEFT added.
PRECEDENCE: Final = {
    (MemberState.ALIVE, MemberState.ALIVE): gt,
    (MemberState.ALIVE, MemberState.SUSPECT): ge,
    (MemberState.ALIVE, MemberState.DEAD): ge,
    (MemberState.ALIVE, MemberState.LEFT): ge,
    (MemberState.SUSPECT, MemberState.ALIVE): gt,
    (MemberState.SUSPECT, MemberState.SUSPECT): gt,
    (MemberState.SUSPECT, MemberState.DEAD): ge,
    (MemberState.SUSPECT, MemberState.LEFT): ge,
    (MemberState.DEAD, MemberState.ALIVE): gt,
    (MemberState.DEAD, MemberState.SUSPECT): gt,
    (MemberState.DEAD, MemberState.DEAD): gt,
    (MemberState.DEAD, MemberState.LEFT): ge,
    (MemberState.LEFT, MemberState.ALIVE): gt,
    (MemberState.LEFT, MemberState.SUSPECT): gt,
    (MemberState.LEFT, MemberState.DEAD): gt,
    (MemberState.LEFT, MemberState.LEFT): gt,
}


def supersedes(
    received: MemberState,
    received_incarnation: int,
    current: MemberState,
    current_incarnation: int,
) -> bool:
    """Returns whether a received state replaces the current one."""
    compare = PRECEDENCE[current, received]
    result: bool = compare(received_incarnation, current_incarnation)
    return result
