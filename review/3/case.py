"""Pipelined requests on a connection of an ingress that is told to end while a backend hangs."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

from ingress.testbed.deployment import Deployment, RequestClass
from review.rig.backends import Backend, KeyMemory
from review.rig.fleet import CouldNotRunError, Fleet, loopback, run_case
from review.rig.record import Record
from review.rig.resp import encode_command, read_reply

REQUESTS = 100
DEADLINE_S = 4.0
WORK_S = 0.15
SETTLE_S = 4.0  # quota slices of new processes start empty
TERM_AFTER_S = 0.3
ANSWER_TIMEOUT_S = 12.0  # far longer than any request may take
CLASSES = (
    RequestClass("grid-fetch", 0.62, "safe", 2.0),
    RequestClass("solution-submit", 0.38, "unsafe", 6.0, late_worth=0.2),
)


class HangingBackend(Backend):
    """A backend that may hang: it then takes requests and never answers."""

    hangs = False

    async def _run(self, request_id: str, customer: str, cls: str, key: str, body: str) -> bytes:
        value = await super()._run(request_id, customer, cls, key, body)
        if self.hangs:
            await asyncio.Event().wait()
        return value


async def read_answers(record: Record, reader: asyncio.StreamReader, answers: list[str]) -> None:
    """Reads answers until all have come or the connection ends."""
    try:
        while len(answers) < REQUESTS:
            kind, value = await read_reply(reader)
            answers.append(kind)
            record.write(f"answer {len(answers) - 1}: {kind} {value.decode()}")
    except (OSError, asyncio.IncompleteReadError) as error:
        record.write(f"the connection has ended: {type(error).__name__}")


async def case(record: Record, trouble: bool) -> list[str]:
    """Returns the breaches."""
    fleet = Fleet(record, Deployment(ingresses=3, servers=4, classes=CLASSES))
    memory = KeyMemory("all backends", 0.0)
    hanging = HangingBackend("grid-0", "hall-a", memory, fleet.ledger, WORK_S, loopback(100))
    fleet.backends = [hanging] + [
        Backend(f"grid-{n}", f"hall-{'ab'[n % 2]}", memory, fleet.ledger, WORK_S, loopback(100))
        for n in range(1, 4)
    ]
    answers: list[str] = []
    try:
        fleet.add_ingresses()
        await fleet.open_stand_ins("resp2-v1", "small-2c")
        await fleet.start_all()
        await asyncio.sleep(SETTLE_S)
        ingress = fleet.ingresses[0]
        hanging.hangs = trouble
        reader, writer = await asyncio.open_connection(*ingress.listen)
        fields = f"c=solution-submit,t=plus,d={int(DEADLINE_S * 1000)},units=1,spread=1,first=0"
        commands = [
            encode_command("API.WRITE", f"{n:016x}", os.urandom(8).hex(), fields, f"solution-{n}")
            for n in range(REQUESTS)
        ]
        writer.write(b"".join(commands))
        await writer.drain()
        record.write(
            f"client has sent {REQUESTS} requests on one connection, solution-0 to "
            f"solution-{REQUESTS - 1}, each with {fields}"
        )
        reading = asyncio.create_task(read_answers(record, reader, answers))
        await asyncio.sleep(TERM_AFTER_S)
        assert ingress.process is not None
        if trouble:
            record.write("ingress-0 gets SIGTERM")
            ingress.process.send_signal(signal.SIGTERM)
        await asyncio.wait([reading], timeout=ANSWER_TIMEOUT_S)
        if trouble:
            status = await asyncio.wait_for(ingress.process.wait(), 5.0)
            record.write(f"ingress-0 has ended with status {status}")
        reading.cancel()
        writer.close()
    finally:
        await fleet.close()
    if not answers:
        raise CouldNotRunError("no request was answered")
    lost = REQUESTS - len(answers)
    return [f"{lost} of {REQUESTS} requests were never answered"] if lost else []


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
