"""Load reports that instances exchange, and the newest report of each instance."""

from __future__ import annotations

from typing import Final

import msgspec

from ingress.fleet_shedding.reports import Received, Report, decode, is_amount
from ingress.membership.messages import MAX_NAME_LENGTH

MAX_ORIGINS: Final = 2000
MAX_VALUE: Final = 1e9  # of any field; no instance reaches it
RETENTION_S: Final = 30.0  # older reports are dropped


class LoadReport(Report, array_like=True, frozen=True):
    """The load of one instance.

    Attributes:
        offered_rate: First attempts and retries requested by clients, per second.
        admitted_rate: The part of the offered rate that was forwarded, per second.
        utilization: The fraction of its concurrency limit in use.
        age_s: The time since the report was made, in seconds.
        zone: The zone of the instance. Older releases neither send nor read this field.
    """

    offered_rate: float
    admitted_rate: float
    utilization: float
    age_s: float
    zone: str = ""

    def is_valid(self) -> bool:
        """Returns whether all fields are in range."""
        amounts = (self.offered_rate, self.admitted_rate, self.utilization, self.age_s)
        return (
            self.has_valid_origin()
            and all(is_amount(amount, MAX_VALUE) for amount in amounts)
            and len(self.zone) <= MAX_NAME_LENGTH
        )


_decoder: msgspec.msgpack.Decoder[LoadReport] = msgspec.msgpack.Decoder(LoadReport)


def decode_report(payload: bytes) -> LoadReport | None:
    """Returns the load report in a payload, or None if there is none or a field is out of range."""
    report = decode(_decoder, payload)
    return report if report is not None and report.is_valid() else None


class LoadReports:
    """The newest report of each instance, including this one.

    `rejected` counts invalid payloads, expired reports, and reports of new origins beyond
    MAX_ORIGINS.
    """

    def __init__(self, origin: str, incarnation: int, zone: str = "") -> None:
        self.origin = origin
        self.incarnation = incarnation
        self.zone = zone
        self.sequence_number = 0
        self.reports: dict[str, Received[LoadReport]] = {}
        self.rejected = 0

    def record_own(
        self, now: float, offered_rate: float, admitted_rate: float, utilization: float
    ) -> None:
        """Replaces this instance's own report."""
        self.sequence_number += 1
        report = LoadReport(
            self.origin,
            self.incarnation,
            self.sequence_number,
            round(offered_rate, 3),
            round(admitted_rate, 3),
            round(utilization, 3),
            0.0,
            self.zone,
        )
        self.reports[self.origin] = Received(report, now)

    def merge(self, now: float, payloads: list[bytes]) -> None:
        """Merges reports of other instances, which may arrive repeatedly and in any order."""
        for payload in payloads:
            report = decode_report(payload)
            if report is None or report.age_s > RETENTION_S or self._is_full_for(report.origin):
                self.rejected += 1
            elif report.origin != self.origin:
                received = self.reports.get(report.origin)
                if received is None or report.is_newer_than(received.report):
                    self.reports[report.origin] = Received(report, now - report.age_s)

    def _is_full_for(self, origin: str) -> bool:
        return origin not in self.reports and len(self.reports) >= MAX_ORIGINS

    def encode_newest(self, now: float, limit: int) -> list[bytes]:
        """Returns up to `limit` encoded reports to send: its own, then the newest of the others."""
        self.reports = {
            origin: received
            for origin, received in self.reports.items()
            if now - received.made_at <= RETENTION_S
        }
        others = [received for origin, received in self.reports.items() if origin != self.origin]
        others.sort(key=lambda received: -received.made_at)
        chosen = others[: limit - 1]
        own = self.reports.get(self.origin)
        if own is not None:
            chosen.insert(0, own)
        return [received.encode(now) for received in chosen]

    def zones(self) -> dict[str, str]:
        """Returns the zones of the instances whose report has one."""
        return {
            origin: received.report.zone
            for origin, received in self.reports.items()
            if received.report.zone
        }

    def fresh(self, now: float, max_age_s: float) -> list[LoadReport]:
        """Returns the reports that are at most `max_age_s` seconds old."""
        return [
            received.report
            for received in self.reports.values()
            if now - received.made_at <= max_age_s
        ]
