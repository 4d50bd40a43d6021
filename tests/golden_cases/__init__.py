"""Builds the output and stored data of a process from fixed inputs, for test_golden_bytes.py."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from tests.golden_cases.affinity import affinity
from tests.golden_cases.coordination import coordination
from tests.golden_cases.derived import derived
from tests.golden_cases.gossip import conversation, health_observations, load_reports, membership
from tests.golden_cases.handover import encoded_messages, peer_frames, record_rows, stored_calls
from tests.golden_cases.protocols import (
    BACKEND_ANSWERS,
    CLIENT_PROTOCOLS,
    backend_side,
    client_side,
)
from tests.golden_cases.reports import (
    configuration,
    counter_lines,
    counts,
    endpoint_lists,
    handover_command,
    simulation_figures,
    testbed_figures,
    version_pairs,
)
from tests.golden_cases.simulator import simulator_lines

FAMILIES: dict[str, Callable[[], dict[str, Any]]] = {
    "membership": membership,
    "conversation": conversation,
    "load_reports": load_reports,
    "health_observations": health_observations,
    "handover_messages": encoded_messages,
    "handover_records": record_rows,
    "stored_calls": stored_calls,
    "peer_frames": peer_frames,
    "derived": derived,
    **{f"clients_{name}": partial(client_side, name) for name in CLIENT_PROTOCOLS},
    **{f"backends_{name}": partial(backend_side, name) for name in BACKEND_ANSWERS},
    "counter_lines": counter_lines,
    "endpoint_lists": endpoint_lists,
    "configuration": configuration,
    "counts": counts,
    "handover_command": handover_command,
    "coordination": coordination,
    "affinity": affinity,
    "version_pairs": version_pairs,
    "simulator_lines": simulator_lines,
    "testbed": testbed_figures,
    "simulation": simulation_figures,
}
