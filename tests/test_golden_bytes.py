"""Tests that output and stored data equal those of revision ff5953e, and decode to the same values.

The program of revision ff5953e wrote the files in tests/golden from the cases in
tests/golden_cases.  Other instances, clients, backends, the counter and stores of that revision
exchange or hold these bytes.  The files are never regenerated: a difference is a fault of the
program.  One figure was corrected by hand: the wait in "marked retries while they do" of
affinity.json is 4 s instead of 3 s, since gateways may learn up to one second apart that a backend
is draining.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tests.golden_cases import FAMILIES, gossip, handover, protocols, reports, store
from tests.golden_cases.derived import TIMES
from tests.golden_cases.names import (
    MalformedMessageError,
    OsFileSystem,
    ReplicatedCall,
    Store,
    read_load_report,
    read_observation,
    unpack_record,
)
from tests.golden_cases.plain import CUSTOMERS, FOLDER, plain

# Families whose cases all have different bytes.
DISTINCT_BYTES_FAMILIES = (
    "membership",
    "handover_messages",
    "handover_records",
    "stored_calls",
    "peer_frames",
)


def golden(family: str) -> dict[str, Any]:
    values: dict[str, Any] = json.loads((FOLDER / f"{family}.json").read_text("utf-8"))
    return values


def golden_bytes(family: str) -> dict[str, bytes]:
    return {name: bytes.fromhex(text) for name, text in golden(family).items()}


def copy_store(name: str, folder: Path) -> Path:
    shutil.copytree(FOLDER / f"store_{name}", folder / name)
    return folder / name


def count_distinct(values: list[Any]) -> int:
    return len({json.dumps(value) for value in values})


def test_each_golden_file_is_compared() -> None:
    names = {path.name for path in FOLDER.iterdir()}
    compared = {f"{family}.json" for family in FAMILIES} | {
        f"store_{name}" for name in store.STORES
    }
    assert names == compared | {"edge_config.json"}


@pytest.mark.parametrize("family", FAMILIES)
def test_output_equals_the_golden_file(family: str) -> None:
    expected = golden(family)
    written = json.loads(json.dumps(FAMILIES[family]()))
    assert list(written) == list(expected)
    for name, value in expected.items():
        assert written[name] == value, name


def test_report_keys_keep_their_order() -> None:
    assert json.dumps(reports.counts()) == json.dumps(golden("counts"))
    assert json.dumps(reports.testbed_figures()) == json.dumps(golden("testbed"))


@pytest.mark.parametrize("family", DISTINCT_BYTES_FAMILIES)
def test_cases_of_a_family_have_different_bytes(family: str) -> None:
    stored = golden_bytes(family)
    assert all(stored.values())
    assert len(set(stored.values())) == len(stored)


def test_membership_messages_are_decoded() -> None:
    encrypted = golden_bytes("membership")
    for name, message in gossip.membership_messages().items():
        assert gossip.codec().decode(encrypted[name]) == message, name
    assert gossip.codec().decode(encrypted["an older key"]) == gossip.codec().decode(
        encrypted["nack"]
    )


def test_an_oversized_membership_message_drops_its_last_entries() -> None:
    encrypted = golden_bytes("membership")
    complete = gossip.crowded_messages()
    lacks_reports = gossip.codec().decode(encrypted["crowded with reports"])
    original = complete["crowded with reports"]
    assert lacks_reports.updates == original.updates
    assert 0 < len(lacks_reports.payloads) < len(original.payloads)
    assert lacks_reports.payloads == original.payloads[: len(lacks_reports.payloads)]
    lacks_updates = gossip.codec().decode(encrypted["crowded with news"])
    original = complete["crowded with news"]
    assert not lacks_updates.payloads
    assert 0 < len(lacks_updates.updates) < len(original.updates)
    assert lacks_updates.updates == original.updates[: len(lacks_updates.updates)]


@pytest.mark.parametrize("name", golden("membership"))
def test_a_changed_byte_in_a_membership_message_is_detected(name: str) -> None:
    data = golden_bytes("membership")[name]
    for at in range(len(data)):
        changed = data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]
        with pytest.raises(MalformedMessageError):
            gossip.codec().decode(changed)


def test_load_reports_are_decoded() -> None:
    stored = golden("load_reports")
    own, received = (read_load_report(bytes.fromhex(entry)) for entry in stored["own and heard"])
    assert received == msgspec.structs.replace(gossip.LOAD_REPORT, age_s=2.873)
    assert plain(own) == ["edge-1", 77, 2, 100.0, 0.0, 1.0, 2.123, "hall-a"]
    assert stored["own alone"] == stored["own and heard"][0]
    [other] = (read_load_report(bytes.fromhex(entry)) for entry in stored["without zone"])
    assert plain(other) == ["edge-9", 1, 1, 0.0, 0.0, 0.0, 0.0, ""]


def test_health_observations_are_decoded_and_not_mistaken_for_load_reports() -> None:
    entries = [bytes.fromhex(entry) for entry in golden("health_observations")["passed on"]]
    observations = [read_observation(entry) for entry in entries]
    assert observations == [
        msgspec.structs.replace(gossip.OBSERVATION, age_s=1.5),
        msgspec.structs.replace(gossip.RECOVERED, age_s=2.875),
    ]
    assert [read_load_report(entry) for entry in entries] == [None, None]
    assert read_observation(bytes.fromhex(golden("load_reports")["own alone"])) is None


def test_handover_messages_are_decoded() -> None:
    stored = golden_bytes("handover_messages")
    for name, message in handover.handover_messages().items():
        assert handover.decode_handover_message(stored[name]) == message, name
        assert type(handover.decode_handover_message(stored[name])) is type(message)


def test_handover_records_are_decoded() -> None:
    stored = golden_bytes("handover_records")
    for name, record in handover.records().items():
        assert unpack_record(stored[name]) == record, name


def test_stored_calls_are_decoded() -> None:
    stored = golden_bytes("stored_calls")
    submission: ReplicatedCall = msgspec.msgpack.decode(stored["submission"], type=ReplicatedCall)
    body = b"a body\0\xff".hex()
    assert plain(submission) == [
        "00000000b4d65521", "solution-submit", "plus", 1.5, 4, 2, "5c0f6e1a2b3d4c59", body
    ]  # fmt: skip
    read: ReplicatedCall = msgspec.msgpack.decode(stored["read"], type=ReplicatedCall)
    assert plain(read) == ["0000000000000001", "grid-fetch", "base", 1.0, 1, 0, "", None]


@pytest.mark.parametrize("name", store.STORES)
def test_store_files_equal_the_golden_files(name: str, tmp_path: Path) -> None:
    store.write_store(name, tmp_path / name)
    written = store.files_of(tmp_path / name)
    assert len(written) == 2
    assert written == store.files_of(FOLDER / f"store_{name}")


@pytest.mark.parametrize("name", store.STORES)
def test_a_golden_store_opens_and_accepts_changes(name: str, tmp_path: Path) -> None:
    folder = copy_store(name, tmp_path)
    rows, position, faults, identity = store.read_contents(folder)
    assert rows == store.STORES[name]
    assert position == {"two_generations": 8, "compacted": 12}[name]
    assert not faults
    assert len(identity) == 8
    reopened = Store(OsFileSystem(folder), "edge-1")
    assert reopened.entries == store.STORES[name]
    reopened.put(b"today", b"1")
    reopened.close()
    updated = rows | {b"today": b"1"}
    assert store.read_contents(folder) == (updated, position + 1, [], identity)


def test_a_store_with_a_torn_end_keeps_the_rows_before_it(tmp_path: Path) -> None:
    folder = copy_store("two_generations", tmp_path)
    last = sorted(folder.glob("log-*"))[-1]
    last.write_bytes(last.read_bytes()[:-1])
    rows, position, faults, _ = store.read_contents(folder)
    assert position == 7
    assert rows == {k: v for k, v in store.STORES["two_generations"].items() if k != b"new"}
    assert len(faults) == 1
    assert faults[0].startswith(f"{last.name}: torn at byte ")


@pytest.mark.parametrize("kind", ["counter keys", "shed ranks"])
def test_derived_values_differ_by_customer_and_time(kind: str) -> None:
    """Guards against a key or rank that ignores either: it would match the golden file too."""
    rows = [golden("derived")[f"{kind} of {name}"] for name in CUSTOMERS]
    for at in range(len(TIMES)):
        assert count_distinct([entry[at] for entry in rows]) == len(rows)
    for entry in rows:
        assert count_distinct(entry) >= 3


@pytest.mark.parametrize("kind", ["probers", "ring points"])
def test_derived_values_differ_by_backend(kind: str) -> None:
    rows = [value for name, value in golden("derived").items() if name.startswith(kind)]
    assert len(rows) == 3
    assert count_distinct(rows) == 3


@pytest.mark.parametrize("protocol", protocols.CLIENT_PROTOCOLS)
def test_each_protocol_accepts_some_requests_and_rejects_others(protocol: str) -> None:
    """Guards against a protocol that rejects everything: it would match the golden file too."""
    _, requests = protocols.CLIENT_PROTOCOLS[protocol]
    kinds = [golden(f"clients_{protocol}")[case][0] for case in requests]
    assert kinds.count("invalid") >= 8
    assert kinds.count("malformed") >= 2
    assert len(kinds) - kinds.count("invalid") - kinds.count("malformed") >= 5


@pytest.mark.parametrize("protocol", protocols.BACKEND_ANSWERS)
def test_each_protocol_distinguishes_the_outcomes_of_attempts(protocol: str) -> None:
    stored = [
        golden(f"backends_{protocol}")[f"hears {case}"]
        for case in protocols.BACKEND_ANSWERS[protocol]
    ]
    assert stored.count("malformed") >= 2
    results = [result for entry in stored if entry != "malformed" for result in entry[0] if result]
    assert {result[0] for result in results} == {"ok", "full", "error"}


def test_the_simulation_covers_faults() -> None:
    stored = golden("simulation")
    for case in ("instances die", "a zone is lost, with gossip"):
        assert stored[case]["served"] > 0
        assert stored[case]["refused"] > 0
        assert stored[case]["unreached"] > 0


def test_the_simulator_covers_forwarding_rejection_and_failure() -> None:
    kinds = golden("simulator_lines")["kinds"]
    assert kinds["CallOut"] > 100
    for kind in ("Abort", "Decline", "Remind", "Tally", "Record"):
        assert kinds[kind] > 0, kind


def test_the_handover_covers_each_kind_of_decision() -> None:
    verdicts = [decision[2][1] for decision in golden("coordination")["decisions"]]
    assert {"go", "done", "come_back", "clash"} <= set(verdicts)


def test_key_affinity_covers_each_kind_of_constraint() -> None:
    counts = golden("affinity")["counts"]
    assert set(counts) == {"held-back", "held-home", "held-seen", "moved-home", "unsure"}
    assert count_distinct(golden("affinity")["later"]) == 2
