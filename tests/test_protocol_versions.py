"""Protocol versions without I/O: declarations, pairs, key conversion and grouping."""

from __future__ import annotations

import json
import random
from dataclasses import replace
from uuid import UUID

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from ingress.core.calls import Call
from ingress.policy.events import Backend, Outcome, Readiness
from ingress.policy.settings import (
    DeduplicationScope,
    Plan,
    RequestClass,
    RetrySemantics,
    Settings,
)
from ingress.protocol_versions import http_v2
from ingress.protocol_versions.__main__ import main
from ingress.protocol_versions.declaration import (
    ResponseMeaning,
    UnknownProtocolVersionError,
    protocol_version,
    protocol_versions,
    register,
)
from ingress.protocol_versions.groups import Grouping, policy_settings
from ingress.protocol_versions.keys import check_classes, key_of, uuid_of
from ingress.protocol_versions.pairs import FALLBACKS, Fidelity, table

KEYS = st.from_regex(r"\A[0-9a-f]{16}\Z")
CUSTOMERS = st.from_regex(r"\A0{7}[01][0-9a-f]{8}\Z")
CLASSES = st.sampled_from(["solution-submit", "order", "pay"])


@given(KEYS, CUSTOMERS, CLASSES)
def test_a_hex_key_is_recovered_from_its_uuid(key: str, customer: str, class_name: str) -> None:
    uuid = uuid_of(key, customer, class_name)
    assert uuid.version == 8 and str(uuid) == str(UUID(str(uuid)))
    assert key_of(uuid, customer, class_name) == key and uuid_of(key, customer, class_name) == uuid


@given(
    st.lists(
        st.tuples(st.text(max_size=20), st.text(max_size=20), CLASSES), unique=True, max_size=30
    )
)
def test_other_keys_get_distinct_uuids(submissions: list[tuple[str, str, str]]) -> None:
    assert len({uuid_of(*submission) for submission in submissions}) == len(submissions)


def test_keys_that_differ_in_case_or_word_boundary_get_distinct_uuids() -> None:
    customer = "00000000b4d65521"
    assert uuid_of("5C0F6E1A2B3D4C59", customer, "order") != uuid_of(
        "5c0f6e1a2b3d4c59", customer, "order"
    )
    assert uuid_of("ab", "c", "order") != uuid_of("a", "bc", "order")


def test_a_uuid_maps_back_to_its_key_only_with_its_customer_and_class() -> None:
    uuid = uuid_of("0" * 16, "0" * 16, "order")
    assert key_of(uuid, "0" * 16, "order") == "0" * 16
    assert key_of(uuid, "0" * 15 + "1", "order") != "0" * 16 != key_of(uuid, "0" * 16, "pay")


