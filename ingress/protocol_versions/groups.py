"""Maps backends that share a deduplication memory to cells of the policy.

The policy identifies deduplication scopes by cell and backends by id. Therefore all backends of one
memory get the same cell number, and a backend that changes its version gets a new id.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ingress.policy.events import Backend, Readiness
from ingress.policy.settings import DeduplicationScope, RequestClass, RetrySemantics, Settings


def policy_settings(settings: Settings) -> Settings:
    """Returns the policy's settings for backends with several deduplication memories.

    The scope of each class with idempotency keys is the cell that `Grouping` assigns.
    """
    return replace(settings, classes=tuple(map(_with_cell_scope, settings.classes)))


def _with_cell_scope(request_class: RequestClass) -> RequestClass:
    """Returns the class with the cell as its scope if it has idempotency keys, else unchanged."""
    if request_class.semantics is not RetrySemantics.IDEMPOTENCY_KEY:
        return request_class
    return replace(request_class, deduplication_scope=DeduplicationScope.CELL)


@dataclass(slots=True)
class Grouping:
    """Translates endpoint lists from discovery into endpoint lists for the policy.

    Attributes:
        default: The protocol version of backends that no other rule matches.
        version_by_kind: Protocol versions by a backend's kind.
        version_by_cell: Protocol versions by a backend's cell; takes precedence over the kind.
        memory_by_version: The name of the deduplication memory of each version's backends.
        scope: The scope within which backends of one memory name share the memory.
        version_by_backend: The last known version of each backend, by its id.
        cell_numbers: The policy's cells, by memory, zone and cell.
        policy_backends: The last entries that the policy received, by the policy's id.
    """

    default: str
    version_by_kind: Mapping[str, str]
    version_by_cell: Mapping[int, str]
    memory_by_version: Mapping[str, str]
    scope: DeduplicationScope
    version_by_backend: dict[str, str] = field(default_factory=dict)
    cell_numbers: dict[tuple[str, str, int], int] = field(default_factory=dict)
    policy_backends: dict[str, Backend] = field(default_factory=dict)

    def version_of(self, backend: Backend) -> str:
        """Returns the name of the protocol version that a backend speaks."""
        return (
            self.version_by_cell.get(backend.cell)
            or self.version_by_kind.get(backend.kind)
            or self.default
        )

    def policy_id(self, backend_id: str, version: str) -> str:
        """Returns the policy's id of a backend with a protocol version."""
        return f"{backend_id}#{version}"

    def _cell(self, backend: Backend, version: str) -> int:
        """Returns the policy's cell number for all backends that share this backend's memory."""
        group = (
            self.memory_by_version[version],
            backend.zone if self.scope is DeduplicationScope.ZONE else "",
            backend.cell if self.scope is DeduplicationScope.CELL else 0,
        )
        return self.cell_numbers.setdefault(group, len(self.cell_numbers) + 1)

    def translate(self, backends: tuple[Backend, ...], complete: bool) -> tuple[Backend, ...]:
        """Returns the policy's entries for the entries of an endpoint list.

        A backend that changed its protocol version is removed under its former id, so that requests
        that may have run there remain associated with its former memory.

        Args:
            backends: The entries.
            complete: Whether the list contains all backends.
        """
        if complete:
            self._forget_unlisted({backend.id for backend in backends})
        entries: list[Backend] = []
        for backend in backends:
            version = self.version_of(backend)
            former_version = self.version_by_backend.get(backend.id)
            if former_version is not None and former_version != version:
                former_id = self.policy_id(backend.id, former_version)
                former = self.policy_backends.pop(former_id, None)
                if former is not None:
                    entries.append(replace(former, readiness=Readiness.REMOVED))
            entry = replace(
                backend,
                id=self.policy_id(backend.id, version),
                cell=self._cell(backend, version),
            )
            if backend.readiness is Readiness.REMOVED:
                # The id may never be listed again, so its state is dropped now.
                self.version_by_backend.pop(backend.id, None)
                self.policy_backends.pop(entry.id, None)
            else:
                self.version_by_backend[backend.id] = version
                self.policy_backends[entry.id] = entry
            entries.append(entry)
        return tuple(entries)

    def _forget_unlisted(self, present: set[str]) -> None:
        """Drops the state of backends that left without a REMOVED entry, to bound the tables."""
        for backend_id in [known for known in self.version_by_backend if known not in present]:
            version = self.version_by_backend.pop(backend_id)
            self.policy_backends.pop(self.policy_id(backend_id, version), None)
