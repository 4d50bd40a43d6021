"""The membership protocol in virtual time, with members that crash, stall, restart or partition."""

from __future__ import annotations

from itertools import permutations, product
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ingress.membership.member_state import PRECEDENCE, MemberState, supersedes
from ingress.membership.messages import (
    MAX_DATAGRAM_BYTES,
    Codec,
    MalformedMessageError,
    MemberUpdate,
    Message,
    MessageKind,
)
from ingress.membership.settings import SwimSettings
from ingress.membership.swim import SwimProtocol
from ingress.simulation.membership_network import MembershipNetwork

KEY = bytes(range(16))
ALL = {f"m{n}" for n in range(12)}


def converged(count: int = 12, seed: int = 1, **rates: float) -> MembershipNetwork:
    network = MembershipNetwork(count, seed, **rates)
    network.run_until(lambda: network.has_converged({f"m{n}" for n in range(count)}), 20.0)
    return network


# Precedence


def test_precedence_covers_all_states_and_the_order_of_updates_does_not_matter() -> None:
    assert set(PRECEDENCE) == set(product(MemberState, MemberState))
    rows = [(state, incarnation) for state in MemberState for incarnation in (1, 2)]
    for updates in permutations(rows, 3):
        final_states = set()
        for order in permutations(updates):
            current = order[0]
            for received in (*order[1:], *order):  # each update arrives twice
                if supersedes(*received, *current):
                    current = received
            final_states.add(current)
        assert len(final_states) == 1, updates


# Datagrams


def message(updates: int = 3, payloads: int = 2) -> Message:
    return Message(
        MessageKind.PING,
        "m1",
        7,
        "",
        [MemberUpdate(f"m{n}", "127.0.0.1", 1000 + n, 1, 5) for n in range(updates)],
        [b"r" * 60 for _ in range(payloads)],
    )


def test_a_datagram_is_decoded_with_any_of_the_keys_and_bounded() -> None:
    old = Codec({1: KEY}, 1)
    both = Codec({1: KEY, 2: KEY[::-1]}, 2)
    new = Codec({2: KEY[::-1]}, 2)
    assert both.decode(old.encode(message())) == message() == new.decode(both.encode(message()))
    with pytest.raises(MalformedMessageError, match="key 2 is unknown"):
        old.decode(new.encode(message()))
    full = old.encode(
        Message(MessageKind.PUSH_STATE, "m1", 1, "", message(24).updates, [b"r" * 500] * 20)
    )
    assert len(full) <= MAX_DATAGRAM_BYTES
    assert len(old.decode(full).updates) == 24


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 10_000), st.integers(1, 255), st.binary(max_size=1300))
def test_altered_truncated_and_random_datagrams_are_rejected(
    position: int, flip: int, noise: bytes
) -> None:
    codec = Codec({1: KEY}, 1)
    data = bytearray(codec.encode(message()))
    data[position % len(data)] ^= flip
    for datagram in (bytes(data), noise, bytes(data[: position % len(data)])):
        with pytest.raises(MalformedMessageError):
            codec.decode(datagram)


@pytest.mark.parametrize(
    "bad",
    [
        Message(9, "m1", 1),
        Message(MessageKind.PING, "", 1),
        Message(MessageKind.PING, "x" * 65, 1),
        Message(MessageKind.PING, "m1", -1),
        Message(MessageKind.PING, "m1", 1, "", [MemberUpdate("m2", "h", 0, 1, 1)]),
        Message(MessageKind.PING, "m1", 1, "", [MemberUpdate("m2", "h", 1, 5, 1)]),
        Message(MessageKind.PING, "m1", 1, "", [MemberUpdate("m2", "h", 1, 1, -1)]),
        Message(MessageKind.PING, "m1", 1, "", [], [b"r" * 513]),
        Message(MessageKind.PING, "m1", 1, "", message(25).updates),
    ],
)
def test_values_out_of_range_in_authenticated_datagrams_are_rejected(bad: Message) -> None:
    codec = Codec({1: KEY}, 1)
    with pytest.raises(MalformedMessageError):
        codec.decode(codec.encode(bad))


