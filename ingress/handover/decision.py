"""Decides from the replies of its replicas whether an operation may be sent."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf
from typing import Final

from ingress.handover.messages import ReplicaReply, ReplyCode
from ingress.handover.transition_table import Phase


@dataclass(frozen=True, slots=True)
class CoordinatorSettings:
    """The coordinator's settings; all times are in seconds.

    Attributes:
        deduplication_window: time for which backends remember idempotency keys.
        safety_margin: minimum time between a resend and the end of that window.
        max_delay: maximum time that an attempt waits for replies.
        heartbeat_interval: time between two heartbeats.
        suspect_after: time without a message after which an instance becomes suspect.
        recovery_time: maximum time during which a replica that may have lost records does not
            grant anything.
        retry_after: retry delay, before jitter, sent to a client whose submission another instance
            holds.
        copies: number of replicas that have to grant; there are 2 * copies - 1 replicas.
        resend: whether a submission that may have run is sent again, for its backend to
            deduplicate.
    """

    deduplication_window: float = 4.0
    safety_margin: float = 0.5
    max_delay: float = 0.05
    heartbeat_interval: float = 0.1
    suspect_after: float = 0.6
    recovery_time: float = 30.0
    retry_after: float = 0.25
    copies: int = 2
    resend: bool = True


class Verdict(Enum):
    """The decision on an opened operation."""

    PROCEED = auto()  # send it; enough replicas granted it
    UNPROTECTED = auto()  # send it without replicas: too few replied in time
    DONE = auto()  # it has run, and its response is known
    RETRY_LATER = auto()  # another instance holds it
    KEY_REUSED = auto()  # its idempotency key was used with another body
    IN_DOUBT = auto()  # it may have run, and backends may have forgotten its key: never resend


REPORTED_VERDICTS: Final = {
    Verdict.PROCEED: "go",
    Verdict.UNPROTECTED: "unprotected",
    Verdict.DONE: "done",
    Verdict.RETRY_LATER: "come_back",
    Verdict.KEY_REUSED: "clash",
    Verdict.IN_DOUBT: "lost",
}
"""The key of each verdict in the reported counts."""


@dataclass(frozen=True, slots=True)
class Decision:
    """The verdict on an operation.

    `retry_after`: seconds, with RETRY_LATER; `send_before`: the time by which a resent request must
    be sent.
    """

    operation: int
    verdict: Verdict
    response: bytes = b""
    retry_after: float = 0.0
    send_before: float = inf


@dataclass(slots=True)
class Operation:
    """One attempt of a submission, opened by this process."""

    name: bytes
    digest: bytes
    opened_at: float
    replicas: list[str]
    replies: dict[str, ReplicaReply] = field(default_factory=dict)
    decided: bool = False
    granted: bool = False  # the verdict allows sending it, and it has not ended


def decide(settings: CoordinatorSettings, operation: Operation, now: float) -> Decision | None:
    """Returns the decision based on the replies so far, or None to wait for more replies."""
    replies = list(operation.replies.values())
    refusal = _refusal(settings, operation.opened_at, replies, now)
    if refusal is not None:
        return refusal
    late = now - operation.opened_at > settings.max_delay
    grants = [reply for reply in replies if reply.code == ReplyCode.GRANTED]
    enough = len(grants) >= settings.copies
    if not enough and not late and len(replies) < len(operation.replicas):
        return None
    resend_grants = [reply for reply in grants if reply.previous_phase != Phase.FREE]
    # An age is as of the replica's reply, so the whole time since the request is added.
    age = max((reply.age for reply in resend_grants), default=0.0) + now - operation.opened_at
    time_left = settings.deduplication_window - settings.safety_margin - age
    if resend_grants and (time_left <= 0.0 or not settings.resend):
        return Decision(0, Verdict.IN_DOUBT)
    # After `max_delay` a grant may have been passed to another instance.
    verdict = Verdict.PROCEED if enough and not late else Verdict.UNPROTECTED
    return Decision(0, verdict, send_before=now + time_left if resend_grants else inf)


def _refusal(
    settings: CoordinatorSettings, opened_at: float, replies: list[ReplicaReply], now: float
) -> Decision | None:
    """Returns the decision if a reply forbids sending, regardless of the other replies."""
    codes = [ReplyCode(reply.code) for reply in replies]
    if ReplyCode.DONE in codes:
        return Decision(0, Verdict.DONE, replies[codes.index(ReplyCode.DONE)].response)
    if ReplyCode.CLASH in codes:
        return Decision(0, Verdict.KEY_REUSED, replies[codes.index(ReplyCode.CLASH)].response)
    if any(
        reply.code == ReplyCode.FROZEN
        and reply.age + now - opened_at + settings.safety_margin >= settings.deduplication_window
        for reply in replies
    ):
        return Decision(0, Verdict.IN_DOUBT)
    if ReplyCode.BUSY in codes or ReplyCode.STALE in codes or ReplyCode.FROZEN in codes:
        return Decision(0, Verdict.RETRY_LATER, retry_after=settings.retry_after)
    return None
