"""Shared helpers: a small deployment and a gateway that handles scripted events."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

import pytest

from ingress.policy.actions import Action, FailRequest, RejectRequest, StartAttempt
from ingress.policy.events import (
    AttemptEnded,
    Backend,
    BackendsChanged,
    EndpointListKind,
    Event,
    Outcome,
    RequestReceived,
)
from ingress.policy.gateway import Gateway
from ingress.policy.settings import (
    DeduplicationScope,
    Plan,
    RequestClass,
    RetrySemantics,
    Settings,
)
from tests import FORM
from tests.known_failures import mark_known_failures, pytest_terminal_summary

__all__ = ["pytest_terminal_summary"]  # a pytest hook, looked up in this module


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks known failures; with the compiled form, skips tests that patch compiled code.

    Compiled classes and functions can't be patched from outside.  A test that patches them has the
    marker `interpreted` and runs only with the interpreted form.
    """
    mark_known_failures(items)
    if FORM.compiled:
        for item in items:
            if item.get_closest_marker("interpreted"):
                item.add_marker(
                    pytest.mark.skip(
                        reason="patches compiled code; runs only with the interpreted form"
                    )
                )


SAFE = RequestClass("read", latency_objective=1.0, deadline=4.0)
KEYED = RequestClass(
    "order",
    latency_objective=1.0,
    deadline=4.0,
    semantics=RetrySemantics.IDEMPOTENCY_KEY,
    deduplication_window=3.0,
)
UNSAFE = RequestClass(
    "pay", latency_objective=1.0, deadline=4.0, semantics=RetrySemantics.NON_IDEMPOTENT
)
BASIC = Plan("basic", rate=2.0, burst=8.0, over_quota_cost=0.5)
SETTINGS = Settings(
    classes=(SAFE, KEYED, UNSAFE),
    plans=(BASIC,),
    gateway_count=2,
    warmup_time=10.0,
    cold_capacity=0.2,
    collapse_factor=2.0,
    collapse_window=1.0,
    max_attempts=4,
    drain_grace=1.0,
)
FLEET = tuple(Backend(f"b{n}", zone="ab"[n % 2], cell=n // 2) for n in range(4))


class GatewayDriver:
    """Drives one gateway under test with a simulated clock and records its actions."""

    def __init__(self, settings: Settings = SETTINGS, fleet: Iterable[Backend] = FLEET) -> None:
        self.now = 100.0
        self.gateway = Gateway(settings, 1)
        self.count = 0
        self.actions: list[Action] = []
        self.at(0.0, BackendsChanged(EndpointListKind.RESTORED, tuple(fleet)))

    def at(self, after: float, event: Event) -> list[Action]:
        self.now += after
        produced = self.gateway.handle(self.now, event)
        self.actions += produced
        return produced

    def receive_request(self, after: float = 0.0, **changes: Any) -> list[Action]:
        self.count += 1
        event = RequestReceived(f"r{self.count}", "read", "basic", "c", 4.0, gateway_count=2)
        return self.at(after, replace(event, **changes))

    def end_attempt(
        self,
        send: StartAttempt,
        outcome: Outcome = Outcome.OK,
        after: float = 0.05,
        attempt: int = 0,
        **more: Any,
    ) -> list[Action]:
        more.setdefault("finished", outcome is Outcome.OK)
        return self.at(
            after, AttemptEnded(send.request_id, attempt, send.backend, outcome, after, **more)
        )


def sends(actions: Iterable[Action]) -> list[StartAttempt]:
    return [a for a in actions if isinstance(a, StartAttempt)]


def final_responses(actions: Iterable[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, RejectRequest | FailRequest)]


def keyed_class_with_scope(scope: DeduplicationScope) -> RequestClass:
    return replace(KEYED, deduplication_scope=scope)
