"""Checks that detect a replaced counter, and gateways that add to a different copy of it.

Each gateway adds 1 to a few check keys at a fixed rate.  Each key is stored on one part of the
counter, which may be lost, partitioned or replaced independently of the others.  Between two
additions by one gateway to a key, every other gateway adds once, so the total grows by the number
of gateways that add to the same copy.  A total that does not grow by the gateway's own addition
belongs to a different counter.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

from ingress.policy import counter_keys
from ingress.policy.quota_estimate import NEVER

CHECK_COUNT: Final = 2
CALL_PERIOD_S: Final = 0.5
"""Time between two additions by one gateway, to any check."""
MAX_GATEWAYS_AT_FULL_RATE: Final = 12.0
"""More gateways each add less often, so that all together make at most 24 calls per second."""
RESTART_GRACE_S: Final = 3.0
"""A gateway that is missing for no longer than this is most likely just restarting."""
MIN_MISSING_GATEWAYS: Final = 0.75
"""Smaller shortfalls are caused by additions from different gateways that arrived out of order."""
GROWTH_WINDOW_TOTALS: Final = 2
"""Number of totals over which growth is measured: two additions may arrive out of order."""
OWN_ADDITION: Final = 1.0
"""Added by each call; a total that grows by less than half of it belongs to another counter."""

NOT_YET: Final = 1e18
"""A point in time after every other."""


class CounterState(Enum):
    """The state of the part of the counter that stores a check's key.

    The values appear in the log and in the counts that operators read.
    """

    UNKNOWN = "unknown"
    """No total has been received yet."""
    CONSISTENT = "sound"
    """All gateways add to it."""
    SLOW = "slow"
    """Calls time out."""
    LOST = "lost"
    """Calls fail."""
    PARTITIONED = "parted"
    """Fewer gateways add to it than exist."""


class ConsistencyCheck:
    """One check: its latest totals and the state derived from them.  Times are in seconds.

    Attributes:
        key_number: The number from which the check's counter keys are derived.
        key: The current counter key; -1 before the first call.
        called_at: The time of the latest call.
        in_flight: Whether the latest call has no outcome yet.
        totals: The latest totals of the key, one for each addition that received a reply.
        member_count: The estimated number of gateways that add to the same copy of the counter as
            this one; 0 while unknown.
        latest_growth: The same estimate from the last two totals alone: earlier but less reliable.
        replaced_at: The time at which a replacement of the counter was last detected.
        partitioned_at: The time since which gateways have been missing.
        replacements: The number of detected replacements of the counter.
        partitions: The number of times that gateways began to be missing.
        state: The state that the totals indicate.
    """

    def __init__(self, text: str) -> None:
        self.key_number = counter_keys.key_number(text)
        self.key = -1
        self.called_at = counter_keys.EPOCH_S
        self.in_flight = False
        self.totals: list[float] = []
        self.member_count = 0.0
        self.latest_growth = 0.0
        self.replaced_at = NEVER
        self.partitioned_at = NOT_YET
        self.replacements = 0
        self.partitions = 0
        self.state = CounterState.UNKNOWN

    def begin_call(self, now: float) -> int:
        """Records the start of a call and returns the counter key to add 1 to."""
        key, _ = counter_keys.counter_key(self.key_number, now)
        if key != self.key:
            self.key = key
            self.totals = []
        self.called_at = now
        self.in_flight = True
        return key

    def call_failed(self, slow: bool) -> None:
        """Records a call without a total; growth across the gap would not count other gateways."""
        self.in_flight = False
        self.totals = []
        self.latest_growth = 0.0
        self.state = CounterState.SLOW if slow else CounterState.LOST

    def total_received(self, now: float, total: float, gateways: int) -> None:
        """Records a total that includes this gateway's addition, and updates the state.

        Args:
            now: The time in seconds.
            total: The total of the key.
            gateways: The number of gateways that exist.
        """
        self.in_flight = False
        if self.totals and total < self.totals[-1] + OWN_ADDITION / 2:
            self.replacements += 1
            self.replaced_at = now
            self.totals = []
        self.latest_growth = total - self.totals[-1] if self.totals else 0.0
        self.totals.append(total)
        if len(self.totals) > GROWTH_WINDOW_TOTALS + 1:
            del self.totals[0]
        if len(self.totals) == GROWTH_WINDOW_TOTALS + 1:
            self._update_state(now, gateways)

    def _update_state(self, now: float, gateways: int) -> None:
        growth = (self.totals[-1] - self.totals[0]) / GROWTH_WINDOW_TOTALS
        self.member_count = max(1.0, min(float(gateways), growth))
        # An addition that crossed the end of the window may look like half a missing gateway.
        if growth > gateways - MIN_MISSING_GATEWAYS:
            self.state = CounterState.CONSISTENT
            self.partitioned_at = NOT_YET
            return
        if self.state is not CounterState.PARTITIONED:
            self.partitions += 1
        self.state = CounterState.PARTITIONED
        self.partitioned_at = min(now, self.partitioned_at)


class CounterConsistency:
    """All checks of one gateway.  Times are in seconds.

    Attributes:
        gateway_count: The number of gateways.
        checks: The checks, in the order in which they are called.
        period: The time between two calls by this gateway.
        next_check: The index of the check to call next.
        due_at: The time at which that call is due.
        late_totals: The number of useful totals that arrived after their calls had timed out.
    """

    def __init__(self, gateway_count: int) -> None:
        self.gateway_count = gateway_count
        self.checks = [ConsistencyCheck(f"check {number}") for number in range(CHECK_COUNT)]
        self.period = CALL_PERIOD_S * max(1.0, gateway_count / MAX_GATEWAYS_AT_FULL_RATE)
        self.next_check = 0
        self.due_at = NEVER
        self.late_totals = 0

    def due_calls(self, now: float) -> tuple[list[int], float]:
        """Returns the keys to add 1 to now (one or none) and the seconds until the next call.

        A late call does not delay the calls after it: the additions would otherwise overlap with
        those of other gateways.
        """
        if now < self.due_at + self.period:
            self.due_at = self.due_at + self.period
        else:
            self.due_at = now + self.period
        check = self.checks[self.next_check]
        self.next_check = (self.next_check + 1) % CHECK_COUNT
        keys = [] if check.in_flight else [check.begin_call(now)]
        return keys, max(0.0, self.due_at - now)

    def check_of(self, key: int) -> ConsistencyCheck | None:
        """Returns the check that uses a counter key, or None."""
        for check in self.checks:
            if check.key == key:
                return check
        return None

    def reachable_share(self, now: float, min_duration: float = 0.0) -> float:
        """Returns the smallest fraction of gateways that share a check's copy of the counter.

        This gateway may give out no more than this fraction of any token bucket.  The fraction is
        1 while all gateways add, and while nothing is known.

        Args:
            now: The time in seconds.
            min_duration: The time in seconds for which gateways must have been missing to count as
                missing.  With 0, the latest additions suffice if all checks agree that gateways
                are missing.
        """
        share = 1.0
        if min_duration == 0.0 and self._all_miss_gateways():
            share = min(check.latest_growth for check in self.checks) / self.gateway_count
        for check in self.checks:
            if (
                check.state is CounterState.PARTITIONED
                and now - check.partitioned_at >= min_duration
            ):
                share = min(share, max(1.0, round(check.member_count)) / self.gateway_count)
        return share

    def _all_miss_gateways(self) -> bool:
        """Returns whether the last two totals of every check indicate missing gateways."""
        max_growth = self.gateway_count - MIN_MISSING_GATEWAYS
        return all(0 < check.latest_growth <= max_growth for check in self.checks)

    def replaced_at(self) -> float:
        """Returns the latest time at which any check detected a different counter."""
        return max(check.replaced_at for check in self.checks)
