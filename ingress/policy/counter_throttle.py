"""Adapts the rate of calls to the shared counter to the counter's replies.

If hundreds of gateways make more calls than the counter can process, none of them receives a reply.
Each gateway therefore calls less after a failed call, and more after a quick reply.
"""

from __future__ import annotations

from typing import Final

from ingress.policy.quota_estimate import NEVER

INITIAL_CALL_SHARE: Final = 0.5
CALL_SHARE_DECREASE: Final = 0.3
"""Fraction of the calls dropped after a failed call; a quick reply restores an eighth of it."""
MIN_CALL_SHARE: Final = 0.05
"""Share of calls still made to a failing counter, so that its recovery is noticed."""
QUICK_REPLY_SHARE: Final = 0.25
"""Share of the counter's timeout: a counter that replies sooner has spare capacity."""
CEILING_CALL_FACTOR: Final = 2.0
"""Factor on the share of calls about ceilings, which must hold under overload."""
COUNTER_SILENCE_TIMEOUT_S: Final = 1.0
"""After this time without any reply the counter is treated as down, not overloaded."""


class CounterThrottle:
    """Tracks the share of counter calls to make.

    Attributes:
        call_share: The share of calls to make, from `MIN_CALL_SHARE` to 1.
        answered_at: The time of the counter's last reply, in seconds.
    """

    def __init__(self, counter_timeout: float) -> None:
        self._quick_reply_s = QUICK_REPLY_SHARE * counter_timeout
        self.call_share = INITIAL_CALL_SHARE
        self.answered_at = NEVER

    def is_answering(self, now: float) -> bool:
        """Returns whether the counter has replied recently."""
        return now - self.answered_at < COUNTER_SILENCE_TIMEOUT_S

    def share_of_calls(self, has_ceiling: bool) -> float:
        """Returns the probability with which to make a call about a customer."""
        return min(1.0, CEILING_CALL_FACTOR * self.call_share) if has_ceiling else self.call_share

    def reply_received(self, latency: float) -> None:
        """Increases the share of calls after a quick reply.

        Args:
            latency: The latency of the reply in seconds.
        """
        if latency < self._quick_reply_s:
            self.call_share = min(1.0, self.call_share + CALL_SHARE_DECREASE / 8)

    def call_failed(self) -> None:
        """Decreases the share of calls after a failed call."""
        self.call_share = max(MIN_CALL_SHARE, self.call_share * (1 - CALL_SHARE_DECREASE))
