"""A submission whose ingress is killed is sent again in another zone, and takes effect twice."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig2"))

from sites import MOLO, MOLO_ZONES  # noqa: E402
from stand_ins import (  # noqa: E402
    Arrival,
    Backend,
    Fleet,
    Ingress,
    KeyMemory,
    Record,
    make_backends,
    run_case,
    send_command,
    submission,
    trouble,
    wait_for_arrivals,
)

SUBMISSIONS = 8
WORK_S = 0.3  # the site: 180 to 300 ms in the mean
WINDOW_S = 6.0  # the site's `window_ms`; the backends of a zone share one memory of keys
BACKENDS = 10


async def case(record: Record, folder: Path, ingresses: list[Ingress]) -> list[str]:
    """Kills an ingress with submissions in flight; returns those sent to another zone."""
    arrivals: list[Arrival] = []
    memories = {zone: KeyMemory(WINDOW_S) for zone in MOLO_ZONES}
    backends = make_backends(Backend, BACKENDS, MOLO_ZONES, memories, WORK_S, record, arrivals)
    zones = [MOLO_ZONES[0], MOLO_ZONES[1], MOLO_ZONES[0]]
    fleet = Fleet(record, folder, MOLO, zones, backends, f"window_s = {WINDOW_S}\n")
    await fleet.open(ingresses)
    first = fleet.ingresses[0]
    clients = [
        asyncio.create_task(
            send_command(
                first.port,
                submission(number, "waybill-file", "port-office", 8000),
                record,
                first.name,
                8.0,
            )
        )
        for number in range(SUBMISSIONS)
    ]
    await wait_for_arrivals(arrivals, SUBMISSIONS)
    if trouble():
        first.send_signal(signal.SIGKILL)
        await asyncio.sleep(1.0)
        first.start_again()
    await asyncio.sleep(WINDOW_S)
    await asyncio.gather(*clients)
    breaches = []
    for key in sorted({arrival.key for arrival in arrivals}):
        zones = [arrival.zone for arrival in arrivals if arrival.key == key]
        effects = sum(arrival.effect for arrival in arrivals if arrival.key == key)
        if len(set(zones)) > 1:
            breaches.append(
                f"key {key} was sent to zones {', '.join(zones)} and took effect {effects} times"
            )
    return breaches


run_case(FOLDER, case)
