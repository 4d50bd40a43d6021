"""Collects the actions that one event triggers in all components of the policy."""

from __future__ import annotations

from ingress.policy.actions import Action


class PendingActions:
    """A list of actions that the components of one gateway share."""

    def __init__(self) -> None:
        self.actions: list[Action] = []

    def restart(self) -> list[Action]:
        """Starts and returns a new list; the receiver of the previous list keeps it."""
        self.actions = []
        return self.actions

    def append(self, action: Action) -> None:
        """Appends an action to those that the event has triggered so far."""
        self.actions.append(action)
