"""SIGHUP: the real program reads its configuration again and switches discovery and counter."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from ingress.application import Application
from tests.peers import (
    SETTINGS,
    Address,
    Caller,
    Peer,
    backend,
    command,
    config,
    config_text,
    entry,
    run,
    until,
    value,
)
from tests.test_counter_client import scripted
from tests.test_endpoint_discovery import Agent, listing
from tests.test_service import ROOT, free_port


@asynccontextmanager
async def program(
    path: Path, text: str, address: Address
) -> AsyncIterator[asyncio.subprocess.Process]:
    path.write_text(text, encoding="utf-8")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "ingress",
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(path)},
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stderr is not None
        while b"serves on" not in await process.stderr.readline():
            pass
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def read_log_line(process: asyncio.subprocess.Process, *parts: str) -> str:
    """Returns the next log line that contains all of `parts`."""
    assert process.stderr is not None
    while text := (await process.stderr.readline()).decode():
        if all(part in text for part in parts):
            return text
    raise EOFError


async def reload_with(
    process: asyncio.subprocess.Process, path: Path, text: str, *parts: str
) -> None:
    """Replaces the configuration, and waits for a log line that contains all of `parts`."""
    path.write_text(text, encoding="utf-8")
    process.send_signal(signal.SIGHUP)
    await read_log_line(process, *parts)


def test_sighup_applies_a_new_configuration_and_rejects_a_bad_one(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    listen_address = ("127.0.0.1", free_port())

    def text(agent: Agent) -> str:
        return config_text(
            listen=f"127.0.0.1:{listen_address[1]}", discovery="{}:{}".format(*agent.peer.address)
        )

    async def body() -> None:
        async with backend(value(b"one")) as one, backend(value(b"two")) as two:
            first = Agent(listing(40, True, entry(one.address)))
            # The new agent has versions of its own, and closes the first call that it receives.
            second = Agent(b"", listing(3, True, entry(two.address, "s2")))
            async with (
                first.peer,
                second.peer,
                program(path, text(first), listen_address) as process,
            ):
                caller = await Caller.connect(listen_address)
                await until(lambda: len(first.paths) == 2)
                assert await caller.request(command()) == b"one"
                for bad, key in (("{", "EDGE_CONFIG"), (config_text(seed="xyz"), "seed")):
                    await reload_with(process, path, bad, "configuration rejected", key)
                path.unlink()
                process.send_signal(signal.SIGHUP)
                await read_log_line(process, "configuration rejected", "EDGE_CONFIG")
                assert await caller.request(command()) == b"one"
                # No change: the watch continues.
                await reload_with(process, path, text(first), "configuration reloaded")
                assert first.peer.connections == 1
                assert not first.peer.ended
                path.write_text(text(second), encoding="utf-8")
                process.send_signal(signal.SIGHUP)
                await until(lambda: len(second.paths) >= 3 and first.peer.ended)
                assert second.paths[:2] == ["/api/targets"] * 2
                assert await caller.request(command()) == b"two"
                # And back while the program drains: it must handle signals then, too.
                path.write_text(text(first), encoding="utf-8")
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                await until(lambda: first.peer.connections == 2)
                assert await process.wait() == 0

    run(body())


def test_rejects_the_configuration_of_another_service_or_instance_as_a_whole(
    tmp_path: Path,
) -> None:
    """Its agent lists other backends, which must not receive the requests of this service."""
    path = tmp_path / "config.json"
    listen_address = ("127.0.0.1", free_port())
    renamed = [c | {"name": c["name"] + "-b"} for c in SETTINGS["categories"]]
    unsafe = [
        c | {"semantics": "unsafe"} if c["semantics"] == "keyed" else c
        for c in SETTINGS["categories"]
    ]
    changes: dict[str, dict[str, Any]] = {
        "name": {"name": "n1"},
        "listen": {"listen": "127.0.0.1:1"},
        "settings": {"settings": SETTINGS | {"categories": renamed}},
    }
    other_settings = (
        {"settings": SETTINGS | {"categories": unsafe}},
        {"settings": SETTINGS | {"contracts": [{"name": "other", "refill": 1.0, "burst": 5.0}]}},
    )

    async def body() -> None:
        async with backend(value(b"one")) as one, backend(value(b"two")) as two:
            first = Agent(listing(40, True, entry(one.address)))
            second = Agent(listing(3, True, entry(two.address)))

            def text(agent: Agent, **other: Any) -> str:
                base = {
                    "listen": f"127.0.0.1:{listen_address[1]}",
                    "discovery": "{}:{}".format(*agent.peer.address),
                }
                return config_text(**(base | other))

            async with (
                first.peer,
                second.peer,
                program(path, text(first), listen_address) as process,
            ):
                caller = await Caller.connect(listen_address)
                for key, other in [
                    *changes.items(),
                    *(("settings", variant) for variant in other_settings),
                ]:
                    changed = text(second, **other)
                    await reload_with(process, path, changed, "configuration rejected", key)
                    assert await caller.request(command()) == b"one"
                assert not second.peer.connections
                process.terminate()
                await process.wait()

    run(body())


def test_a_reload_changes_the_counter_address_and_closes_the_old_connections(
    tmp_path: Path,
) -> None:
    async def body() -> None:
        async with scripted(b"ok 1\r\n") as old, scripted(b"ok 1\r\n") as new:
            agents = [Agent(listing(1, True)) for _ in range(3)]
            async with agents[0].peer, agents[1].peer, agents[2].peer:

                def addresses(agent: Agent, counter: Peer) -> dict[str, str]:
                    return {
                        "discovery": "{}:{}".format(*agent.peer.address),
                        "counter": "{}:{}".format(*counter.address),
                    }

                base = SETTINGS | {"family-info": {"counter": True, "count-wait-s": 5.0}}
                application = Application(config(settings=base, **addresses(agents[0], old)))
                stop = asyncio.Event()
                task = asyncio.create_task(application.run(stop))
                assert application.counter is not None
                await until(lambda: len(agents[0].paths) == 2)
                application.counter.call(7, 1.0, 60.0)
                await until(lambda: old.commands)
                before = len(asyncio.all_tasks())
                for agent, counter in ((agents[1], new), (agents[2], new), (agents[2], new)):
                    application.reload(config(settings=base, **addresses(agent, counter)))
                await until(
                    lambda: len(agents[2].paths) == 2 and old.ended and agents[0].peer.ended
                )
                await until(lambda: agents[1].peer.ended == agents[1].peer.connections)
                assert agents[2].peer.connections == 1
                application.counter.call(7, 1.0, 60.0)
                await until(lambda: new.commands)
                # One watch, and the tasks of scripted peers for their open connections.
                assert len(asyncio.all_tasks()) <= before
                stop.set()
                await task

    run(body())
