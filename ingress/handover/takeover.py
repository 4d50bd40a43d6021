"""Selects the submissions of lost instances that this instance takes over, at a limited rate."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from ingress.handover.coordinator import Coordinator
from ingress.handover.replica import Record, replicas_for
from ingress.handover.transition_table import HolderStatus, Phase

SCAN_INTERVAL_S: Final = 0.1
MAX_SCANNED_RECORDS: Final = 20_000  # per scan


class TakeoverScheduler:
    """Selects orphaned submissions, at most `rate` per second; none if `rate` is 0."""

    def __init__(self, coordinator: Coordinator, rate: float) -> None:
        self.coordinator = coordinator
        self.rate = rate
        self.next_scan = 0.0
        self.tokens = 0.0
        self.refilled_at = 0.0
        self.attempted: dict[bytes, float] = {}  # time of the attempt, by record name

    def due(self, now: float) -> list[bytes]:
        """Returns the calls to send now, as encoded by their holders, the oldest first."""
        if now < self.next_scan or self.rate <= 0.0:
            return []
        self.next_scan = now + SCAN_INTERVAL_S
        self._refill(now)
        self._forget_attempts(now)
        calls: list[bytes] = []
        for name, record in self._orphans(now):
            if self.tokens < 1.0:
                break
            self.tokens -= 1.0
            self.attempted[name] = now
            calls.append(record.call)
        return calls

    def _refill(self, now: float) -> None:
        burst = max(1.0, self.rate * 2 * SCAN_INTERVAL_S)
        self.tokens = min(burst, self.tokens + self.rate * (now - self.refilled_at))
        self.refilled_at = now

    def _forget_attempts(self, now: float) -> None:
        # Each is attempted once per window, so that rejected ones do not block the others.
        window = self.coordinator.settings.deduplication_window
        self.attempted = {name: at for name, at in self.attempted.items() if now - at < window}

    def _orphans(self, now: float) -> Iterator[tuple[bytes, Record]]:
        in_flight = list(self.coordinator.replica.in_flight())
        for name, record in in_flight[:MAX_SCANNED_RECORDS]:
            if (
                record.call
                and name not in self.attempted
                and self._may_be_resent(now, record)
                and self._is_lost(now, record)
                and self._is_first_live_replica(now, name)
            ):
                yield name, record

    def _may_be_resent(self, now: float, record: Record) -> bool:
        settings = self.coordinator.settings
        age = now - record.opened_at
        return age + 2 * settings.safety_margin < settings.deduplication_window

    def _is_lost(self, now: float, record: Record) -> bool:
        """Returns whether the holder is lost and can't write any more bytes of the submission."""
        status = self.coordinator.holder_status(now, record.holder)
        if status is HolderStatus.RESTARTED:
            return True
        return status is HolderStatus.SUSPECT and record.phase is not Phase.HELD

    def _is_first_live_replica(self, now: float, name: bytes) -> bool:
        """Returns whether all higher-ranked replicas are suspect, so that only one takes over."""
        coordinator = self.coordinator
        for replica in replicas_for(name, coordinator.instances, coordinator.settings.copies):
            if replica == coordinator.name:
                return True
            if not coordinator.is_suspect(now, replica):
                return False
        return False