def test_a_million_submissions_get_distinct_keys_in_both_directions() -> None:
    """Uses similar inputs (consecutive keys, few customers, three classes) and foreign UUIDs."""
    rng, count = random.Random(5), 1_000_000
    uuids = {
        uuid_of(
            f"{n // 12:016x}", f"{n % 4:016x}", ("order", "pay", "solution-submit")[n // 4 % 3]
        ).int
        for n in range(count)
    }
    assert len(uuids) == count
    keys = {
        key_of(UUID(int=rng.getrandbits(128), version=4), "0" * 16, "order") for _ in range(count)
    }
    assert len(keys) == count


def test_rejects_classes_that_share_a_tag() -> None:
    check_classes(["grid-fetch", "solution-submit"])
    tags: dict[int, str] = {}
    from ingress.protocol_versions.keys import _tag

    for n in range(100_000):
        other = tags.setdefault(_tag(f"class-{n}"), f"class-{n}")
        if other != f"class-{n}":
            with pytest.raises(ValueError, match=f"classes {other} and class-{n}"):
                check_classes(["x", other, f"class-{n}"])
            return
    raise AssertionError("found no two classes with the same tag")


def test_every_backend_response_can_be_reported_to_every_client() -> None:
    for client in protocol_versions().values():
        for server in protocol_versions().values():
            rows = table(client, server)
            assert {meaning.value for meaning in server.backend_meanings} <= {
                row.feature for row in rows
            }
            for meaning in (
                server.backend_meanings - client.client_meanings - {ResponseMeaning.UNASKED}
            ):
                assert FALLBACKS[meaning][0] in client.client_meanings
    same = table(protocol_version("resp2-v1"), protocol_version("resp2-v1"))
    assert all(row.fidelity is Fidelity.CARRIED for row in same)


def test_a_request_that_may_have_run_is_never_reported_as_rejected() -> None:
    assert {
        meaning
        for meaning, (fallback, _) in FALLBACKS.items()
        if fallback is ResponseMeaning.REFUSED
    } == {ResponseMeaning.REFUSED_UNTIL}


def test_explain_prints_the_table_with_its_marks(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["explain", "resp2-v1", "http-v2"]) == 0
    text = capsys.readouterr().out
    assert "~  key memory" in text and "x  accepted, the result comes later" in text
    assert main(["explain", "resp2-v1", "http-v2", "--json"]) == 0
    rows = json.loads(capsys.readouterr().out)
    assert {"feature", "client", "server", "fate", "becomes"} == set(rows[0])
    assert main(["explain", "resp2-v1", "gopher"]) == 2
    assert (
        "'gopher' is not a known dialect; known dialects: http-v2, resp2-v1, resp3-v2"
        in capsys.readouterr().err
    )
    assert main(["list"]) == 0 and "http-v2" in capsys.readouterr().out


def test_a_name_is_registered_once() -> None:
    with pytest.raises(ValueError, match="dialect already registered: http-v2"):
        register(replace(protocol_version("http-v2"), is_chunked=False))
    with pytest.raises(UnknownProtocolVersionError):
        protocol_version("nope")


CALL = Call(
    b"r1",
    "00000000b4d65521",
    "solution-submit",
    "base",
    2.0,
    1.0,
    1,
    0,
    False,
    True,
    "0" * 16,
    b"\x00\xff",
)


@pytest.mark.parametrize(
    "change",
    [
        {"client_request_id": b"r1\r\nX-Evil: 1"},
        {"customer": "7\r\nHost: x"},
        {"plan": "base\nx"},
        {"client_request_id": "r\u00e9".encode()},
        {"plan": "ba se"},
        {"customer": "7\x00"},
    ],
)
def test_rejects_calls_that_would_inject_http_fields(change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match="not allowed in an HTTP field"):
        http_v2.encode_request(replace(CALL, **change), 1.0, "grid.internal")  # type: ignore[arg-type]


@given(st.text(max_size=40), st.binary(max_size=200), st.text(min_size=1, max_size=30))
def test_arbitrary_keys_bodies_and_classes_inject_no_http_fields(
    key: str, body: bytes, class_name: str
) -> None:
    call = replace(CALL, idempotency_key=key, body=body, request_class=class_name)
    head, _, content = http_v2.encode_request(call, 0.48, "grid.internal").partition(b"\r\n\r\n")
    lines = head.decode("ascii").split("\r\n")
    assert len(lines) == 1 + (9 if key else 8) and f"Content-Length: {len(content)}" in lines
    assert "Grid-Deadline-Ms: 480" in lines and json.loads(content)["class"] == class_name
    read_lines = http_v2.encode_request(replace(call, is_write=False), 0.48, "grid.internal").split(
        b"\r\n"
    )
    assert read_lines[0].count(b" ") == 2 and read_lines[-2:] == [b"", b""] and len(read_lines) == 9


@pytest.mark.parametrize(
    ("status", "problem", "outcome", "final"),
    [
        (200, "", Outcome.OK, False),
        (202, "", Outcome.ERROR, True),
        (307, "", Outcome.ERROR, True),
        (400, "", Outcome.ERROR, True),
        (409, "", Outcome.ERROR, False),
        (409, "key-conflict", Outcome.ERROR, True),
        (409, "key-in-progress", Outcome.ERROR, False),
        (425, "", Outcome.OVERLOADED, False),
        (429, "", Outcome.OVERLOADED, False),
        (500, "", Outcome.ERROR, False),
        (503, "", Outcome.ERROR, False),
        (503, "not-started", Outcome.OVERLOADED, False),
        (503, "other", Outcome.ERROR, False),
        (599, "", Outcome.ERROR, False),
        (204, "", Outcome.ERROR, False),
    ],
)
def test_maps_a_status_to_an_outcome(
    status: int, problem: str, outcome: Outcome, final: bool
) -> None:
    mapped = http_v2.status_meaning(status, problem)
    assert mapped.outcome is outcome and (mapped.final_response is not None) is final
    # Only a response that proves that nothing ran may become a rejection.
    assert (mapped.outcome.never_ran) is (mapped.meaning is ResponseMeaning.REFUSED)


@pytest.mark.parametrize(
    "body", [b"", b"[1]", b"null", b'{"type": 3}', b"{" * 5000, b'{"type": "urn:x"}', b"\xff"]
)
def test_malformed_problem_details_count_as_missing(body: bytes) -> None:
    assert http_v2.status_meaning(503, http_v2.problem_type(body)) == http_v2.status_meaning(
        503, ""
    )


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"null",
        b"{}",
        b'{"id": "r1"}',
        b'{"id": "r2", "value": ""}',
        b'{"id": "r1", "value": "!"}',
        b'{"id": "r1", "value": 3}',
        b"[" * 50_000,
    ],
)
def test_rejects_a_200_response_without_the_value_of_the_request(body: bytes) -> None:
    with pytest.raises(ValueError):
        http_v2.value(body, b"r1")


