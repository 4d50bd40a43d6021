"""The simulator's adapter: its replies, and its errors for malformed input."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from ingress.simulator_adapter import MalformedInputError, serve

ROOT = Path(__file__).resolve().parent.parent
ENV = {
    "balancers": 2,
    "self-index": 0,
    "zone": "a",
    "tick-s": 0.002,
    "membership-mode": "pushed",
    "categories": [
        {"name": "read", "aim-s": 1.0, "give-up-s": 4.0, "importance": 1.0, "semantics": "safe"}
    ],
    "contracts": [{"name": "basic", "refill": 2.0, "burst": 8.0}],
    "limits": {"max-attempts": 3},
    "rules": {},
    "family-info": {},
    "new-key": 1,
}
ROWS = [
    {
        "backend": f"10.0.0.{n}:9000",
        "failure-domain": "a",
        "flavor": "x",
        "group": 0,
        "readiness": "ready",
        "rating": 1,
    }
    for n in range(3)
]


def encode_lines(*messages: object) -> str:
    return "".join(json.dumps(m) + "\n" for m in messages)


def sample_input(env: object = ENV) -> str:
    start = [
        {"m": "BeginBatch", "ts-s": 1.0},
        {"m": "Start", "ingress": 3, "nonce64": 7, "env": env},
        {"m": "SnapshotRows", "set-id": 0, "members-list": ROWS},
        {"m": "BackendsChanged", "ingress": 3, "kind": "restored", "epoch": 1, "set-id": 0},
        {"m": "Eob"},
    ]
    requests = [
        {"m": "BeginBatch", "ts-s": 1.5},
        *(
            {
                "m": "Ingress",
                "ingress": 3,
                "rid": f"r{n}",
                "service": "read",
                "tariff": "basic",
                "account": f"c{n}",
                "grace-s": 1.0,
                "cost-units": 1,
                "spread": 2,
                "set-from": 0,
                "odd": None,
            }
            for n in range(30)
        ),
        {"m": "Eob"},
    ]
    return encode_lines(*start, *requests)


def run_adapter(text: str) -> list[dict[str, object]]:
    out = io.StringIO()
    serve(io.StringIO(text), out)
    return [json.loads(line) for line in out.getvalue().splitlines()]


def test_the_adapter_answers_each_batch_and_skips_unknown_keys() -> None:
    lines = run_adapter(sample_input())
    assert [m["m"] for m in lines].count("Finished") == 2
    assert {m["rid"] for m in lines if m["m"] in ("CallOut", "Decline")} == {
        f"r{n}" for n in range(30)
    }
    assert all(m["ingress"] == 3 for m in lines if m["m"] != "Finished")


@pytest.mark.parametrize(
    ("line", "cause"),
    [
        ("{", "line 1"),
        ("[]", "object"),
        ('{"m":"Wake","ingress":1}', "outside a batch"),
        ('{"m":"BeginBatch"}', "ts-s"),
        (
            '{"m":"BeginBatch","ts-s":1}\n{"m":"Ingress","ingress":1,"rid":"x"}\n{"m":"Eob"}',
            "service",
        ),
        ('{"m":"BeginBatch","ts-s":1}\n{"m":"Nonsense","ingress":1}\n{"m":"Eob"}', "Nonsense"),
        ('{"m":"BeginBatch","ts-s":1}\n', "inside a batch"),
    ],
)
def test_malformed_input_is_rejected_with_its_cause(line: str, cause: str) -> None:
    with pytest.raises(MalformedInputError, match=cause):
        run_adapter(line)


def test_invalid_settings_are_rejected_with_the_key() -> None:
    with pytest.raises(MalformedInputError, match="rate"):
        run_adapter(
            sample_input(ENV | {"contracts": [{"name": "basic", "refill": -1.0, "burst": 1.0}]})
        )
    with pytest.raises(MalformedInputError, match="classes"):
        run_adapter(sample_input(ENV | {"categories": []}))


def test_a_failing_decision_becomes_a_fault_report(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("on purpose")

    monkeypatch.setattr("ingress.policy.gateway.Gateway.handle", broken)
    faults = [m for m in run_adapter(sample_input()) if m["m"] == "BailOut"]
    assert faults
    assert "on purpose" in str(faults[0]["reason-text"])


@pytest.mark.parametrize("hash_seed", ["0", "1", "77"])
def test_the_same_events_give_the_same_actions_for_any_hash_seed(hash_seed: str) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "ingress.simulator_adapter"],
        input=sample_input(),
        capture_output=True,
        text=True,
        cwd=ROOT,
        env=os.environ | {"PYTHONHASHSEED": hash_seed},
        check=True,
    )
    assert [json.loads(line) for line in completed.stdout.splitlines()] == run_adapter(
        sample_input()
    )


def test_the_program_ends_with_a_message_on_malformed_input() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "ingress.simulator_adapter"],
        input="nonsense\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert completed.returncode == 2
    assert "line 1" in completed.stderr
    assert not completed.stdout
