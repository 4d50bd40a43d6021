"""One member's view of the other members."""

from __future__ import annotations

from random import Random

from ingress.membership.member_state import MemberState
from ingress.membership.messages import MemberUpdate


class Member:
    """Another member. Times are in seconds of the caller's clock.

    `max_format` is the newest datagram format that the member understands. While it is SUSPECT,
    `suspected_by` has the names of the members whose own probes of it failed, and it is declared
    dead at `suspicion_ends_at`.
    """

    __slots__ = (
        "address",
        "changed_at",
        "incarnation",
        "max_format",
        "name",
        "state",
        "suspected_by",
        "suspicion_ends_at",
    )

    def __init__(self, update: MemberUpdate, now: float) -> None:
        self.name = update.name
        self.suspected_by: set[str] = set()
        self.suspicion_ends_at = 0.0
        self.apply(update, now)

    def apply(self, update: MemberUpdate, now: float) -> None:
        """Replaces the member's state with that of an update."""
        self.address = (update.host, update.port)
        self.state = MemberState(update.state)
        self.incarnation = update.incarnation
        self.max_format = update.max_format
        self.changed_at = now

    def update_with_state(self, state: MemberState, suspected_by: str = "") -> MemberUpdate:
        """Returns an update that puts the member's current incarnation into `state`."""
        host, port = self.address
        return MemberUpdate(
            self.name, host, port, int(state), self.incarnation, self.max_format, suspected_by
        )


class MemberTable:
    """The members by name, in the order in which they became known.

    The keys of `not_alive` are the names of the members that are not ALIVE, in the order in which
    they left that state.
    """

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.not_alive: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self.members)

    def get(self, name: str) -> Member | None:
        """Returns the member with that name, or None if it is unknown."""
        return self.members.get(name)

    def add(self, update: MemberUpdate, now: float) -> Member:
        """Adds an unknown member, as ALIVE regardless of the update's state, and returns it."""
        member = Member(update, now)
        member.state = MemberState.ALIVE
        self.members[update.name] = member
        return member

    def apply(self, member: Member, update: MemberUpdate, now: float) -> None:
        """Applies an update that supersedes the member's current state."""
        member.apply(update, now)
        if member.state is MemberState.ALIVE:
            self.not_alive.pop(member.name, None)
        else:
            self.not_alive[member.name] = None

    def remove(self, name: str) -> None:
        """Removes a member that is not ALIVE."""
        del self.members[name]
        del self.not_alive[name]

    def reachable(self) -> list[Member]:
        """Returns the members that are ALIVE or SUSPECT."""
        return [member for member in self.members.values() if member.state <= MemberState.SUSPECT]

    def alive(self) -> list[Member]:
        """Returns the members that are ALIVE."""
        return [member for member in self.members.values() if member.state is MemberState.ALIVE]

    def dead(self) -> list[Member]:
        """Returns the members that are DEAD."""
        members = [self.members[name] for name in self.not_alive]
        return [member for member in members if member.state is MemberState.DEAD]

    def not_alive_members(self) -> list[Member]:
        """Returns a new list of the members that are not ALIVE."""
        return [self.members[name] for name in self.not_alive]

    def random_alive(self, rng: Random, count: int, excluded: str = "") -> list[Member]:
        """Returns up to `count` random ALIVE members, without the one named `excluded`."""
        candidates = [member for member in self.alive() if member.name != excluded]
        return rng.sample(candidates, min(count, len(candidates)))
