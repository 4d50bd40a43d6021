"""A replica's transitions for a request about a record, by phase, request kind and holder status.

A replica keeps one record for each submission (customer, request class, idempotency key): its
holder, and whether the holder has written it. An opened attempt may be written at any later time,
because a process may pause between its check and its write. So a HELD record is not granted to
another operation while its holder may be alive. The holder of a SENT or UNCLEAR record writes
nothing more, so such a record may be granted.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final


class Phase(IntEnum):
    """The progress of a submission; the numbers are stored and sent, the names are reported."""

    FREE = 0  # nothing ran; the record only serves to reject delayed requests of its last holder
    HELD = 1  # its holder may write it at any time
    SENT = 2  # its holder has written it; to write it again, the holder needs another grant
    UNCLEAR = 3  # its holder has ended it, and whether it ran is in doubt
    DONE = 4  # it has run, and its response is known


class RequestKind(IntEnum):
    """The kind of a request to replicas. The numbers are sent on the wire."""

    OPEN = 1  # asks for a grant to send the submission
    SENT = 2  # the submission was written
    UNCLEAR = 3  # whether it ran is in doubt; nothing more will be written
    DONE = 4  # it has run; the request carries the response
    RELEASE = 5  # gives the grant back: nothing ran under it


class HolderStatus(IntEnum):
    """The status of a record's holder, as seen by the replica that received a request."""

    REQUESTER = 0  # the operation that the request is about
    ALIVE = 1
    SUSPECT = 2  # no recent message: dead, partitioned or paused
    RESTARTED = 3  # replaced by a later process of its name: it writes nothing more


class Transition(IntEnum):
    """The action of the replica, and its reply."""

    GRANT = 1  # the requester holds the record from now on
    REPORT_BUSY = 2  # another instance holds it
    REPORT_RESPONSE = 3  # replies with the stored response
    ADVANCE = 4  # the record enters the phase of the request
    ROLL_BACK = 5  # restores the phase and holder from before the grant
    KEEP = 6  # a repeated request: nothing changes
    REJECT_STALE = 7  # the requester no longer holds it
    REPORT_FROZEN = 8  # its holder is suspect and may still write


_NOT_REQUESTER: Final = (HolderStatus.ALIVE, HolderStatus.SUSPECT, HolderStatus.RESTARTED)
TRANSITIONS: Final[dict[tuple[Phase, RequestKind, HolderStatus], Transition]] = {
    # Except by OPEN, only its holder changes an existing record.
    **{
        (phase, kind, status): Transition.REJECT_STALE
        for phase in Phase
        for kind in RequestKind
        if kind is not RequestKind.OPEN
        for status in _NOT_REQUESTER
    },
    **{(Phase.FREE, RequestKind.OPEN, status): Transition.GRANT for status in _NOT_REQUESTER},
    (Phase.HELD, RequestKind.OPEN, HolderStatus.ALIVE): Transition.REPORT_BUSY,
    (Phase.HELD, RequestKind.OPEN, HolderStatus.RESTARTED): Transition.GRANT,
    (Phase.HELD, RequestKind.OPEN, HolderStatus.SUSPECT): Transition.REPORT_FROZEN,
    (Phase.SENT, RequestKind.OPEN, HolderStatus.ALIVE): Transition.REPORT_BUSY,
    (Phase.SENT, RequestKind.OPEN, HolderStatus.SUSPECT): Transition.GRANT,
    (Phase.SENT, RequestKind.OPEN, HolderStatus.RESTARTED): Transition.GRANT,
    **{(Phase.UNCLEAR, RequestKind.OPEN, status): Transition.GRANT for status in _NOT_REQUESTER},
    **{
        (Phase.DONE, RequestKind.OPEN, status): Transition.REPORT_RESPONSE
        for status in HolderStatus
    },
    # Requests of the holder, which may be duplicated or late.
    (Phase.FREE, RequestKind.OPEN, HolderStatus.REQUESTER): Transition.REJECT_STALE,
    (Phase.HELD, RequestKind.OPEN, HolderStatus.REQUESTER): Transition.KEEP,
    (Phase.SENT, RequestKind.OPEN, HolderStatus.REQUESTER): Transition.KEEP,
    (Phase.UNCLEAR, RequestKind.OPEN, HolderStatus.REQUESTER): Transition.REJECT_STALE,
    (Phase.HELD, RequestKind.SENT, HolderStatus.REQUESTER): Transition.ADVANCE,
    (Phase.HELD, RequestKind.UNCLEAR, HolderStatus.REQUESTER): Transition.ADVANCE,
    (Phase.HELD, RequestKind.DONE, HolderStatus.REQUESTER): Transition.ADVANCE,
    (Phase.HELD, RequestKind.RELEASE, HolderStatus.REQUESTER): Transition.ROLL_BACK,
    (Phase.SENT, RequestKind.SENT, HolderStatus.REQUESTER): Transition.KEEP,
    (Phase.SENT, RequestKind.UNCLEAR, HolderStatus.REQUESTER): Transition.ADVANCE,
    (Phase.SENT, RequestKind.DONE, HolderStatus.REQUESTER): Transition.ADVANCE,
    (Phase.SENT, RequestKind.RELEASE, HolderStatus.REQUESTER): Transition.ROLL_BACK,
    (Phase.UNCLEAR, RequestKind.SENT, HolderStatus.REQUESTER): Transition.KEEP,
    (Phase.UNCLEAR, RequestKind.UNCLEAR, HolderStatus.REQUESTER): Transition.KEEP,
    (Phase.UNCLEAR, RequestKind.DONE, HolderStatus.REQUESTER): Transition.ADVANCE,
    (Phase.UNCLEAR, RequestKind.RELEASE, HolderStatus.REQUESTER): Transition.KEEP,
    **{
        (phase, kind, HolderStatus.REQUESTER): Transition.KEEP
        for phase in (Phase.DONE, Phase.FREE)
        for kind in RequestKind
        if kind is not RequestKind.OPEN
    },
}
PHASE_AFTER: Final = {
    RequestKind.SENT: Phase.SENT,
    RequestKind.UNCLEAR: Phase.UNCLEAR,
    RequestKind.DONE: Phase.DONE,
}
"""The phase of a record after it advanced, by request kind."""
