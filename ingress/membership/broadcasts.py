"""Updates piggybacked on the protocol's messages: the dissemination component of SWIM."""

from __future__ import annotations

from dataclasses import dataclass

from ingress.membership.messages import MemberUpdate


@dataclass(slots=True)
class Broadcast:
    """An update, and the number of times it was sent."""

    update: MemberUpdate
    transmissions: int = 0


class BroadcastQueue:
    """The latest update of each member, until it has been sent often enough."""

    def __init__(self) -> None:
        self.broadcasts: dict[str, Broadcast] = {}

    def add(self, update: MemberUpdate) -> None:
        """Queues an update, which replaces an earlier one of the same member."""
        self.broadcasts[update.name] = Broadcast(update)

    def discard(self, name: str) -> None:
        """Drops the update of a member, if there is one."""
        self.broadcasts.pop(name, None)

    def take(self, limit: int, max_transmissions: int) -> list[MemberUpdate]:
        """Returns up to `limit` updates for one message, least-sent first.

        Counts one transmission of each, and drops those that reach `max_transmissions`.
        """
        least_sent_first = sorted(self.broadcasts.values(), key=lambda entry: entry.transmissions)
        chosen = least_sent_first[:limit]
        for broadcast in chosen:
            broadcast.transmissions += 1
            if broadcast.transmissions >= max_transmissions:
                del self.broadcasts[broadcast.update.name]
        return [broadcast.update for broadcast in chosen]
