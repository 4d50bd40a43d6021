"""Counter keys: their size and the time at which they change."""

from __future__ import annotations

from ingress.policy.counter_keys import EPOCH_S, counter_key, epoch_offset, key_number


def test_keys_fit_the_protocol_and_change_once_per_epoch() -> None:
    numbers = [key_number(f"{n:016x}") for n in range(5000)]
    assert len(set(numbers)) == 5000
    assert max(numbers) < 2**55
    for number in numbers[:200]:
        key, start = counter_key(number, 1000.0)
        assert 0 <= key < 2**63
        assert len(str(key)) <= 64
        assert start <= 1000.0 < start + EPOCH_S
        assert counter_key(number, start + EPOCH_S - 0.01) == (key, start)
        assert counter_key(number, start + EPOCH_S + 0.01)[0] != key


def test_keys_of_different_customers_change_at_different_times() -> None:
    numbers = [key_number(f"{n:016x}") for n in range(200)]
    starts = {round(counter_key(number, 1000.0)[1] % EPOCH_S, 1) for number in numbers}
    assert len(starts) > 100
    assert all(0.0 <= epoch_offset(number) < 1.0 for number in numbers)


def test_customers_with_equal_crc32_have_different_keys() -> None:
    assert key_number("plumless") != key_number("buckeroo")  # the crc32 of both is 4ddb0c25
