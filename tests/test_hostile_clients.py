"""Clients that misuse their connections neither exhaust the memory nor keep others from answers."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import pytest

from ingress.core.call_limits import MAX_KEY_LENGTH, CallLimits
from ingress.core.calls import InvalidCallError
from ingress.resp.client_protocol import make_client_protocol
from ingress.resp.command_decoder import MAX_FIELDS
from ingress.transport.client_connection import ClientConnection
from ingress.transport.turn_queue import MAX_TURNS_PER_ITERATION, TurnQueue
from tests.peers import Address, Caller, backend, command, config, resp, run
from tests.support.front_ends import FRONT_ENDS
from tests.support.processes import LEAST_MEMORY_MB, ROOT, Instance, limited_instance

HOSTILE_SECONDS = 4.0
SAMPLE_INTERVAL_S = 0.05
REQUEST_INTERVAL_S = 0.05
TIMEOUT_S = 2.0  # of the judged requests
LATENESS_ALLOWED_S = 0.5  # a later answer counts as lost
MIN_SERVED_SHARE = 0.5


class WellBehavedClient:
    """A client that sends one request after another, each on a new connection.

    Attributes:
        served: The number of requests that a backend served.
        answered: The number of requests with a final response in time.
        unanswered: Descriptions of the others.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.served = 0
        self.answered = 0
        self.unanswered: list[str] = []

    async def run(self) -> None:
        number = 0
        while True:
            number += 1
            await self._request(f"good{number}")
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _request(self, request_id: str) -> None:
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(TIMEOUT_S + LATENESS_ALLOWED_S):
                caller = await Caller.connect(self.address)
                answer = await caller.request(command(request_id, customer=(1 << 33) - 1))
        except (OSError, EOFError, TimeoutError) as error:
            after = time.monotonic() - started_at
            self.unanswered.append(f"{request_id}: {type(error).__name__} after {after:.3f} s")
            return
        caller.writer.close()
        self.answered += 1
        self.served += answer == request_id.encode()


async def _peak_memory_mb(instance: Instance, attack: asyncio.subprocess.Process) -> float:
    """Returns the instance's greatest anonymous memory until the hostile clients end."""
    peak = 0.0
    while attack.returncode is None:
        assert instance.process.poll() is None, "the process ended by itself"
        peak = max(peak, instance.anonymous_memory_mb())
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    return peak


async def _withstand(behaviour: str, front_end: str, directory: Path) -> None:
    """Asserts that an instance keeps its memory limit and answers another client in time."""
    listener = FRONT_ENDS[front_end].listener
    async with (
        backend() as peer,
        limited_instance(peer.address, directory, listener > 0) as instance,
    ):
        port = instance.addresses[listener][1]
        attack = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tests.support.hostile_clients"),
            *(behaviour, front_end, str(port), str(HOSTILE_SECONDS)),
            cwd=ROOT,
        )
        client = WellBehavedClient(instance.addresses[0])
        running = asyncio.create_task(client.run())
        try:
            peak = await _peak_memory_mb(instance, attack)
        finally:
            running.cancel()
            if attack.returncode is None:
                attack.kill()
        assert attack.returncode == 0
        assert peak <= LEAST_MEMORY_MB
        assert not client.unanswered
        assert client.answered
        assert client.served >= MIN_SERVED_SHARE * client.answered


def test_clients_that_send_short_fields_at_full_speed_do_not_delay_others(tmp_path: Path) -> None:
    """Guards against another client's request without an answer while many keep the loop busy."""
    run(_withstand("short_fields_at_full_speed", "resp2-v1", tmp_path))


@pytest.mark.parametrize("front_end", FRONT_ENDS)
@pytest.mark.parametrize(
    "behaviour", ["write_slowly", "stop_half_way", "short_fields", "read_nothing"]
)
def test_hundreds_of_slow_clients_do_not_exhaust_the_memory(
    behaviour: str, front_end: str, tmp_path: Path
) -> None:
    """Guards against kills for memory by clients that stop half way, trickle, or do not read."""
    run(_withstand(behaviour, front_end, tmp_path))


@pytest.mark.parametrize("front_end", FRONT_ENDS)
@pytest.mark.parametrize("behaviour", ["small", "unsound", "new_customers"])
def test_a_flood_on_one_connection_does_not_delay_other_clients(
    behaviour: str, front_end: str, tmp_path: Path
) -> None:
    """Guards against one connection that keeps the event loop busy or makes memory grow."""
    run(_withstand(behaviour, front_end, tmp_path))


def test_an_incomplete_command_is_held_once() -> None:
    """Guards against a second copy of the words of each incomplete command."""
    protocol = make_client_protocol(config().settings)()
    data = resp(b"API.WRITE", b"x" * 1000, b"y" * 1000)
    assert protocol.find_frame_end(data[:-1], 0) == -1
    assert protocol.words == []
    assert protocol.find_frame_end(data, 0) == len(data)
    assert len(protocol.words) == 3


def test_rejects_a_command_with_very_many_fields_before_it_decodes_them() -> None:
    """Guards against decoding that takes a hundred times the time and memory of the bytes."""
    decoder = make_client_protocol(config().settings)().commands
    words = [b"API.READ", b"%016x" % 7, b"r1", b"c=read,t=basic,d=1000" + b",a=" * MAX_FIELDS]
    with pytest.raises(InvalidCallError, match=f"more than {MAX_FIELDS} names"):
        decoder.decode(b"API.READ", words)


def test_rejects_an_idempotency_key_of_unlimited_length() -> None:
    """Guards against tables of keys whose size depends on what clients send."""
    limits = CallLimits(config().settings)
    fields = {"c": "order", "t": "basic", "d": "1000", "k": "k" * MAX_KEY_LENGTH}
    assert limits.read(fields, is_write=True)
    with pytest.raises(InvalidCallError, match="longer than"):
        limits.read(fields | {"k": fields["k"] + "k"}, is_write=True)


class WaitingConnection:
    """A connection that records its turns."""

    def __init__(self, number: int, served: list[int]) -> None:
        self.number = number
        self.served = served

    def take_turn(self) -> None:
        self.served.append(self.number)


@pytest.mark.interpreted
def test_a_closed_connection_leaves_the_queue_of_turns() -> None:
    """Guards against closed connections that stay in memory while others keep the queue full."""
    served: list[int] = []
    count = 3 * MAX_TURNS_PER_ITERATION
    connections = [WaitingConnection(number, served) for number in range(count)]
    callbacks: list[Callable[[], None]] = []
    loop = SimpleNamespace(call_soon=callbacks.append)
    turns = TurnQueue(cast("asyncio.AbstractEventLoop", loop))
    for connection in connections:
        turns.add(cast("ClientConnection", connection))
    for connection in connections[: 2 * MAX_TURNS_PER_ITERATION]:
        turns.remove(cast("ClientConnection", connection))
    callbacks.pop()()
    assert not turns.waiting
    assert served == list(range(2 * MAX_TURNS_PER_ITERATION, count))
