"""The platform's endpoint lists and configuration, and the reports of the program and tools."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from tests.golden_cases.handover import records
from tests.golden_cases.names import (
    SCENARIOS,
    Application,
    Arrival,
    CounterClient,
    Deployment,
    Life,
    OsFileSystem,
    Scenario,
    SimulatedWorld,
    Size,
    Store,
    TestbedWorld,
    Try,
    describe_records,
    gossiping_gateways,
    pack_record,
    pair_table,
    policy_gateways,
    protocol_versions,
    random_run,
    read_config,
    read_endpoint_list,
    read_operator,
    read_store,
    testbed_report,
)
from tests.golden_cases.plain import CUSTOMERS, FOLDER, plain, plain_values, shape


async def _counter_lines() -> list[str]:
    lines: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            lines.append(line.hex())
            writer.write(b"ok 12.5\r\n")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    replies: asyncio.Queue[Any] = asyncio.Queue()
    client = CounterClient(server.sockets[0].getsockname(), 5.0, lambda: 1.0, replies.put_nowait)
    for name, units, lifetime in ((1, 1.0, 60.0), ((1 << 63) - 1, 0.125, 0.0001), (7, -2.5, 1e9)):
        client.call(name, units, lifetime)
        reply = await asyncio.wait_for(replies.get(), 10.0)
        lines.append(json.dumps(plain(reply)[:3]))
    client.close()
    server.close()
    return lines


def counter_lines() -> dict[str, Any]:
    """Returns each call to the counter as a line, and the reply as decoded."""
    return {"calls and replies": asyncio.run(asyncio.wait_for(_counter_lines(), 20.0))}


def endpoint_lists() -> dict[str, Any]:
    """Returns decoded responses of discovery; invalid entries are omitted."""
    rows = [
        {"id": "s1", "addr": "127.0.0.1:6379", "state": "ready"},
        {"id": "s2", "addr": "h.x:65535", "state": "draining", "zone": "a", "kind": "grid-v2",
         "cell": 3, "weight": 2, "started_ms": 1500, "more": None},
        {"id": "s3", "addr": "[::1]:1", "state": "gone", "weight": 0},
        {"id": "bad port", "addr": "h:0", "state": "ready"},
        {"id": "bad state", "addr": "h:1", "state": "x"},
        {"id": "", "addr": "h:1", "state": "ready"},
        {"id": "bad weight", "addr": "h:1", "state": "ready", "weight": 1e9},
        {"addr": "h:1", "state": "ready"},
        7,
    ]  # fmt: skip
    results = {}
    for name, body in {
        "whole": {"version": 5, "full": True, "servers": rows},
        "changes": {"version": 6, "servers": rows[1:2]},
        "empty": {"version": 0, "full": True, "servers": []},
        "no version": {"servers": []},
        "no list": {"version": 1},
    }.items():
        try:
            results[name] = plain(read_endpoint_list(body))
        except ValueError:
            results[name] = "no list"
    return results


def configuration() -> dict[str, Any]:
    """Returns the configuration as read from EDGE_CONFIG."""
    text = (FOLDER / "edge_config.json").read_text("utf-8")
    less = json.loads(text) | {"limits": {"memory_mb": 64, "sockets": 256}}
    return plain_values({"config": read_config(text), "less": read_config(json.dumps(less))})


OPTIONS = """
[members]
address = "127.0.0.1:7100"
seeds = ["127.0.0.2:7100"]
keys = "members.keys"
[handover]
address = "127.0.0.1:7200"
peers = { "edge-1" = "127.0.0.1:7200", "edge-2" = "127.0.0.2:7200", "edge-3" = "127.0.0.3:7200" }
keys = "members.keys"
store = "held"
[dialects]
default = "resp2-v1"
[dialects.kinds]
"grid-v2" = "http-v2"
"grid-half" = "resp3-v2"
[dialects.cells]
7 = "http-v2"
[[listener]]
address = "127.0.0.1:7001"
dialect = "http-v2"
"""


async def _counts() -> dict[str, Any]:
    config = read_config((FOLDER / "edge_config.json").read_text("utf-8"))
    shapes = {"without options": shape(Application(config, lambda: 110.0).counts())}
    with TemporaryDirectory() as name:
        keys = Path(name, "members.keys")
        keys.write_text("1 00112233445566778899aabbccddeeff\n", "ascii")
        keys.chmod(0o600)
        path = Path(name, "ingress.toml")
        path.write_text(OPTIONS, "utf-8")
        store_of_records(Path(name, "held"))
        known = frozenset({"resp2-v1", "resp3-v2", "http-v2"})
        operator = read_operator(path, known, known)
        application = Application(config, lambda: 110.0, operator)
        shapes["with every option"] = shape(application.counts())
        application.backends.close()
    return shapes


def store_of_records(folder: Path) -> None:
    """Writes the store of an instance that held a record in each phase."""
    store = Store(OsFileSystem(folder), "edge-1")
    for number, record in enumerate(records().values()):
        store.put(bytes([number]) * 16, pack_record(record))
    store.close()


def handover_command() -> dict[str, Any]:
    """Returns the records that `python -m ingress.handover show --json` prints for a store."""
    with TemporaryDirectory() as name:
        store_of_records(Path(name))
        contents = read_store(OsFileSystem(Path(name)), "edge-1")
        return {record["name"]: record for record in describe_records(contents)}


def counts() -> dict[str, Any]:
    """Returns the keys, in order, and the types of the counts that SIGUSR1 prints."""
    return asyncio.run(_counts())


def record_two_tries(world: TestbedWorld) -> None:
    """Records two tries of clients: a backend serves the first, the second is rejected."""
    served = Try("r1", CUSTOMERS[0], "base", "grid-fetch", "", 1.0, 0, 1.0, 2.0, True, 0)
    served.kind = "served"
    served.answered = 1.1
    served.value = b"v"
    rejected = Try("r2", CUSTOMERS[1], "plus", "grid-fetch", "", 1.0, 1, 2.0, 2.0, True, 1)
    rejected.kind = "refused"
    rejected.answered = 2.25
    world.record.tries += [served, rejected]
    world.customers.asked.append((1.0, CUSTOMERS[0], "base", "grid-fetch", 1.0))
    world.customers.asked.append((1.9, CUSTOMERS[1], "plus", "grid-fetch", 1.0))
    arrival = Arrival(
        "r1", CUSTOMERS[0], "base", "grid-fetch", "", 1.0, "server-0", 0, 1.02, 1.02, 0.04
    )
    arrival.out_until = 1.09
    arrival.value = b"v"
    world.record.arrivals.append(arrival)
    world.record.lives += [Life(number, 0.0) for number in range(3)]


async def _testbed() -> dict[str, Any]:
    with TemporaryDirectory() as name:
        world = TestbedWorld(Scenario("golden", 10.0, 3, Deployment()), Path(name), "true", 1)
        record_two_tries(world)
        figures, _ = testbed_report(world)
        return {"values": figures, "shape": shape(figures)}


def testbed_figures() -> dict[str, Any]:
    """Returns the testbed's --json for a handmade record of two tries, one of them served."""
    return asyncio.run(_testbed())


def simulation_figures() -> dict[str, Any]:
    """Returns figures of the real policy in virtual time and a run of the model checker.

    The policy runs with and without gossip.
    """
    size = Size(8, 6, 2, 8.0, 1.6)
    alone = SimulatedWorld(size, SCENARIOS["herd"], 11, policy_gateways())
    gossiping = SimulatedWorld(size, SCENARIOS["zone"], 12, gossiping_gateways())
    return {
        "instances die": alone.run().figures(),
        "a zone is lost, with gossip": gossiping.run().figures(),
        "walk": plain(random_run(5, 120)),
    }


def version_pairs() -> dict[str, Any]:
    """Returns the fidelity of each feature, in table order, for each pair of protocol versions."""
    versions = protocol_versions()
    return {
        f"{client} {backend}": plain(
            [cell.fidelity for cell in pair_table(versions[client], versions[backend])]
        )
        for client in versions
        for backend in versions
    }