def grouping(scope: DeduplicationScope = DeduplicationScope.ALL) -> Grouping:
    memories = {"resp2-v1": "v1", "http-v2": "v2"}
    return Grouping("resp2-v1", {"new": "http-v2"}, {9: "http-v2"}, memories, scope)


def test_versions_get_separate_cells_and_a_rule_for_a_cell_overrides_one_for_a_kind() -> None:
    resp_backend, http_backend, http_backend_by_cell = grouping().translate(
        (Backend("a", cell=1), Backend("b", kind="new", cell=1), Backend("c", cell=9)), True
    )
    assert (resp_backend.id, http_backend.id, http_backend_by_cell.id) == (
        "a#resp2-v1",
        "b#http-v2",
        "c#http-v2",
    )
    assert resp_backend.cell != http_backend.cell == http_backend_by_cell.cell


@pytest.mark.parametrize(
    ("scope", "cell_count"),
    [(DeduplicationScope.ALL, 1), (DeduplicationScope.ZONE, 2), (DeduplicationScope.CELL, 3)],
)
def test_a_narrower_deduplication_scope_stays_narrower(
    scope: DeduplicationScope, cell_count: int
) -> None:
    backends = tuple(Backend(f"s{n}", zone="ab"[n % 2], cell=n % 3) for n in range(12))
    assert (
        len({backend.cell for backend in grouping(scope).translate(backends, True)}) == cell_count
    )


def test_a_backend_that_changes_its_version_is_removed_under_its_former_id() -> None:
    groups = grouping()
    groups.translate((Backend("a", kind="old"),), True)
    removed, added = groups.translate((Backend("a", kind="new"),), False)
    assert removed.id == "a#resp2-v1" and removed.readiness is Readiness.REMOVED
    assert (
        added.id == "a#http-v2"
        and added.readiness is Readiness.READY
        and added.cell != removed.cell
    )
    [draining] = groups.translate((Backend("a", kind="new", readiness=Readiness.DRAINING),), False)
    assert draining.id == "a#http-v2" and draining.readiness is Readiness.DRAINING


UPDATES = st.tuples(
    st.integers(0, 5),
    st.sampled_from(["old", "new"]),
    st.sampled_from(list(Readiness)),
    st.booleans(),
)


@given(st.lists(UPDATES, max_size=60))
@settings(max_examples=200)
def test_each_backend_has_one_active_id_and_the_tables_stay_bounded(
    updates: list[tuple[int, str, Readiness, bool]],
) -> None:
    groups, entries = grouping(), dict[str, Backend]()
    for number, kind, readiness, complete in updates:
        changes = groups.translate(
            (Backend(f"s{number}", kind=kind, readiness=readiness),), complete
        )
        entries = {} if complete else entries
        entries |= {backend.id: backend for backend in changes}
        active = [
            name.partition("#")[0]
            for name, backend in entries.items()
            if backend.readiness is not Readiness.REMOVED
        ]
        assert len(active) == len(set(active))
        assert len(groups.version_by_backend) <= 6 and len(groups.policy_backends) <= 6


def test_policy_settings_use_the_cell_as_the_deduplication_scope() -> None:
    keyed_class = RequestClass(
        "order", 1.0, 2.0, semantics=RetrySemantics.IDEMPOTENCY_KEY, deduplication_window=4.0
    )
    translated = policy_settings(
        Settings((RequestClass("read", 1.0, 2.0), keyed_class), (Plan("p"),))
    )
    assert [request_class.deduplication_scope for request_class in translated.classes] == [
        DeduplicationScope.ALL,
        DeduplicationScope.CELL,
    ]
