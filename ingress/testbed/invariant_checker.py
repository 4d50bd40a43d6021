"""The invariant checker: checks the five rules and the quotas from traffic on the sockets alone."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from ingress.testbed.deployment import Deployment, Plan
from ingress.testbed.record import Arrival, Life, Record, Start, Told, Try

Submission = tuple[str, str, str]
"""A keyed request of a client: its customer, class and key."""
RULES = ("answer", "effect", "drain", "cold", "ceiling")
CLOSE_RACE_S = 0.05  # an idle connection that ends this soon after a write had ended before it
COLD_SLACK_REQUESTS = 4.0  # mean requests beyond its budget that a cold server bears
CEILING_SLACK_S = 0.15  # of the ceiling's rate, added to its slack for delays on sockets
MAX_LAG_S = 0.25  # a machine that is later for a tenth of the run allows no verdict


@dataclass(frozen=True, slots=True)
class Breach:
    """A violation of a rule.

    Attributes:
        rule: The name of the rule.
        at: When it was violated.
        request: The id of the request; empty if there is none.
        customer: The customer of the request; empty if there is none.
        why: The violation in words.
        by: Seconds by which a time limit was exceeded; infinite without such a limit.
    """

    rule: str
    at: float
    request: str
    customer: str
    why: str
    by: float = inf

    def __str__(self) -> str:
        return (
            f"{self.rule}: {self.why} (request {self.request or '-'}, customer {self.customer or '-'}, "
            f"at {self.at:.3f} s)"
        )


@dataclass(slots=True)
class Verdict:
    """The result of a check.

    Attributes:
        breaches: Certain violations.
        doubtful: Violations of a time limit by no more than the machine itself was late.
        over_quota: The share of each plan's units that were forwarded beyond the quota.
        busy_share: The share of the run in which the machine was later than `MAX_LAG_S`.
    """

    breaches: list[Breach] = field(default_factory=list)
    doubtful: list[Breach] = field(default_factory=list)
    over_quota: dict[str, float] = field(default_factory=dict)
    busy_share: float = 0.0

    @property
    def judged(self) -> bool:
        """Returns False if the machine was too busy for a verdict."""
        return self.busy_share < 0.1 and not self.doubtful

    def counts(self) -> dict[str, int]:
        """Returns the number of certain violations of each rule."""
        return {rule: sum(b.rule == rule for b in self.breaches) for rule in RULES}


def judge(record: Record, deployment: Deployment) -> Verdict:
    """Returns the verdict on a completed run."""
    by_id: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(record.arrivals, key=lambda a: a.at):
        by_id[arrival.id].append(arrival)
    all_breaches = [
        *_answers(record, by_id, deployment),
        *_effects(record, by_id, deployment),
        *_submissions(record, by_id),
        *_takeovers(record, by_id),
        *_drains(record, deployment),
        *_cold(record, deployment),
        *_ceilings(by_id, deployment),
    ]
    verdict = Verdict(over_quota=_quotas(by_id, deployment))
    for breach in sorted(all_breaches, key=lambda b: b.at):
        lag_s = record.lag(breach.at)
        (verdict.doubtful if breach.by <= lag_s else verdict.breaches).append(breach)
    if record.lags:
        verdict.busy_share = sum(lag_s > MAX_LAG_S for _, lag_s in record.lags) / len(record.lags)
    return verdict


def _life_at(record: Record, ingress: int, at: float) -> Life | None:
    """Returns the process of an ingress at a time, or None if none ran."""
    return next((x for x in record.lives if x.ingress == ingress and x.up <= at <= x.down), None)


# Rule 1: each try gets exactly one final answer in time, and nothing follows it


def _answers(
    record: Record, by_id: dict[str, list[Arrival]], deployment: Deployment
) -> Iterable[Breach]:
    slack = deployment.answer_slack
    values_by_submission: dict[Submission, set[bytes]] = defaultdict(set)
    for a in record.arrivals:
        if a.key and a.value:
            values_by_submission[a.customer, a.request_class, a.key].add(a.value)
    for x in record.tries:
        life, limit = _life_at(record, x.ingress, x.sent), x.sent + x.patience + slack
        end = min(x.answered, x.ended)

        def breach(at: float, why: str, by: float = inf, x: Try = x) -> Breach:
            return Breach("answer", at, x.id, x.customer, f"{why} at ingress {x.ingress}", by)

        if x.extra:
            yield breach(x.answered, f"{x.extra} bytes followed the final answer")
        valid_values = {a.value for a in by_id[x.id] if a.value}
        if x.key:  # a client's own repeat may only receive the result of an earlier try
            valid_values |= values_by_submission[x.customer, x.request_class, x.key]
        if x.kind == "served" and x.value not in valid_values:
            yield breach(x.answered, "served with a value that no grid server made for it")
        if x.kind:
            for arrival in by_id[x.id]:
                if arrival.ingress == x.ingress and arrival.first > x.answered + slack:
                    yield breach(
                        arrival.first,
                        f"sent to {arrival.server} after its final answer",
                        arrival.first - x.answered - slack,
                    )
        excused = (
            life is None
            or x.cut
            or life.paused(x.sent, limit)
            or (
                # The client retries requests that a killed ingress held, not those ended before.
                life.how == "killed" and life.down <= min(limit, end) + CLOSE_RACE_S
            )
            or life.killed_late
        )
        if x.kind and x.answered > limit and not excused:
            yield breach(
                x.answered, f"answered {x.answered - limit + slack:.3f} s late", x.answered - limit
            )
        if x.kind or excused:
            continue
        close_raced = (
            not x.first
            and x.ended - x.sent < CLOSE_RACE_S
            and not any(a.at < x.ended for a in by_id[x.id])
        )  # it was not read, and the client sends it again on a new connection
        if x.ended <= limit and not close_raced:
            ended_part = (
                "process"
                if life is not None and life.down <= x.ended + CLOSE_RACE_S
                else "connection"
            )
            yield breach(x.ended, f"lost: the {ended_part} ended without a complete answer")
        elif x.ended > limit:
            yield breach(limit, "no answer in time")
    for life in record.lives:
        if life.how == "crashed":
            yield Breach("answer", life.down, "", "", f"ingress {life.ingress} ended by itself")
        if life.killed_late:
            yield Breach(
                "answer",
                life.down,
                "",
                "",
                f"ingress {life.ingress} did not exit within its time to drain",
            )


# Rule 2: no request takes effect twice


def _effects(
    record: Record, by_id: dict[str, list[Arrival]], deployment: Deployment
) -> Iterable[Breach]:
    slack = deployment.answer_slack
    for arrivals in by_id.values():
        ran: Arrival | None = None
        for n, x in enumerate(arrivals):
            cls = deployment.by_class[x.request_class]
            for earlier in arrivals[:n]:
                if earlier.out_until > x.at + slack:
                    yield Breach(
                        "effect",
                        x.at,
                        x.id,
                        x.customer,
                        f"two attempts in flight at once, at {earlier.server} and {x.server}",
                        earlier.out_until - x.at - slack,
                    )
            if ran is not None and cls.semantics == "unsafe":
                yield Breach(
                    "effect",
                    x.at,
                    x.id,
                    x.customer,
                    f"repeated at {x.server} though it may have run at {ran.server}",
                )
            elif (
                ran is not None
                and cls.semantics == "keyed"
                and x.first > ran.at + cls.window + slack
            ):
                yield Breach(
                    "effect",
                    x.at,
                    x.id,
                    x.customer,
                    f"repeated at {x.server} {x.first - ran.at:.3f} s after {ran.server} may have "
                    f"run it; its key is remembered for {cls.window:g} s",
                    x.first - ran.at - cls.window - slack,
                )
            elif ran is not None and cls.semantics == "keyed" and x.memory != ran.memory:
                yield Breach(
                    "effect",
                    x.at,
                    x.id,
                    x.customer,
                    f"repeated at {x.server}, which does not remember the keys of {ran.server}",
                )
            if x.may_have_run and ran is None:
                ran = x
        effects = [x for x in arrivals if x.effect]
        if len(effects) > 1 and deployment.by_class[arrivals[0].request_class].semantics != "safe":
            last = effects[-1]
            yield Breach(
                "effect",
                last.at,
                last.id,
                last.customer,
                f"took effect {len(effects)} times, last at {last.server}",
            )
    several_memories = len({x.memory for x in record.arrivals}) > 1
    for tried in record.tries:
        # If all servers share one memory of keys, a client may repeat a keyed request that ran.
        if (
            tried.kind == "refused"
            and deployment.by_class[tried.request_class].semantics
            in (("unsafe", "keyed") if several_memories else ("unsafe",))
            and any(x.may_have_run and x.at < tried.answered for x in by_id[tried.id])
        ):
            yield Breach(
                "effect", tried.answered, tried.id, tried.customer, "refused though it may have run"
            )


def _submissions(record: Record, by_id: dict[str, list[Arrival]]) -> Iterable[Breach]:
    """Checks submissions, each of which is a first try and the client's own repeats of it.

    All servers together must record it once, each memory must receive one key for it, and a served
    submission must have been recorded.
    """
    served = {tried.ask: tried for tried in record.tries if tried.kind == "served" and tried.key}
    for ask, arrivals in submissions(record, by_id).items():
        effects = [x for x in arrivals if x.effect]
        if len({x.id for x in effects}) > 1:
            last = effects[-1]
            yield Breach(
                "effect",
                last.at,
                last.id,
                last.customer,
                "recorded twice: " + ", ".join(f"by {x.server} at {x.at:.3f} s" for x in effects),
            )
        keys: dict[str, Arrival] = {}
        for x in arrivals:
            first = keys.setdefault(x.memory, x)
            if x.key != first.key:
                yield Breach(
                    "effect",
                    x.at,
                    x.id,
                    x.customer,
                    f"its key at {x.server}, from ingress "
                    f"{x.ingress}, differs from its key at {first.server}, from ingress "
                    f"{first.ingress}",
                )
        if not effects and (tried := served.get(ask)) is not None:
            yield Breach(
                "effect",
                tried.answered,
                tried.id,
                tried.customer,
                "served, but recorded by no server",
            )


def _takeovers(record: Record, by_id: dict[str, list[Arrival]]) -> Iterable[Breach]:
    """Checks requests taken over from a lost ingress, whose ids no client sent.

    Each must repeat a keyed submission of a client, which may have run, and charge no units again.
    """
    if not record.hands_over:
        return
    ids = {tried.id for tried in record.tries}
    submitted = {(tried.customer, tried.request_class, tried.key) for tried in record.tries}
    for name, arrivals in by_id.items():
        for x in arrivals if name not in ids else ():
            if not x.key:
                yield Breach("effect", x.at, x.id, x.customer, "taken over without a key")
            elif (x.customer, x.request_class, x.key) not in submitted:
                yield Breach(
                    "effect", x.at, x.id, x.customer, "taken over though no client sent it"
                )
            if x.units:
                yield Breach(
                    "ceiling",
                    x.at,
                    x.id,
                    x.customer,
                    f"{x.units:g} units charged again by the takeover",
                )


def submissions(record: Record, by_id: dict[str, list[Arrival]]) -> dict[int, list[Arrival]]:
    """Returns the arrivals of each keyed submission, with those of a client's repeats.

    They are in order of time, by the number of the submission's first try.
    """
    by_ask: dict[int, list[Arrival]] = defaultdict(list)
    for name, ask in {tried.id: tried.ask for tried in record.tries if tried.key}.items():
        by_ask[ask] += by_id[name]
    if record.hands_over:  # requests that are taken over have ids of their own
        ids = {tried.id for tried in record.tries}
        asks = {(x.customer, x.request_class, x.key): x.ask for x in record.tries if x.key}
        for x in (x for name, arrivals in by_id.items() if name not in ids for x in arrivals):
            submission = x.customer, x.request_class, x.key
            if submission in asks:
                by_ask[asks[submission]].append(x)
    return {
        ask: sorted(arrivals, key=lambda x: x.at) for ask, arrivals in by_ask.items() if arrivals
    }


def held_back(record: Record) -> tuple[int, int]:
    """Returns how often a submission was held back from another memory of keys.

    That is, it may have run in one memory without a value while servers of another memory were in use.
    The first count is of all such attempts, the second of those that the client repeated. A run
    without any proves nothing about repeats across memories.
    """
    by_id: dict[str, list[Arrival]] = defaultdict(list)
    spans: dict[str, tuple[float, float]] = {}  # first and last arrival, by memory
    for arrival in sorted(record.arrivals, key=lambda a: a.at):
        by_id[arrival.id].append(arrival)
        spans[arrival.memory] = spans.get(arrival.memory, (arrival.at, 0.0))[0], arrival.at
    attempts = repeated = 0
    for arrivals in submissions(record, by_id).values():
        for n, x in enumerate(arrivals):
            if x.value or not x.may_have_run:
                continue
            if not any(memory != x.memory and a <= x.at <= b for memory, (a, b) in spans.items()):
                continue
            attempts += 1
            repeated += any(later.id != x.id for later in arrivals[n + 1 :])
    return attempts, repeated


# Rule 3: no request is sent to a server after the grace of its drain


def _drains(record: Record, deployment: Deployment) -> Iterable[Breach]:
    notices: dict[tuple[int, str], list[Told]] = defaultdict(list)
    for notice in sorted(record.told, key=lambda n: n.at):
        notices[notice.ingress, notice.server].append(notice)
    for x in record.arrivals:
        since = None  # when the process was notified that the server leaves, unless it came back
        life = _life_at(record, x.ingress, x.first)
        for notice in notices[x.ingress, x.server]:
            if life is not None and life.up <= notice.at <= x.first:
                since = None if notice.state == "ready" else notice.at if since is None else since
        if since is None:
            continue
        late = x.first - since - deployment.drain_grace - deployment.answer_slack
        if late > 0:
            yield Breach(
                "drain",
                x.first,
                x.id,
                x.customer,
                f"sent to {x.server} by ingress {x.ingress} "
                f"{x.first - since:.3f} s after the ingress was notified that the server leaves",
                late,
            )


# Rule 4: no cold server is overloaded


def _cold(record: Record, deployment: Deployment) -> Iterable[Breach]:
    for start in record.starts:
        restarts = (s.at for s in record.starts if s.server == start.server and s.at > start.at)
        until = min(restarts, default=inf)
        window: list[Arrival] = []
        window_work = 0.0
        for x in (a for a in record.arrivals if a.server == start.server):
            if not start.at <= x.at < min(until, start.at + start.cold_time):
                continue
            window.append(x)
            window_work += x.work
            while window[0].at < x.at - deployment.fall_time:
                window_work -= window.pop(0).work
            budget = deployment.fall_factor * _warming_capacity(start, x.at) * deployment.fall_time
            if window_work > budget + COLD_SLACK_REQUESTS * deployment.mean_work:
                senders = sorted({a.ingress for a in window})
                yield Breach(
                    "cold",
                    x.at,
                    x.id,
                    x.customer,
                    f"{start.server}, {x.at - start.at:.1f} s after its start, was sent "
                    f"{window_work:.2f} s of work in {deployment.fall_time:g} s by ingresses "
                    f"{', '.join(map(str, senders))}; its limit is {budget:.2f}",
                )
                break


def _warming_capacity(start: Start, at: float) -> float:
    warm = min(1.0, (at - start.at) / start.cold_time)
    return start.capacity * (start.cold_share + (1 - start.cold_share) * warm)


# Rule 5: no customer exceeds a ceiling. Use beyond quotas is only measured.


def _first_attempts(by_id: dict[str, list[Arrival]]) -> list[Arrival]:
    """Returns the first attempt of each try: only that one is charged, whichever ingress sent it."""
    return sorted((arrivals[0] for arrivals in by_id.values() if arrivals), key=lambda x: x.at)


def _ceilings(by_id: dict[str, list[Arrival]], deployment: Deployment) -> Iterable[Breach]:
    buckets: dict[str, tuple[float, float]] = {}
    for x in _first_attempts(by_id):
        plan = deployment.by_plan[x.plan]
        if not plan.ceiling_rate:
            continue
        level, at = buckets.get(x.customer, (plan.ceiling_burst, x.at))
        level = min(plan.ceiling_burst, level + (x.at - at) * plan.ceiling_rate) - x.units
        buckets[x.customer] = level, x.at
        slack = plan.ceiling_slack + CEILING_SLACK_S * plan.ceiling_rate
        if level < -slack:
            yield Breach(
                "ceiling",
                x.at,
                x.id,
                x.customer,
                f"{-level:.1f} units beyond the ceiling of {plan.name}; {slack:.1f} are allowed",
            )


def _quotas(by_id: dict[str, list[Arrival]], deployment: Deployment) -> dict[str, float]:
    buckets: dict[str, tuple[float, float]] = {}
    units_by_plan: dict[str, list[float]] = {p.name: [0.0, 0.0] for p in deployment.plans}
    for x in _first_attempts(by_id):
        within_quota, sums = (
            take_from_quota(deployment.by_plan[x.plan], buckets, x.customer, x.at, x.units),
            units_by_plan[x.plan],
        )
        sums[0] += x.units
        sums[1] += 0.0 if within_quota else x.units
    return {name: over / units if units else 0.0 for name, (units, over) in units_by_plan.items()}


def take_from_quota(
    plan: Plan, buckets: dict[str, tuple[float, float]], customer: str, at: float, units: float
) -> bool:
    """Returns whether a customer's token bucket holds the units, and takes them from it if so.

    A bucket is full at first.
    """
    level, last = buckets.get(customer, (plan.burst, at))
    level = min(plan.burst, level + (at - last) * plan.rate)
    enough = level >= units
    buckets[customer] = (level - units if enough else level, at)
    return enough
