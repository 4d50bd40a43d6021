"""Compares the cost of a request in the ingress with that in a plain relay, in interleaved rounds.

Example: python -m benchmarks.cost --rounds 10 --against 1ac7ab3

Each round runs every case against a new process of each subject, in an order that changes between rounds.
The subjects are the relay, this checkout interpreted, this checkout compiled (if the compiled form exists)
and the commits named by --against.  Clients send requests without pauses.  CPU time is the kernel's account
of the process, without the warm-up.  Compare only ratios within a round between machines.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.compare import ROOT, checked_out
from benchmarks.ratios import spread
from benchmarks.revisions import compilation_switch, program_package
from ingress.compilation import MODE_VARIABLE, Form

LISTENERS = 8  # sockets of the simulated servers; a long endpoint list repeats each of them
START_TIMEOUT_S = 15.0  # until the process must answer a PING
FIGURES = ("cpu_us", "p50_ms", "p99_ms", "rss_mb", "per_second", "refused_share", "first_refused")
RELAY = "relay"


@dataclass(frozen=True, slots=True)
class Case:
    """The load: connections, pipelined commands on each, servers in the list, customers."""

    name: str
    connections: int = 16
    pipelined: int = 1
    servers: int = 9
    customers: int = 100


CASES = (
    Case("1 connection", 1),
    Case("16 connections"),
    Case("256 connections", 256),
    Case("16 connections, 8 pipelined", 16, 8),
    Case("100 servers", servers=100),
    Case("1,000 servers", servers=1000),
    Case("100,000 customers", customers=100_000),
)


@dataclass(frozen=True, slots=True)
class Subject:
    """A program under test: its name, the root of its sources, and additional environment variables."""

    name: str
    tree: Path
    env: Mapping[str, str]


@contextmanager
def started(
    command: Sequence[str],
    cwd: Path,
    env: Mapping[str, str] | None = None,
    log: int = subprocess.DEVNULL,
) -> Iterator[subprocess.Popen[str]]:
    """Starts a process that is killed at the end of the block."""
    process = subprocess.Popen(
        command,
        cwd=cwd,
        env=os.environ | {"PYTHONPATH": str(cwd)} | dict(env or {}),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=log,
        text=True,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def read_line(process: subprocess.Popen[str]) -> str:
    assert process.stdout is not None
    text = process.stdout.readline()
    if not text:
        raise SystemExit(f"{process.args!r} exited with status {process.wait()}")
    return text.strip()


def request_counts(process: subprocess.Popen[str]) -> dict[str, Any]:
    """Returns the clients' counts and latencies since the previous call."""
    assert process.stdin is not None
    process.stdin.write("\n")
    process.stdin.flush()
    counts: dict[str, Any] = json.loads(read_line(process))
    return counts


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time of all threads of a process in seconds, from the scheduler's statistics."""
    return (
        sum(
            int((task / "schedstat").read_text().split()[0])
            for task in Path(f"/proc/{pid}/task").iterdir()
        )
        / 1e9
    )


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    text = Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(text) * os.sysconf("SC_PAGE_SIZE") / 1e6


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        port: int = server.getsockname()[1]
        return port


def configuration(
    case: Case, addresses: Sequence[str], listen: str, discovery: str
) -> dict[str, Any]:
    """Returns an ingress configuration: one plan whose quota is never reached, warm servers, no counter."""
    servers = [
        {
            "id": f"s-{n:08x}",
            "addr": addresses[n % len(addresses)],
            "zone": "a",
            "kind": "m",
            "cell": 1,
            "state": "ready",
            "weight": 1.0,
            "started_ms": 0,
        }
        for n in range(case.servers)
    ]
    settings = {
        "balancers": 1,
        "self-index": 0,
        "zone": "a",
        "tick-s": 0.002,
        "membership-mode": "pushed",
        "categories": [
            {"name": "read", "aim-s": 1.0, "give-up-s": 2.0, "importance": 1.0, "semantics": "safe"}
        ],
        "contracts": [{"name": "basic", "refill": 1e6, "burst": 1e6}],
        "limits": {"max-attempts": 4, "connect-timeout-s": 0.25, "keepalive-s": 15.0},
        "rules": {"drain-grace-s": 1.0},
        "family-info": {},
    }
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 4096},
        "known": {"version": 1, "full": True, "servers": servers},
        "settings": settings,
    }


