"""Fleets with handover for tests: clients that submit and retry at chosen instances."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import uvloop

from ingress.handover.messages import record_name
from ingress.handover.replica import replicas_for
from ingress.testbed.backend_server import GridServer
from ingress.testbed.client_codecs import RequestFields, RespClientCodec
from ingress.testbed.deployment import Deployment
from ingress.testbed.handover_fleet import HandoverLinks
from ingress.testbed.invariant_checker import Verdict, judge
from ingress.testbed.record import Arrival, Try
from ingress.testbed.scenario import Scenario
from ingress.testbed.world import World
from tests.fleet_harness import read_counts

FIRST_SUBMISSION_NUMBER = 1_000_000  # in the record, for the submissions of these clients
REQUEST_ID_SUFFIX = "7e577e57"  # marks the requests of these clients
KEY_PREFIX = 0x7E57  # marks the idempotency keys of these clients
COPIES = 2  # default of [handover]
EVENT_TIMEOUT_S = 30.0  # long enough for a busy machine
CASE_TIMEOUT_S = 120.0
FAULTY = f"exec {sys.executable} -m tests.faulty"  # command that starts an instance with a fault
request_numbers = itertools.count(1)


def customer_of(key: str) -> str:
    """Returns the customer of a submission, one per submission so that no quota interferes."""
    return f"{int(key[-8:], 16):016x}"


@dataclass
class ClientOutcome:
    """The outcome of one attempt of a client.

    `kind`: served, refused, failed, or broken if the connection was lost; `retry_after`: seconds.
    """

    kind: str
    value: bytes = b""
    retry_after: float = 0.0


def _work_time(server: GridServer, factor: float, name: str) -> float:
    work_time = GridServer.work(server, name)
    if factor > 1.0 and name.endswith(REQUEST_ID_SUFFIX):
        return max(0.1, work_time) * factor
    return work_time


@dataclass
class HandoverFleet:
    """A running testbed whose instances use handover."""

    world: World
    crew: HandoverLinks
    keys: set[str] = field(default_factory=set)

    def new_key(self) -> str:
        """Returns the idempotency key of a new submission."""
        key = f"{KEY_PREFIX << 48 | next(request_numbers):016x}"
        self.keys.add(key)
        return key

    def replicas_of(self, key: str) -> list[int]:
        """Returns the numbers of a submission's replicas, in the order of takeover."""
        instances = tuple(sorted(ingress.name for ingress in self.world.ingresses))
        name = record_name(customer_of(key), "solution-submit", key)
        ranked = replicas_for(name, instances, COPIES)
        return [int(instance.rpartition("-")[2]) for instance in ranked]

    def new_key_not_replicated_by(self, *owners: int) -> str:
        """Returns the key of a new submission that none of the instances `owners` replicates."""
        while True:
            key = self.new_key()
            if not set(self.replicas_of(key)) & set(owners):
                return key
            self.keys.discard(key)

    async def submit(
        self, ingress: int, key: str, body: str = "", wait: float = 2.0
    ) -> ClientOutcome:
        """Sends one attempt through an instance; `wait`: the client's timeout in seconds."""
        words = self._words(key, wait)
        codec = RespClientCodec()
        data = codec.ask(words)
        if body:
            length = len(words.solution)
            data = data.replace(words.solution, body.encode().ljust(length)[:length])
        recorded_try = self._new_recorded_try(words, ingress)
        try:
            async with asyncio.timeout(wait + 1.0):
                outcome = await self._exchange(ingress, codec, data, recorded_try)
        except (OSError, TimeoutError):
            outcome = None
        if outcome is None:
            recorded_try.ended = self.world.clock()
            return ClientOutcome("broken")
        return outcome

    def _words(self, key: str, wait: float) -> RequestFields:
        request_id = f"{next(request_numbers):08x}{REQUEST_ID_SUFFIX}"
        return RequestFields(
            request_id, customer_of(key), "plus", "solution-submit", key, wait, 1, 0, False, False
        )

    def _new_recorded_try(self, words: RequestFields, ingress: int) -> Try:
        return Try(
            words.id,
            words.customer,
            words.plan,
            words.request_class,
            words.key,
            1.0,
            ingress,
            self.world.clock(),
            words.wait,
            ask=FIRST_SUBMISSION_NUMBER + int(words.key[-8:], 16),
            dialect="resp2-v1",
        )

    async def _exchange(
        self, ingress: int, codec: RespClientCodec, data: bytes, recorded_try: Try
    ) -> ClientOutcome | None:
        """Returns the outcome, or None if the connection ended without a response."""
        clock = self.world.clock
        address = self.world.ingresses[ingress].address
        reader, writer = await asyncio.open_connection(*address)
        recorded_try.sent = clock()
        self.world.record.tries.append(recorded_try)
        writer.write(data)
        while received := await reader.read(65536):
            reply = codec.receive(received)
            if reply is not None:
                writer.close()
                recorded_try.answered = clock()
                recorded_try.kind = reply.kind
                recorded_try.value = reply.value
                return ClientOutcome(reply.kind, reply.value, reply.wait)
        return None

    async def submit_until_final(
        self, ingress: int, key: str, seconds: float = 4.0
    ) -> ClientOutcome:
        """Retries while attempts are rejected or broken, for at most `seconds`."""
        end = time.monotonic() + seconds
        while True:
            outcome = await self.submit(ingress, key)
            if outcome.kind not in ("refused", "broken") or time.monotonic() > end:
                return outcome
            await asyncio.sleep(max(0.05, outcome.retry_after))

    def arrivals(self, key: str) -> list[Arrival]:
        """Returns the requests of a submission that backends recorded."""
        return [arrival for arrival in self.world.record.arrivals if arrival.key == key]

    def effects(self, key: str) -> int:
        """Returns the number of times that a submission took effect."""
        return sum(arrival.effect for arrival in self.arrivals(key))

    def responses(self, key: str) -> set[bytes]:
        """Returns the responses that backends gave to a submission."""
        return {arrival.value for arrival in self.arrivals(key) if arrival.value}

    def slow_down(self, factor: float) -> None:
        """Multiplies the work time of only these clients' submissions, so that no other waits."""
        for server in self.world.servers:
            server.work = partial(_work_time, server, factor)  # type: ignore[method-assign]

    async def wait_until(self, condition: Callable[[], bool], timeout_message: str) -> None:
        """Waits for a condition; fails with `timeout_message` after `EVENT_TIMEOUT_S`."""
        end = time.monotonic() + EVENT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, timeout_message
            await asyncio.sleep(0.005)

    async def handover_counts(self, number: int) -> dict[str, Any]:
        """Returns the handover counts that an instance reports."""
        counts: dict[str, Any] = (await read_counts(self.world.ingresses[number]))["handover"]
        return counts

    async def wait_for_counts(
        self, numbers: set[int], condition: Callable[[dict[str, Any]], bool], timeout_message: str
    ) -> None:
        """Waits until the condition is true of the counts of each of these instances."""
        end = time.monotonic() + EVENT_TIMEOUT_S
        while time.monotonic() < end:
            counts = [await self.handover_counts(number) for number in sorted(numbers)]
            if all(map(condition, counts)):
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"{timeout_message}: {counts}")

    async def wait_until_complete(self) -> None:
        """Waits until all instances are connected and no replica is recovering."""
        everyone = set(range(len(self.world.ingresses)))
        others = len(everyone) - 1
        await self.wait_for_counts(
            everyone,
            lambda counts: counts["whole"] and counts["there"] == others,
            "the fleet did not recover",
        )

    async def wait_until_forwarded(self, owner: int, key: str, previous_arrivals: int = 0) -> None:
        """Waits until backends got a submission more than `previous_arrivals` times.

        Then also waits for the owner to report its counts: it notifies the replicas before that.
        """
        await self.wait_until(
            lambda: len(self.arrivals(key)) > previous_arrivals, "the submission was not forwarded"
        )
        await self.handover_counts(owner)

    async def verdict_counts(self, numbers: set[int] | None = None) -> Counter[str]:
        """Returns the verdict counts, summed over these instances or over all."""
        if numbers is None:
            numbers = set(range(len(self.world.ingresses)))
        total = Counter[str]()
        for number in sorted(numbers):
            total += Counter((await self.handover_counts(number))["verdicts"])
        return total

    def kill(self, number: int) -> None:
        """Kills an instance, even if it is paused."""
        ingress = self.world.ingresses[number]
        route = self.world.customers.routes[number]
        route.until = self.world.clock() + 0.5
        ingress.signal(signal.SIGCONT)
        ingress.signal(signal.SIGKILL, "killed")

    def pause(self, number: int) -> None:
        """Pauses an instance's process."""
        ingress = self.world.ingresses[number]
        assert ingress.life is not None
        ingress.life.pauses.append((self.world.clock(), float("inf")))
        ingress.signal(signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """Continues an instance's process."""
        ingress = self.world.ingresses[number]
        assert ingress.life is not None
        ingress.signal(signal.SIGCONT)
        ingress.life.pauses[-1] = ingress.life.pauses[-1][0], self.world.clock() + 0.5

    async def restart(self, number: int) -> None:
        """Starts a killed instance again."""
        process = self.world.ingresses[number].process
        assert process is not None
        await process.wait()
        await self.world.start(self.world.ingresses[number])


Case = Callable[[HandoverFleet], Awaitable[None]]


async def _run_case(
    case: Case,
    deployment: Deployment,
    seconds: float,
    commands: dict[int, str],
    stores: bool,
    settings: dict[str, float | bool],
) -> tuple[World, set[str]]:
    with tempfile.TemporaryDirectory(prefix="crew-") as name:
        folder = Path(name)
        scenario = Scenario("crew", seconds, 11, deployment)
        world = World(scenario, folder, f"exec {sys.executable} -m ingress")
        for number, command in commands.items():
            world.ingresses[number].command = command
        crew = HandoverLinks(world, folder, stores, **settings)
        try:
            await crew.open()
            await world.open()
            fleet = HandoverFleet(world, crew)
            running_world = asyncio.create_task(world.play())
            await case(fleet)
            await running_world
        finally:
            await world.close()
            crew.close()
    assert not world.faults, world.faults
    return world, fleet.keys


def run_case(
    case: Case,
    ingresses: int = 5,
    seconds: float = 2.0,
    commands: dict[int, str] | None = None,
    stores: bool = False,
    breaches: bool = False,
    rate: float = 10.0,
    settings: dict[str, float | bool] | None = None,
) -> tuple[Verdict, Counter[str]]:
    """Runs a case while the testbed's background clients send requests.

    Args:
        case: Coroutine function that acts on the fleet.
        ingresses: Number of instances.
        seconds: Time for which the background clients send.
        commands: Command of an instance by its number, instead of the default command.
        stores: Whether instances keep their records in stores.
        breaches: Whether the case may violate invariants.
        rate: Requests of the background clients per second.
        settings: Settings of [handover] that override the defaults.

    Returns:
        The invariant checker's verdict, and the number of effects of each submission of the case.
    """
    # Enough cores for all submissions that a case slows down at one backend, so that later ones
    # do not wait.
    deployment = Deployment(ingresses=ingresses, servers=4, rate=rate, cores=8, busy=0.05)
    all_settings: dict[str, float | bool] = {"forget_s": 8.0, "bound_ms": 400, **(settings or {})}
    running = _run_case(case, deployment, seconds, commands or {}, stores, all_settings)
    world, keys = uvloop.run(asyncio.wait_for(running, CASE_TIMEOUT_S))
    effects = Counter[str]()
    for key in keys:
        arrivals = [arrival for arrival in world.record.arrivals if arrival.key == key]
        effects[key] = sum(arrival.effect for arrival in arrivals)
    verdict = judge(world.record, deployment)
    if not breaches:
        assert not verdict.breaches, [str(breach) for breach in verdict.breaches]
        assert max(effects.values(), default=0) <= 1, effects
    return verdict, effects
