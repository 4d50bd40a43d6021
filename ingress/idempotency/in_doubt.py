"""A table of submissions that may have run, with the cell of each and an expiry time.

A cell is a deduplication scope: its backends share one memory of idempotency keys.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

Submission = tuple[str, str, str]
"""Customer, request class and idempotency key, the key in its `resp2-v1` form."""


@dataclass(slots=True)
class InDoubtEntry:
    """A submission that may have run.

    Attributes:
        cell: The cell in which it may have run.
        expires_at: The time until which the entry is valid, in seconds of the caller's clock.
        request_key: The key of the request that made its only attempt; "" after several attempts.
    """

    cell: int
    expires_at: float
    request_key: str


class InDoubtTable:
    """The recently attempted submissions, each kept for `window_s` seconds after its last attempt.

    The table holds at most `max_submissions` entries. A further submission evicts the oldest entry,
    which `evicted` counts; key affinity alone then decides the placement of the evicted submission.
    """

    def __init__(self, window_s: float, max_submissions: int) -> None:
        self.window_s = window_s
        self.max_submissions = max_submissions
        self.evicted = 0
        self.entries: OrderedDict[Submission, InDoubtEntry] = OrderedDict()

    def record_attempt(
        self, submission: Submission, cell: int, now: float, request_key: str
    ) -> None:
        """Records an attempt of the request, which may run in the cell."""
        self._expire(now)
        if submission in self.entries:
            request_key = ""  # an earlier attempt may have run as well
        self.entries[submission] = InDoubtEntry(cell, now + self.window_s, request_key)
        self.entries.move_to_end(submission)
        if len(self.entries) > self.max_submissions:
            self.entries.popitem(last=False)
            self.evicted += 1

    def record_never_ran(self, submission: Submission, request_key: str) -> None:
        """Removes a submission that did not run, if the request made its only attempt."""
        entry = self.entries.get(submission)
        if entry is not None and entry.request_key == request_key:
            del self.entries[submission]

    def cell_of(self, submission: Submission, now: float) -> int:
        """Returns the cell in which the submission may have run, or 0 if none is known."""
        entry = self.entries.get(submission)
        if entry is None or now >= entry.expires_at:
            return 0
        return entry.cell

    def _expire(self, now: float) -> None:
        # Entries are in order of expiry, since all have the same window.
        while self.entries and next(iter(self.entries.values())).expires_at <= now:
            self.entries.popitem(last=False)
