"""A testbed of twelve gossiping instances, for the tests of fleets."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

from ingress.testbed.clients import Customers
from ingress.testbed.deployment import Deployment
from ingress.testbed.fleet import Fleet
from ingress.testbed.ingresses import COUNTS, Ingress
from ingress.testbed.invariant_checker import judge
from ingress.testbed.scenario import Scenario
from ingress.testbed.world import World

COUNT = 12
EVENT_TIMEOUT_S = 45.0  # for one event, on a busy machine
RUN_TIMEOUT_S = 140.0  # for one run of the testbed
FleetCounts = dict[int, dict[str, Any]]  # by the number of the instance that logged them


async def read_counts(ingress: Ingress) -> dict[str, Any]:
    """Returns the counts that an instance logs on SIGUSR1."""
    before, end = ingress.log.stat().st_size, time.monotonic() + EVENT_TIMEOUT_S
    ingress.signal(signal.SIGUSR1)
    while time.monotonic() < end:
        data = ingress.log.read_bytes()[before:]
        at = data.find(COUNTS)
        if at >= 0 and (stop := data.find(b"\n", at)) >= 0:
            counts: dict[str, Any] = json.loads(data[at + len(COUNTS) : stop])
            return counts
        await asyncio.sleep(0.02)
    raise AssertionError(f"{ingress.name} did not log its counts")


class FleetHarness:
    """A running testbed whose instances gossip, and their counts.

    Attributes:
        world: The testbed.
        network: The datagram paths between its instances.
    """

    def __init__(self, world: World, network: Fleet) -> None:
        self.world, self.network = world, network

    async def counts_of(self, ingress: Ingress) -> dict[str, Any]:
        """Returns the counts of an instance."""
        return await read_counts(ingress)

    async def until(
        self, numbers: set[int], condition: Callable[[dict[str, Any]], bool], failure: str
    ) -> FleetCounts:
        """Waits until the condition is true of the counts of each of these instances.

        Args:
            numbers: The numbers of the instances.
            condition: The condition on the counts of one instance.
            failure: The message if the condition is not met in time.
        """
        end, counts = time.monotonic() + EVENT_TIMEOUT_S, FleetCounts()
        while time.monotonic() < end:
            rows = await asyncio.gather(
                *(self.counts_of(self.world.ingresses[n]) for n in sorted(numbers))
            )
            counts = {n: row["fleet"] for n, row in zip(sorted(numbers), rows, strict=True)}
            if all(map(condition, counts.values())):
                return counts
            await asyncio.sleep(0.1)
        raise AssertionError(f"{failure}: {counts}")

    async def wait_for_testbed(self, condition: Callable[[], bool], failure: str) -> None:
        """Waits until the condition, on the testbed's own state, is true."""
        end = time.monotonic() + EVENT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, failure
            await asyncio.sleep(0.02)

    async def wait_for_all_members(self, count: int = COUNT) -> FleetCounts:
        """Waits until each of the first `count` instances knows all others."""
        return await self.until(
            set(range(count)), lambda f: f["there"] == count - 1, "not all members were found"
        )


async def run_case(
    deployment: Deployment,
    seconds: float | None,
    case: Callable[[FleetHarness], Awaitable[None]],
    commands: dict[int, str] | None = None,
    seed: int = 5,
) -> World:
    """Runs the testbed's clients while `case` injects faults; returns the testbed.

    Args:
        deployment: The deployment under test.
        seconds: Duration of the clients' traffic.  None lets it run until the case ends, so that a
            busy machine does not cut the case short.
        case: Injects faults and checks counts.
        commands: Commands of instances by number, in place of the program under test.
        seed: The seed of the run.
    """
    with tempfile.TemporaryDirectory(prefix="fleet-") as name:
        # The run uses this interpreter, since the environment of the usual command may lack the
        # packages that [members] needs.
        scenario = Scenario(
            "fleet", RUN_TIMEOUT_S if seconds is None else seconds, seed, deployment
        )
        world = World(scenario, Path(name), f"exec {sys.executable} -m ingress")
        for number, command in (commands or {}).items():
            world.ingresses[number].command = command
        network = Fleet(world.ingresses, Path(name), seed)
        try:
            await network.open()
            await world.open()
            fleet = FleetHarness(world, network)
            traffic = asyncio.create_task(world.play())
            await case(fleet)
            if seconds is None:
                assert isinstance(world.customers, Customers)
                world.customers.stop()
            await traffic
        finally:
            await world.close()
            network.close()
    assert not world.faults, world.faults
    return world


def run(
    case: Callable[[FleetHarness], Awaitable[None]],
    seconds: float | None = 6.0,
    crashes: int = 0,
    commands: dict[int, str] | None = None,
    **changes: Any,
) -> World:
    """Runs a case and asserts the number of crashes and that no invariant was violated.

    Args:
        case: Injects faults and checks counts.
        seconds: Duration of the clients' traffic; None lets it run until the case ends.
        crashes: The expected number of crashes.
        commands: Commands of instances by number, in place of the program under test.
        changes: Values of the deployment that differ from the default.
    """
    deployment = Deployment(
        **{"ingresses": COUNT, "servers": 6, "rate": 60.0, "busy": 0.3} | changes
    )
    world = uvloop.run(
        asyncio.wait_for(run_case(deployment, seconds, case, commands), RUN_TIMEOUT_S + 10.0)
    )
    assert len(world.crashes) == crashes, world.crashes
    verdict = judge(world.record, deployment)
    assert not verdict.breaches, [str(b) for b in verdict.breaches]
    return world
