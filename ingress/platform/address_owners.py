"""Finds backends of the endpoint list whose address belongs to a newer process.

A backend that vanishes is reported late, while a new one may start at its address and be reported
at once. Until then two entries name one address, and requests for the old backend would reach the
new one: another group of idempotency keys, and a process that is still warming up.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from ingress.platform.endpoint_discovery import EndpointList
from ingress.policy.events import Backend, Readiness

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class _ListedBackend:
    """A backend of the list, and the address at which it listens."""

    backend: Backend
    address: Address


class AddressOwners:
    """The newest backend at each address.

    Attributes:
        listed: The backends of the list that are not removed, by id.
        owners: The newest of them at each address.
    """

    def __init__(self) -> None:
        self.listed: dict[str, _ListedBackend] = {}
        self.owners: dict[Address, _ListedBackend] = {}

    def apply(self, complete: bool, endpoints: EndpointList) -> EndpointList:
        """Returns the list with each backend removed whose address a newer one has taken.

        Args:
            complete: Whether the list has all backends.
            endpoints: All backends, or those that changed.
        """
        if complete:
            self.listed.clear()
            self.owners.clear()
        entries: dict[str, _ListedBackend] = {}
        for backend in endpoints.backends:
            entry = _ListedBackend(backend, endpoints.addresses[backend.id])
            entries[backend.id] = entry
            replaced = self._apply_entry(entry)
            if replaced is not None:
                entries[replaced.backend.id] = replaced
        return EndpointList(
            endpoints.version,
            endpoints.full,
            tuple(entry.backend for entry in entries.values()),
            {name: entry.address for name, entry in entries.items()},
        )

    def _apply_entry(self, entry: _ListedBackend) -> _ListedBackend | None:
        """Applies one entry; returns the backend that has lost its address, now removed, if any."""
        self._forget(entry.backend.id)
        if entry.backend.readiness is Readiness.REMOVED:
            return None
        self.listed[entry.backend.id] = entry
        owner = self.owners.get(entry.address)
        if owner is None or owner.backend.started_at == entry.backend.started_at:
            self.owners[entry.address] = entry
            return None
        older, newer = sorted((owner, entry), key=lambda either: either.backend.started_at)
        self.owners[entry.address] = newer
        self.listed.pop(older.backend.id, None)
        return replace(older, backend=replace(older.backend, readiness=Readiness.REMOVED))

    def _forget(self, name: str) -> None:
        known = self.listed.pop(name, None)
        if known is not None and self.owners.get(known.address) is known:
            del self.owners[known.address]
