"""How often a list is asked for, and how long an answer is waited for; no I/O, no clock.

One service gives the list to all ingresses.  Danger: forty that start at one moment, ask anew each second
and give a call up before its turn has come keep the service at work on answers that nobody reads, and none of
them ever has a list.
"""

from __future__ import annotations

from random import Random

FIRST_WAIT = 3.0  # s for an answer to a call that begins a watch: a call may wait 2 s for its turn
LONGEST_WAIT = 6.0  # s: what the list tells counts as told by then
SOON = (0.05, 0.1, 0.2, 0.5, 1.0)  # s between calls while nothing answers
CROWDED_FIRST, CROWDED_MOST = 0.25, 4.0  # s between calls that are turned away; each doubles up to the most


class Pace:
    """The pace of one ingress.  Jitter is its own: a fleet that fails at one moment must not ask in step."""

    def __init__(self, rng: Random) -> None:
        self.rng, self.failures = rng, 0

    def succeeded(self) -> None:
        self.failures = 0

    def patience(self) -> float:
        """Seconds to wait for an answer.  The longer it went without one, the longer: each call that is
        given up has cost the service its turn."""
        return min(LONGEST_WAIT, FIRST_WAIT * 2.0 ** min(self.failures, 8))

    def failed(self, crowded: bool) -> float:
        """Seconds to pause.  `crowded`: the service is there and turned the call away."""
        number, self.failures = self.failures, self.failures + 1
        if crowded:
            return self.rng.uniform(0.5, 1.5) * min(CROWDED_MOST, CROWDED_FIRST * 2.0 ** min(number, 8))
        return self.rng.uniform(0.5, 1.0) * SOON[min(number, len(SOON) - 1)]