def answers_ping(address: str) -> bool:
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError), socket.create_connection((host, int(port)), 1.0) as sock:
        sock.sendall(b"*1\r\n$4\r\nPING\r\n")
        return sock.recv(7) == b"+PONG\r\n"
    return False


def run_case(
    subject: Subject, case: Case, warm: float, seconds: float, flame: str | None = None
) -> dict[str, float]:
    """Returns the figures of one case against a new process of the subject.

    With `flame`, py-spy writes a flame graph to that file.
    """
    python = sys.executable
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="cost-")))
        serve = (python, "-m", "benchmarks.hammer", "serve", str(LISTENERS))
        servers = stack.enter_context(started(serve, ROOT))
        addresses = read_line(servers).split()
        # Accepts connections and never answers, like an unresponsive discovery service.
        silent = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        listen = f"127.0.0.1:{free_port()}"
        if subject.name == RELAY:
            command = [python, "-m", "benchmarks.relay", listen, *addresses]
        else:
            path = folder / "config.json"
            discovery = "{}:{}".format(*silent.getsockname())
            path.write_text(
                json.dumps(configuration(case, addresses, listen, discovery)), encoding="utf-8"
            )
            command = [python, "-m", program_package(subject.tree)]
        process = stack.enter_context(
            started(
                command, subject.tree, {**subject.env, "EDGE_CONFIG": str(folder / "config.json")}
            )
        )
        deadline = time.monotonic() + START_TIMEOUT_S
        while not answers_ping(listen):
            if process.poll() is not None or time.monotonic() > deadline:
                raise SystemExit(f"{subject.name} did not start")
            time.sleep(0.05)
        clients = stack.enter_context(
            started(
                (
                    python,
                    "-m",
                    "benchmarks.hammer",
                    "ask",
                    listen,
                    str(case.connections),
                    str(case.pipelined),
                    str(case.customers),
                ),
                ROOT,
            )
        )
        read_line(clients)
        time.sleep(warm)
        request_counts(clients)
        cpu_before, started_at = cpu_seconds(process.pid), time.monotonic()
        if flame is None:
            time.sleep(seconds)
        else:
            spy = (
                "py-spy",
                "record",
                "--nonblocking",
                "-r",
                "500",
                "-o",
                flame,
                "-p",
                str(process.pid),
                "-d",
                str(max(1, round(seconds))),
            )
            subprocess.run(spy, check=True, stdout=subprocess.DEVNULL)
        counts, cpu_used, elapsed = (
            request_counts(clients),
            cpu_seconds(process.pid) - cpu_before,
            time.monotonic() - started_at,
        )
        if not counts["served"] or counts["lost"]:
            raise SystemExit(
                f"{subject.name}, {case.name}: {counts['served']} served, {counts['lost']} "
                f"connections lost"
            )
        latencies, total = counts["latencies"], counts["served"] + counts["refused"]
        return {
            "cpu_us": cpu_used / total * 1e6,
            "p50_ms": latencies[len(latencies) // 2] * 1e3,
            "p99_ms": latencies[len(latencies) * 99 // 100] * 1e3,
            "rss_mb": resident_mb(process.pid),
            "per_second": total / elapsed,
            "refused_share": counts["refused"] / total,
            "first_refused": counts["first_refused"],
        }


def subjects(stack: ExitStack, commits: Sequence[str]) -> list[Subject]:
    tested = [Subject(RELAY, ROOT, {}), Subject("interpreted", ROOT, {MODE_VARIABLE: "off"})]
    if checkout_form().compiled:
        tested.append(Subject("compiled", ROOT, {MODE_VARIABLE: "require"}))
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="cost-")))
    for commit in commits:
        tree = stack.enter_context(checked_out(commit, folder / commit))
        tested.append(Subject(commit, tree, {compilation_switch(tree): "off"}))
    return tested


def checkout_form() -> Form:
    """Returns the form that a new process of this checkout uses."""
    code = "from ingress.compilation import select_form; form = select_form('auto'); print(int(form.compiled), form.detail)"
    completed = subprocess.run(
        (sys.executable, "-c", code), cwd=ROOT, capture_output=True, text=True, check=True
    )
    compiled, _, detail = completed.stdout.strip().partition(" ")
    return Form(compiled == "1", detail)


