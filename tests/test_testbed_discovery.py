"""Tests the order of the changes that agents of the stub discovery service receive."""

from __future__ import annotations

import asyncio
import random

from ingress.testbed.discovery_server import Agent, EndpointPublisher

SERVERS = 100
NOTICE_S = 0.05  # within which each agent receives a change


async def receive_all(agent: Agent, version: int) -> list[str]:
    """Waits until an agent has a version of the list; returns the states of all servers in it."""
    while agent.version < version:
        await agent.changed.wait()
    return [entry["state"] for entry in agent.entries.values()]


def test_each_agent_receives_the_changes_of_a_server_in_order() -> None:
    """Guards against an agent that keeps a server as gone although it returned right after."""

    async def play() -> list[list[str]]:
        agents = [Agent(number, lambda *_: None) for number in range(3)]
        publisher = EndpointPublisher(agents, NOTICE_S, random.Random("order"))
        last_version = agents[0].version + 2 * SERVERS  # all agents start with the same one
        for state in ("gone", "ready"):
            for number in range(SERVERS):
                publisher.publish([{"id": f"server-{number}", "state": state}] * len(agents))
        async with asyncio.timeout(10):
            return await asyncio.gather(*(receive_all(agent, last_version) for agent in agents))

    assert asyncio.run(play()) == [["ready"] * SERVERS] * 3
