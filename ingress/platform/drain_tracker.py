"""Tracks draining backends, so that an outdated endpoint list does not return them to service.

No I/O, no clock.  After a reload the new agent may be behind the previous one, and an agent that
restarted may be behind its own earlier answers.  A backend that such an agent lists as ready would
receive new requests long after its drain began.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Final, NamedTuple

from ingress.policy.events import Backend, Readiness

# An instance must know all that discovery does after this time, so no list is outdated by more.
MAX_NOTICE_AGE_S: Final = 6.0


class DrainNotice(NamedTuple):
    """Latest report of a backend that is not ready.

    Attributes:
        started_at: Start time of the backend's draining process, in seconds; 0 if unknown.
        version: Newest list version that reported it.
        received_at: Time of the latest report, in seconds of the tracker's clock.
    """

    started_at: float
    version: int
    received_at: float

    def expired(self, now: float) -> bool:
        """Returns whether the notice is too old to override a list."""
        return now >= self.received_at + MAX_NOTICE_AGE_S


class DrainTracker:
    """Drain notices by backend, from all agents."""

    def __init__(self) -> None:
        self.notices: dict[str, DrainNotice] = {}
        self.recheck_at = 0.0  # when to poll the complete list again; 0: never

    def apply(self, version: int, backends: tuple[Backend, ...], now: float) -> tuple[Backend, ...]:
        """Returns the entries of a list, corrected where a newer list reported a drain.

        A backend remains draining until a list of the same or a newer version reports it ready, its
        process restarts, or the notice expires.
        """
        corrected = tuple(self._apply_to(version, backend, now) for backend in backends)
        self._drop_expired(now)
        return corrected

    def _apply_to(self, version: int, backend: Backend, now: float) -> Backend:
        notice = self.notices.get(backend.id)
        if notice is not None and notice.expired(now):
            notice = None
        if backend.readiness is not Readiness.READY:
            newest = version if notice is None else max(version, notice.version)
            self.notices[backend.id] = DrainNotice(backend.started_at, newest, now)
            return backend
        if notice is None:
            return backend
        if notice.started_at == backend.started_at and version < notice.version:
            self.recheck_at = notice.received_at + MAX_NOTICE_AGE_S
            return replace(backend, readiness=Readiness.DRAINING)
        del self.notices[backend.id]
        return backend

    def _drop_expired(self, now: float) -> None:
        """Bounds the memory: backends are added and removed for as long as the process runs."""
        expired = [name for name, notice in self.notices.items() if notice.expired(now)]
        for name in expired:
            del self.notices[name]

    def take_recheck(self, now: float) -> bool:
        """Returns whether to poll the complete list again; clears the request if so."""
        due = 0.0 < self.recheck_at <= now
        if due:
            self.recheck_at = 0.0
        return due