@pytest.mark.parametrize(
    ("keys", "active_key"),
    [({1: KEY}, 2), ({1: b"short"}, 1), ({256: KEY}, 256), ({1: KEY * 9}, 1)],
)
def test_invalid_keys_are_rejected_without_showing_them(
    keys: dict[int, bytes], active_key: int
) -> None:
    with pytest.raises(ValueError, match=r"^key \d+") as error:
        Codec(keys, active_key)
    assert "short" not in str(error.value)


# Membership


@pytest.mark.parametrize("seed", range(5))
def test_thirty_members_started_at_once_discover_each_other(seed: int) -> None:
    network = MembershipNetwork(30, seed)
    names = {f"m{n}" for n in range(30)}
    assert network.run_until(lambda: network.has_converged(names), 10.0) < 6.0


@pytest.mark.parametrize("seed", range(5))
def test_half_of_the_members_killed_at_once_are_declared_dead(seed: int) -> None:
    network = converged(12, seed)
    for n in range(6):
        network.kill(n)
    survivors = {f"m{n}" for n in range(6, 12)}
    network.run_until(
        lambda: all(
            not {f"m{n}" for n in range(6)} & set(x.reachable_names())
            for x in network.live_members()
        ),
        25.0,
    )
    assert network.has_converged(survivors)
    assert all(x.recently_dead(network.now, 30.0) == 6 for x in network.live_members())


@pytest.mark.parametrize("seed", range(4))
def test_losing_and_duplicating_a_tenth_of_datagrams_declares_no_member_dead(seed: int) -> None:
    network = converged(12, seed, loss=0.1, duplication=0.1)
    network.run(60.0)
    assert network.lost > 200
    assert network.duplicated > 200
    assert network.has_converged(ALL)
    assert not any(x.counts.declared_dead for x in network.live_members())


@pytest.mark.parametrize("seed", range(5))
def test_a_stalled_member_declares_no_other_dead_and_is_alive_again_after_the_stall(
    seed: int,
) -> None:
    network = converged(12, seed)
    network.stall(3)
    network.run_until(
        lambda: all(
            "m3" not in x.reachable_names() for x in network.live_members() if x.name != "m3"
        ),
        25.0,
    )
    network.run(2.0)
    network.resume(3)
    stalled = network.members[3]
    assert stalled is not None
    assert stalled.counts.stalls == 1
    assert not stalled.recovered_from_stall(network.now)
    network.run_until(lambda: network.has_converged(ALL), 10.0)
    assert stalled.counts.declared_dead == 0
    assert stalled.recovered_from_stall(network.now + 5.0)
    assert all(x.counts.declared_dead <= 1 for x in network.live_members())  # only m3


@pytest.mark.parametrize("seed", range(5))
def test_the_halves_of_a_healed_partition_merge(seed: int) -> None:
    network = converged(12, seed)
    network.is_partitioned = lambda a, b: (a < 6) != (b < 6)
    network.run_until(
        lambda: all(len(x.reachable_names()) == 5 for x in network.live_members()), 30.0
    )
    assert network.partitioned > 50
    network.run(10.0)
    network.is_partitioned = lambda a, b: False
    network.run_until(lambda: network.has_converged(ALL), 30.0)


@pytest.mark.parametrize("seed", range(4))
def test_a_path_that_fails_in_one_direction_declares_no_member_dead(seed: int) -> None:
    network = converged(12, seed)
    network.is_partitioned = lambda a, b: a == 2 and b == 5
    network.run(60.0)
    assert network.partitioned > 5
    assert network.has_converged(ALL)
    assert not any(x.counts.declared_dead for x in network.live_members())


