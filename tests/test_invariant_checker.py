"""Tests the invariant checker on handmade records: hard cases, each with one that is no breach."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ingress.testbed.deployment import CLASSES, PLANS, Deployment
from ingress.testbed.ingresses import Ingress
from ingress.testbed.invariant_checker import Verdict, judge
from ingress.testbed.measure import measure
from ingress.testbed.record import Arrival, Life, Record, Start, Told, Try

DEPLOYMENT = Deployment(classes=(*CLASSES, replace(CLASSES[1], name="pay", semantics="unsafe")))


def make_try(**changes: Any) -> Try:
    fields: dict[str, Any] = {"kind": "served", "answered": 10.1, "value": b"v"} | changes
    return Try("r1", "c1", "base", fields.pop("cls", "grid-fetch"), "", 1.0, 0, 10.0, 2.0, **fields)


def make_arrival(
    at: float = 10.02, until: float = 10.09, server: str = "s1", **changes: Any
) -> Arrival:
    arrival = Arrival(
        "r1", "c1", "base", "grid-fetch", "", 1.0, server, 0, at, at, 0.1, until, value=b"v"
    )
    return replace(arrival, **changes)


ALL_UP = Life(0, 0.0), Life(1, 0.0)


def breaches_in(
    *tries: Try, arrivals: tuple[Arrival, ...] = (), lives: tuple[Life, ...] = ALL_UP, **more: Any
) -> list[str]:
    record = Record(list(tries), list(arrivals), lives=list(lives), **more)
    return [f"{b.rule} {b.why}" for b in judge(record, DEPLOYMENT).breaches]


def assert_only_breach(breaches: list[str], text: str) -> None:
    assert len(breaches) == 1 and text in breaches[0], breaches


def test_a_served_try_breaks_no_rule() -> None:
    assert breaches_in(make_try(), arrivals=(make_arrival(),)) == []


def test_a_killed_ingress_may_lose_requests_and_one_that_ends_may_not() -> None:
    lost = make_try(kind="", ended=10.5, answered=float("inf"))
    assert breaches_in(lost, lives=(Life(0, 0.0, 10.5, "killed"),)) == []
    assert_only_breach(
        breaches_in(lost, lives=(Life(0, 0.0, 10.5, "ended"),)), "answer lost: the process ended"
    )
    breaches = breaches_in(lost, lives=(Life(0, 0.0, 10.5, "crashed"),))
    assert len(breaches) == 2 and "ended by itself" in breaches[1]
    # A request lost before the kill counts.
    assert_only_breach(
        breaches_in(replace(lost, ended=10.2), lives=(Life(0, 0.0, 11.0, "killed"),)),
        "connection ended",
    )


def test_a_planned_restart_that_exceeds_its_time_is_reported_once() -> None:
    lost = make_try(kind="", ended=10.5, answered=float("inf"))
    assert_only_breach(
        breaches_in(lost, lives=(Life(0, 0.0, 10.5, "term", killed_late=True),)),
        "did not exit within its time to drain",
    )


def test_a_connection_reset_before_the_answer_is_read_loses_it() -> None:
    lost = make_try(kind="", ended=10.2, answered=float("inf"))
    assert_only_breach(breaches_in(lost, arrivals=(make_arrival(),)), "answer lost")
    assert (
        breaches_in(replace(lost, cut=True), arrivals=(make_arrival(),)) == []
    )  # by the testbed's own link


def test_a_request_sent_as_its_used_connection_closes_is_lost_only_if_it_was_read() -> None:
    close_raced = make_try(kind="", ended=10.01, answered=float("inf"), first=False)
    again = make_try(first=True)
    assert breaches_in(close_raced, again, arrivals=(make_arrival(),)) == []
    assert_only_breach(
        breaches_in(replace(close_raced, first=True), again, arrivals=(make_arrival(),)),
        "answer lost",
    )
    assert_only_breach(
        breaches_in(close_raced, again, arrivals=(make_arrival(10.005),)), "answer lost"
    )  # it had been forwarded


@pytest.mark.parametrize(("answered", "late"), [(12.04, False), (12.06, True)])
def test_an_answer_is_late_only_beyond_the_slack(answered: float, late: bool) -> None:
    assert bool(breaches_in(make_try(answered=answered), arrivals=(make_arrival(),))) is late


def test_nothing_is_sent_after_the_final_answer() -> None:
    assert breaches_in(make_try(), arrivals=(make_arrival(), make_arrival(10.14, 10.2))) == []
    assert_only_breach(
        breaches_in(make_try(), arrivals=(make_arrival(), make_arrival(10.16, 10.2))),
        "after its final answer",
    )


def test_an_answer_late_by_less_than_the_machine_is_doubtful() -> None:
    record = Record(
        [make_try(answered=12.15)], [make_arrival()], lives=[Life(0, 0.0)], lags=[(12.0, 0.2)]
    )
    verdict = judge(record, DEPLOYMENT)
    assert not verdict.breaches and len(verdict.doubtful) == 1 and not verdict.judged
    record.lags[0] = (12.0, 0.05)
    assert len(judge(record, DEPLOYMENT).breaches) == 1


def test_a_late_answer_is_doubtful_only_if_its_ingress_waited_for_a_core() -> None:
    """Short waits of one process add up; those of other processes and earlier ones do not."""

    def verdict(*starved: tuple[float, int, float]) -> Verdict:
        late = make_try(answered=12.15)
        return judge(
            Record([late], [make_arrival()], lives=[Life(0, 0.0)], starved=list(starved)),
            DEPLOYMENT,
        )

    short = (11.7, 0, 0.04), (11.95, 0, 0.04), (12.2, 0, 0.04)
    assert verdict(*short).doubtful and not verdict(*short).judged
    assert verdict(*short[:2]).breaches and verdict(*short[:2]).judged
    assert verdict((11.7, 0, 0.04), (11.95, 1, 0.04), (12.2, 2, 0.04)).breaches
    assert verdict((11.5, 0, 0.2), (12.5, 0, 0.2)).breaches


def test_a_run_on_a_machine_that_was_often_late_has_no_verdict() -> None:
    record = Record(lags=[(float(n), 0.3 if n % 5 == 0 else 0.0) for n in range(50)])
    assert not judge(record, DEPLOYMENT).judged


def test_an_incomplete_copy_of_a_request_is_no_second_attempt() -> None:
    """A copy that lacks one byte never becomes an arrival: only complete ones count."""
    complete = make_arrival(until=10.5)
    other, answer = make_arrival(10.2, 10.3, "s2"), make_try(answered=10.6)
    assert_only_breach(
        breaches_in(answer, arrivals=(complete, other)), "effect two attempts in flight at once"
    )
    assert breaches_in(answer, arrivals=(complete,)) == []
    assert breaches_in(answer, arrivals=(replace(complete, out_until=10.2), other)) == []


@pytest.mark.parametrize(("after", "broken"), [(3.9, False), (4.04, False), (4.06, True)])
def test_a_keyed_repeat_is_a_breach_only_after_the_deduplication_window(
    after: float, broken: bool
) -> None:
    keyed = make_arrival(request_class="solution-submit", key="k", until=10.1)
    again = replace(keyed, at=keyed.at + after, first=keyed.at + after, out_until=99.0, server="s2")
    breaches = breaches_in(
        make_try(cls="solution-submit", answered=16.0, kind="served"), arrivals=(keyed, again)
    )
    assert any("its key is remembered" in b for b in breaches) is broken
    rejected = replace(keyed, may_have_run=False)
    assert not any("effect" in b for b in breaches_in(arrivals=(rejected, again)))


def test_a_keyed_repeat_in_another_memory_of_keys_is_a_breach() -> None:
    keyed = make_arrival(request_class="solution-submit", key="k", memory="v1")
    again = replace(keyed, at=11.0, first=11.0, server="s2", memory="v2")
    assert_only_breach(breaches_in(arrivals=(keyed, again)), "does not remember the keys of s1")
    assert breaches_in(arrivals=(keyed, replace(again, memory="v1"))) == []
    assert breaches_in(arrivals=(replace(keyed, may_have_run=False), again)) == []


def test_a_request_that_took_effect_twice_is_a_breach() -> None:
    keyed = make_arrival(request_class="solution-submit", key="k", effect=True)
    again = replace(keyed, at=11.0, first=11.0, server="s2")
    assert_only_breach(breaches_in(arrivals=(keyed, again)), "effect took effect 2 times")
    assert breaches_in(arrivals=(keyed, replace(again, effect=False))) == []


def test_an_unsafe_request_is_repeated_or_refused_only_if_nothing_ran() -> None:
    payment = make_arrival(request_class="pay")
    again = replace(payment, at=10.2, first=10.2, server="s2")
    assert_only_breach(breaches_in(arrivals=(payment, again)), "though it may have run at s1")
    assert breaches_in(arrivals=(replace(payment, may_have_run=False), again)) == []
    refused = make_try(cls="pay", kind="refused")
    assert_only_breach(breaches_in(refused, arrivals=(payment,)), "refused though it may have run")
    assert breaches_in(refused, arrivals=(replace(payment, may_have_run=False),)) == []


@pytest.mark.parametrize(("first", "broken"), [(11.04, False), (11.06, True)])
def test_a_drain_binds_an_ingress_from_its_notification_on(first: float, broken: bool) -> None:
    notices = [Told(0, "s1", "draining", 10.0), Told(0, "s1", "gone", 10.9)]
    late = make_arrival(first, first + 0.1)
    assert bool(breaches_in(arrivals=(late,), told=notices)) is broken
    assert (
        breaches_in(arrivals=(replace(late, ingress=1),), told=notices) == []
    )  # another one was not notified
    assert breaches_in(arrivals=(late,), told=[*notices, Told(0, "s1", "ready", 11.0)]) == []
    # A process that started later goes by the list it started with.
    assert (
        breaches_in(
            arrivals=(late,), told=notices, lives=(Life(0, 0.0, 10.5, "killed"), Life(0, 10.95))
        )
        == []
    )
    restarted = (Life(0, 0.0, 10.5, "killed"), Life(0, 10.6))
    own_notice = Told(0, "s1", "gone", 10.6)
    assert_only_breach(
        breaches_in(
            arrivals=(replace(late, first=11.7),), told=[*notices, own_notice], lives=restarted
        ),
        "drain sent to s1",
    )


def test_three_shares_that_each_fit_a_cold_server_can_overload_it() -> None:
    start = Start("s1", 10.0, 2.0, 0.2, 10.0)
    mean = DEPLOYMENT.mean_work

    def shares(work_each: float, ingresses: int) -> tuple[Arrival, ...]:
        return tuple(
            replace(
                make_arrival(10.1 + n / 100, 10.2 + n / 100),
                id=f"r{n}",
                ingress=n % ingresses,
                work=work_each,
            )
            for n in range(60)
        )

    budget = 2.0 * 2.0 * 0.2 + 4 * mean  # at the start, plus the slack for chance
    assert breaches_in(arrivals=shares(budget / 60, 3), starts=[start]) == []
    assert breaches_in(arrivals=shares(budget / 60 / 3, 1), starts=[start]) == []
    assert_only_breach(
        breaches_in(arrivals=shares(budget / 60 * 1.2, 3), starts=[start]), "by ingresses 0, 1, 2"
    )
    warm = tuple(replace(a, at=a.at + 20) for a in shares(budget / 60 * 1.2, 3))
    assert breaches_in(arrivals=warm, starts=[start]) == []


def test_a_try_forwarded_by_two_ingresses_is_charged_once() -> None:
    plan = PLANS[2]
    count = int(plan.ceiling_burst + plan.ceiling_slack + 0.15 * plan.ceiling_rate)
    requests = [replace(make_arrival(), id=f"r{n}", plan="editorial") for n in range(count)]
    elsewhere = [
        replace(a, at=10.03, first=10.03, out_until=10.1, ingress=1, server="s2") for a in requests
    ]
    elsewhere = [replace(a, at=10.15, first=10.12) for a in elsewhere]
    assert breaches_in(arrivals=tuple(requests + elsewhere)) == []
    assert_only_breach(
        breaches_in(
            arrivals=(*requests, replace(make_arrival(), id="rx", plan="editorial", ingress=1))
        ),
        "ceiling",
    )
    others = replace(make_arrival(), id="rx", customer="c2", plan="editorial")
    assert breaches_in(arrivals=(*requests, others)) == []


def test_tries_beyond_the_quota_are_counted_and_lower_the_service() -> None:
    n = int(PLANS[0].burst) + 3
    tries = [replace(make_try(), id=f"r{i}", ask=i, value=b"v") for i in range(n)]
    arrivals = [replace(make_arrival(), id=f"r{i}") for i in range(n)]
    record = Record(tries, arrivals, lives=[Life(0, 0.0)])
    assert judge(record, DEPLOYMENT).over_quota["base"] == pytest.approx(3 / n)
    asked = [(10.0, "c1", "base", "grid-fetch", 1.0)] * n
    over = measure(record, asked, DEPLOYMENT)
    assert over.count("served") == n and over.service == pytest.approx(
        0.55 * max(0.0, 1 - 3 * 1.2 / 3) + 0.2 * 1.0 + 0.25 * max(0.0, 1 - 3 * 1.2 / 3)
    )
    inside = measure(Record(tries[:3], arrivals[:3], lives=[Life(0, 0.0)]), asked[:3], DEPLOYMENT)
    assert inside.service == pytest.approx(1.0) and inside.p50_ms == pytest.approx(100.0)


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({}, ""),
        ({"units": 1.0}, "ceiling 1 units charged again by the takeover"),
        ({"key": ""}, "effect taken over without a key"),
        ({"key": "k2"}, "effect taken over though no client sent it"),
    ],
)
def test_a_takeover_repeats_a_submission_of_a_client_and_charges_no_units(
    changes: dict[str, Any], text: str
) -> None:
    submission = replace(make_try(cls="solution-submit"), key="k1")
    first = make_arrival(request_class="solution-submit", key="k1", effect=True)
    again = make_arrival(
        10.2,
        10.3,
        id="takeover-1",
        request_class="solution-submit",
        value=b"w",
        **{"key": "k1", "units": 0.0, **changes},
    )
    breaches = breaches_in(submission, arrivals=(first, again), hands_over=True)
    assert breaches == [] if not text else any(text in b for b in breaches), breaches


def test_a_takeover_that_took_effect_counts_as_recorded() -> None:
    submission = replace(make_try(cls="solution-submit", value=b"w"), key="k1", ask=1)
    first = make_arrival(request_class="solution-submit", key="k1", value=b"")
    again = make_arrival(
        10.2,
        10.3,
        id="takeover-1",
        request_class="solution-submit",
        value=b"w",
        key="k1",
        units=0.0,
        effect=True,
    )
    assert breaches_in(submission, arrivals=(first, again), hands_over=True) == []
    both = (replace(first, effect=True), again)
    assert_only_breach(breaches_in(submission, arrivals=both, hands_over=True), "recorded twice")


def test_a_repeat_is_served_only_a_value_of_its_own_submission() -> None:
    first = make_arrival(request_class="solution-submit", key="k1", effect=True, value=b"mine")
    other = make_arrival(
        id="r0", request_class="solution-submit", key="k2", effect=True, value=b"other"
    )
    repeat = replace(make_try(cls="solution-submit", value=b"mine"), id="r2", key="k1")
    assert breaches_in(repeat, arrivals=(first, other)) == []
    assert_only_breach(
        breaches_in(replace(repeat, value=b"other"), arrivals=(first, other)),
        "no grid server made for it",
    )


class LateNotifyingProcess:
    """A process whose end is reported at 5 s."""

    def __init__(self, clock: list[float]) -> None:
        self.clock, self.returncode = clock, None

    def send_signal(self, number: int) -> None: ...

    async def wait(self) -> int:
        self.clock[0] = 5.0
        return -9


@pytest.mark.parametrize(("how", "down"), [("killed", 1.0), ("", 5.0)])
def test_a_kill_counts_from_when_it_was_sent_however_late_the_end_is_reported(
    tmp_path: Path, how: str, down: float
) -> None:
    clock, record = [1.0], Record()
    ingress = Ingress(0, Deployment(), record, lambda: clock[0], tmp_path, "true", 1)
    ingress.life, ingress.process = Life(0, 0.0), LateNotifyingProcess(clock)  # type: ignore[assignment]
    ingress.signal(signal.SIGKILL, how or None)
    asyncio.run(ingress.watch())
    assert ingress.life.down == down and ingress.life.how == (how or "crashed")