def table(
    rounds: Sequence[Mapping[tuple[str, str], Mapping[str, float]]],
    cases: Sequence[Case],
    names: Sequence[str],
) -> list[dict[str, Any]]:
    """Returns a row per case and subject: medians, and the ratios of CPU to the relay's CPU."""
    rows: list[dict[str, Any]] = []
    for case in cases:
        for name in names:
            figures = [row[case.name, name] for row in rounds]
            ratio, lowest, highest = spread(
                row[case.name, name]["cpu_us"] / row[case.name, RELAY]["cpu_us"] for row in rounds
            )
            rows.append(
                {
                    "case": case.name,
                    "subject": name,
                    "ratio": ratio,
                    "lowest": lowest,
                    "highest": highest,
                }
                | {key: median(x[key] for x in figures) for key in FIGURES}
            )
    return rows


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=(__doc__ or "").partition("\n\n")[0],
        epilog="Example: python -m benchmarks.cost --rounds 3 --case '16 connections'",
    )
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=2.0, help="measured time of each run (2)")
    parser.add_argument(
        "--warm", type=float, default=1.5, help="warm-up in seconds before each measurement (1.5)"
    )
    parser.add_argument(
        "--against",
        action="append",
        default=[],
        metavar="COMMIT",
        help="also measure this commit, interpreted; may be repeated",
    )
    parser.add_argument(
        "--case",
        action="append",
        metavar="NAME",
        choices=[case.name for case in CASES],
        help="measure only this case; may be repeated.  Cases: "
        + "; ".join(case.name for case in CASES),
    )
    parser.add_argument(
        "--flame",
        metavar="FILE",
        help="instead of rounds, run the first case once, interpreted, under "
        "py-spy (pip install py-spy) and write a flame graph to FILE",
    )
    parser.add_argument("--json", metavar="FILE", help="write all rounds and the table to FILE")
    options = parser.parse_args(arguments)
    cases = [case for case in CASES if not options.case or case.name in options.case]
    if options.flame:
        if shutil.which("py-spy") is None:
            parser.error("--flame needs py-spy: pip install py-spy")
        interpreted = Subject("interpreted", ROOT, {MODE_VARIABLE: "off"})
        run_case(interpreted, cases[0], options.warm, options.seconds, options.flame)
        return 0
    rounds: list[dict[tuple[str, str], dict[str, float]]] = []
    with ExitStack() as stack:
        tested = subjects(stack, options.against)
        for n in range(options.rounds):
            order = random.Random(n).sample(
                [(c, s) for c in cases for s in tested], len(cases) * len(tested)
            )
            rounds.append({})
            for at, (case, subject) in enumerate(order, 1):
                rounds[-1][case.name, subject.name] = run_case(
                    subject, case, options.warm, options.seconds
                )
                print(
                    f"\rround {n + 1} of {options.rounds}, run {at} of {len(order)} ",
                    end="",
                    file=sys.stderr,
                    flush=True,
                )
    print(file=sys.stderr)
    rows = table(rounds, cases, [subject.name for subject in tested])
    print(
        f"{'case':<30}{'subject':<13}{'us':>7}{'ratio':>8}{'lowest':>8}{'highest':>8}{'p50 ms':>8}"
        f"{'p99 ms':>8}{'MB':>6}{'a second':>10}{'refused':>9}{'of first':>9}"
    )
    for row in rows:
        print(
            f"{row['case']:<30}{row['subject']:<13}{row['cpu_us']:>7.0f}{row['ratio']:>8.2f}"
            f"{row['lowest']:>8.2f}{row['highest']:>8.2f}{row['p50_ms']:>8.2f}{row['p99_ms']:>8.2f}"
            f"{row['rss_mb']:>6.0f}{row['per_second']:>10.0f}{row['refused_share']:>9.1%}"
            f"{row['first_refused']:>9.1%}"
        )
    if options.json:
        records = [[{"case": c, "subject": s} | f for (c, s), f in row.items()] for row in rounds]
        Path(options.json).write_text(
            json.dumps({"rounds": records, "table": rows}, indent=1) + "\n", encoding="utf-8"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
