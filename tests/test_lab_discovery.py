"""Discovery's stand-in: what its agents tell."""

from __future__ import annotations

import asyncio
import random

from ingress.testbed.discovery_server import Agent, EndpointPublisher

SERVERS = 100
NOTICE_S = 0.05  # within which each agent hears of a change


async def hear_all(agent: Agent, version: int) -> list[str]:
    """Waits until the agent holds a version of the list; the states of all servers in it."""
    while agent.version < version:
        await agent.changed.wait()
    return [entry["state"] for entry in agent.entries.values()]


def test_each_agent_hears_of_a_servers_changes_in_their_order() -> None:
    """Guards against agents that call a server gone for good which came back right after."""

    async def play() -> list[list[str]]:
        agents = [Agent(number, lambda *_: None) for number in range(3)]
        publisher = EndpointPublisher(agents, NOTICE_S, random.Random("order"))
        last_version = agents[0].version + 2 * SERVERS  # each agent begins with the same one
        for state in ("gone", "ready"):
            for number in range(SERVERS):
                publisher.publish([{"id": f"server-{number}", "state": state}] * len(agents))
        async with asyncio.timeout(10):
            return await asyncio.gather(*(hear_all(agent, last_version) for agent in agents))

    assert asyncio.run(play()) == [["ready"] * SERVERS] * 3
