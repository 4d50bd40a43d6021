"""Simulator protocol: runs the adapter against a script that responds to its actions."""

from __future__ import annotations

import heapq
import io
import json
from collections import Counter
from collections.abc import Iterator
from typing import Any

from tests.golden_cases.names import serve_simulator
from tests.golden_cases.plain import FOLDER, checksum

BACKENDS = [
    {"backend": "s1", "failure-domain": "hall-a", "flavor": "small-2c", "group": 1, "rating": 1.0},
    {"backend": "s2", "failure-domain": "hall-b", "readiness": "ready", "up-since-s": 999.5},
    {"backend": "s3", "failure-domain": "hall-a", "readiness": "draining"},
    {"backend": "s4", "readiness": "gone", "unknown": [1]},
    *({"backend": f"s{number}", "failure-domain": "hall-b"} for number in range(5, 10)),
]
FAILURES = (
    "errored", "saturated", "overdue", "refused_conn", "severed", "recalled", "superseded",
)  # fmt: skip
LOAD = {"active": 3, "waiting": 1, "cpu": 0.5, "avg_ms": 12.5, "rps": 40.0, "err_rps": 0.0}
REQUEST_COUNT = 120
FAILURE_EVERY = 4  # attempts
STEP_S = 0.05


class Script:
    """Writes batches of lines; the adapter's actions determine later lines and their times."""

    def __init__(self) -> None:
        self.sink = io.StringIO()
        self.time = 1000.0
        self.read_up_to = 0
        self.attempts = 0
        self.rounds: Counter[str] = Counter()
        self.totals: Counter[int] = Counter()
        self.due: list[tuple[float, int, dict[str, Any]]] = []

    def batch(self, *messages: dict[str, Any]) -> Iterator[str]:
        """Yields a batch, `STEP_S` after the previous one: the lines due by then and `messages`."""
        self._read_actions()
        self.time = round(self.time + STEP_S, 3)
        yield json.dumps({"m": "BeginBatch", "ts-s": self.time})
        while self.due and self.due[0][0] <= self.time:
            yield json.dumps(heapq.heappop(self.due)[2])
        for message in messages:
            yield json.dumps(message)
        yield json.dumps({"m": "Eob"})

    def _read_actions(self) -> None:
        self.sink.seek(self.read_up_to)
        written = self.sink.read()
        for line in written.splitlines():
            self.read_up_to += len(line) + 1
            self._respond(json.loads(line))

    def _schedule(self, delay_s: float, message: dict[str, Any]) -> None:
        order = self.read_up_to  # position of the action; keeps the order of simultaneous events
        heapq.heappush(self.due, (self.time + delay_s, order, message | {"ingress": 0}))

    def _respond(self, action: dict[str, Any]) -> None:
        match action["m"]:
            case "CallOut":
                self._schedule(0.04, self._result(action))
            case "Remind":
                self._schedule(action["after-s"], {"m": "Wake", "token": action["token"]})
            case "Inspect":
                probe = {"backend": action["backend"], "rc": "completed", "latency-s": 0.01}
                self._schedule(0.01, {"m": "HealthResult", "telemetry": LOAD} | probe)
            case "Tally":
                self.totals[action["name"]] += action["add"]
                level = self.totals[action["name"]]
                reply = {"name": action["name"], "rc": "completed", "level": level}
                self._schedule(0.002, {"m": "CounterReply", "latency-s": 0.002} | reply)

    def _result(self, action: dict[str, Any]) -> dict[str, Any]:
        self.attempts += 1
        fails = self.attempts % FAILURE_EVERY == 0
        failure = FAILURES[self.attempts // FAILURE_EVERY % len(FAILURES)]
        outcome = failure if fails else "completed"
        number = self.rounds[action["rid"]]
        self.rounds[action["rid"]] += 1
        result = {"rid": action["rid"], "round-no": number, "backend": action["backend"]}
        end = {"rc": outcome, "latency-s": 0.04, "finished": outcome == "completed"}
        return {"m": "Result", "telemetry": LOAD} | result | end

    def lines(self) -> Iterator[str]:
        """Yields a start, endpoint lists, requests, a client's disconnect and the end."""
        env = json.loads((FOLDER / "edge_config.json").read_text("utf-8"))["settings"]
        yield from self.batch(
            {"m": "Start", "ingress": 0, "nonce64": 7, "env": env},
            {"m": "SnapshotRows", "set-id": 1, "members-list": BACKENDS},
            {"m": "BackendsChanged", "ingress": 0, "kind": "restored", "set-id": 1, "epoch": 4},
        )
        for number in range(REQUEST_COUNT):
            yield from self.batch(request(number))
            if number == REQUEST_COUNT // 2:
                rid = f"r{number}"
                yield from self.batch({"m": "Abandoned", "ingress": 0, "rid": rid})
        yield from self.batch({"m": "BackendsChanged", "ingress": 0, "kind": "unavailable"})
        for _ in range(10):
            yield from self.batch()
        yield from self.batch({"m": "PowerOff", "ingress": 0})


def request(number: int) -> dict[str, Any]:
    """Returns a request of one of twenty customers; every third one is a submission."""
    write = number % 3 == 2
    return {
        "m": "Ingress", "ingress": 0, "rid": f"r{number}",
        "service": "solution-submit" if write else "grid-fetch",
        "tariff": ("base", "plus", "editorial")[number % 3], "account": f"{number % 20:016x}",
        "grace-s": 3.5, "cost-units": 1, "spread": 2, "set-from": 2, "repeat": number % 7 == 0,
        "is-write": write,
    }  # fmt: skip


def simulator_lines() -> dict[str, Any]:
    """Returns the adapter's lines: the number of each kind, the first, the last and a checksum."""
    script = Script()
    serve_simulator(script.lines(), script.sink)
    lines = script.sink.getvalue().splitlines()
    kinds = Counter(json.loads(line)["m"] for line in lines)
    return {
        "kinds": dict(sorted(kinds.items())),
        "first": lines[:25],
        "last": lines[-5:],
        "checksum": checksum("\n".join(lines).encode()),
    }