def test_a_member_that_leaves_gracefully_is_not_suspected() -> None:
    network = converged(12)
    leaving = network.members[4]
    assert leaving is not None
    before = sum(x.counts.suspected for x in network.live_members())
    network.send(4, leaving.leave(network.now))
    network.kill(4)
    network.run_until(lambda: network.has_converged(ALL - {"m4"}), 3.0)
    assert sum(x.counts.suspected for x in network.live_members()) == before


def test_a_member_restarted_under_its_name_is_alive_within_six_seconds() -> None:
    network = converged(12)
    network.kill(7)
    network.run(1.0)
    network.start(7)
    network.run_until(lambda: network.has_converged(ALL), 6.0)


def test_a_slow_member_does_not_declare_healthy_members_dead() -> None:
    network = converged(12)
    network.tick_delay[5] = 0.9  # ticks once per second
    network.run(60.0)
    assert sum(x.counts.declared_dead for x in network.live_members()) == 0
    slow, healthy = network.members[5], network.members[6]
    assert slow is not None
    assert healthy is not None
    assert slow.detector.counts.probes < healthy.detector.counts.probes * 0.7


def test_replayed_messages_neither_remove_nor_add_members() -> None:
    network = converged(12)
    recorded: list[Message] = []
    deliver = network.deliver

    def record(sender: int, receiver: int, message: Message) -> None:
        recorded.append(message)
        deliver(sender, receiver, message)

    network.deliver = record  # type: ignore[method-assign]
    network.stall(3)
    network.run(20.0)
    network.resume(3)
    network.run_until(lambda: network.has_converged(ALL), 10.0)
    before = {
        x.name: sorted((y.name, y.state, y.incarnation) for y in x.table.members.values())
        for x in network.live_members()
    }
    assert len(recorded) > 500
    assert any(n.state == MemberState.DEAD for x in recorded for n in x.updates)
    rng = Random(3)
    for _ in range(3000):
        network.deliver(rng.randrange(12), rng.randrange(12), rng.choice(recorded))
    network.run(5.0)
    assert network.has_converged(ALL)
    for x in network.live_members():
        assert [row[0] for row in before[x.name]] == sorted(
            y.name for y in x.table.members.values()
        )


def test_members_with_two_datagram_formats_interoperate() -> None:
    network = converged(6)
    for n in range(3):
        network.kill(n)
        network.run(0.5)
        network.start(n, max_format=2)
    network.run_until(lambda: network.has_converged({f"m{n}" for n in range(6)}), 20.0)
    old = network.members[5]
    assert old is not None
    assert sorted(x.max_format for x in old.table.members.values()) == [1] * 2 + [2] * 3


def test_a_member_wrongly_declared_dead_refutes_with_a_higher_incarnation() -> None:
    member = SwimProtocol("a", ("127.0.0.1", 1), 5, [], Random(1), SwimSettings())
    member.receive(
        1.0,
        ("127.0.0.1", 2),
        Message(
            MessageKind.PING, "b", 1, "", [MemberUpdate("a", "127.0.0.1", 1, MemberState.DEAD, 5)]
        ),
    )
    assert member.incarnation == 6
    assert member.counts.refuted == 1
    [(_, reply)] = member.receive(1.1, ("127.0.0.1", 2), Message(MessageKind.PING, "b", 2))
    assert {(n.name, n.state, n.incarnation) for n in reply.updates} == {
        ("a", MemberState.ALIVE, 6)
    }


def test_memory_for_members_relays_and_payloads_is_bounded_under_a_flood() -> None:
    member = SwimProtocol("a", ("127.0.0.1", 1), 5, [], Random(1), SwimSettings(max_members=50))
    for n in range(400):
        member.receive(
            1.0,
            ("127.0.0.1", 2),
            Message(
                MessageKind.PING_REQ,
                f"b{n}",
                n,
                "b0",
                [MemberUpdate(f"b{n}", "127.0.0.1", 9, MemberState.ALIVE, 1)],
                [b"x"] * 24,
            ),
        )
    assert len(member.table) == 50
    assert len(member.detector.relays) <= 256
    assert len(member.received_payloads) <= 96
