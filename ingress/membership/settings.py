"""Timing and bounds of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, log, log2


@dataclass(frozen=True, slots=True)
class SwimSettings:
    """Settings of a `SwimProtocol`; the defaults detect a dead member among 12 in about 4 s.

    Attributes:
        protocol_period_s: Time between two probes.
        probe_timeout_s: Time to wait for an ack before requesting indirect probes.
        indirect_probes: Number of members asked to probe on behalf of this one.
        suspicion_multiplier: Shortest duration of a suspicion, in protocol periods times the
            decimal logarithm of the number of members.
        max_suspicion_multiplier: Ratio of the duration of an unconfirmed suspicion to the shortest.
        expected_confirmations: Number of confirmations at which a suspicion lasts the shortest.
        retransmit_multiplier: Number of transmissions of an update, times the binary logarithm of
            the number of members.
        pull_interval_s: Mean time between two requests for the full state of another member.
        dead_retention_s: Time for which a dead member is remembered and sometimes probed.
        stall_periods: Number of periods without a tick after which this process counts as stalled.
        max_local_health: The worst value of the local health multiplier.
        max_members: Maximum number of other members remembered.

    Raises:
        ValueError: A period or a timeout is out of range.
    """

    protocol_period_s: float = 0.5
    probe_timeout_s: float = 0.2
    indirect_probes: int = 3
    suspicion_multiplier: float = 4.0
    max_suspicion_multiplier: float = 4.0
    expected_confirmations: int = 3
    retransmit_multiplier: int = 3
    pull_interval_s: float = 15.0
    dead_retention_s: float = 120.0
    stall_periods: float = 3.0
    max_local_health: int = 8
    max_members: int = 2000

    def __post_init__(self) -> None:
        if not 0.01 <= self.protocol_period_s <= 60:
            raise ValueError(
                f"protocol_period_s: {self.protocol_period_s:g} must be from 0.01 to 60 s"
            )
        if not 0 < self.probe_timeout_s < self.protocol_period_s:
            raise ValueError(
                f"probe_timeout_s: {self.probe_timeout_s:g} must be in (0, protocol_period_s)"
            )

    def suspicion_timeout_s(self, other_members: int, confirmations: int) -> float:
        """Returns the duration of a suspicion in seconds, as in Lifeguard's LHA-Suspicion."""
        size_factor = max(1.0, log(other_members + 2, 10))
        minimum_s = self.suspicion_multiplier * size_factor * self.protocol_period_s
        maximum_s = minimum_s * self.max_suspicion_multiplier
        reduction = log(max(1, confirmations)) / log(self.expected_confirmations + 1)
        return max(minimum_s, maximum_s - (maximum_s - minimum_s) * reduction)

    def max_transmissions(self, other_members: int) -> int:
        """Returns the number of transmissions of an update. SWIM, section 4.1."""
        return self.retransmit_multiplier * max(1, ceil(log2(other_members + 2)))
