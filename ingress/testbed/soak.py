"""Soak test: many random runs with series of signals, crowds of clients and reused connections.

In each run clients keep using open connections after SIGTERM, and SIGKILL is sent at the earliest
allowed time. The same seed and length always give the same scenario.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from ingress.testbed.deployment import CLASSES, Deployment
from ingress.testbed.fault_kinds import CROWD_KINDS, GENERATION_KINDS, KINDS, SIGNAL_KINDS
from ingress.testbed.report import report
from ingress.testbed.scenario import Fault, Scenario, draw
from ingress.testbed.world import running_world

RULE_BROKEN = 1
USAGE_ERROR = 2
NO_VERDICT = 4
INTERRUPTED = 130
DEADLINES_S = (0.8, 1.5, 2.0, 3.0, 4.0)  # choices for the longest deadline of a run
OTHER_FAULT_COUNT = 2
SIGNAL_SERIES_COUNT = 4
GENERATION_CHANGE_COUNT = 3
CROWD_SOCKETS = 160  # file descriptors per ingress in runs with a crowd
IDLE_CLIENT_COUNT = 200.0
SHARE_WITH_CROWD = 0.4
SHARE_WITH_GENERATIONS = 0.4
FIRST_FAULT_SHARE = 0.05  # share of the run before the first fault
# The invariant checker measures from the client's last byte, which these faults delay on the link.
DELAYING_LINK_FAULTS = ("delay", "dribble")
LAST_FAULT_SHARE = 0.6  # share of the run before the last fault, as reloads are checked 4 s later


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The result of one run, which was repeated until it had a verdict, `attempts` times in all."""

    seed: int
    judged: bool
    breaches: tuple[str, ...]
    crashes: tuple[str, ...]
    faults: tuple[str, ...]
    tries: int
    served: int
    attempts: int = 1

    @property
    def is_broken(self) -> bool:
        """Returns whether a rule was broken or an ingress crashed."""
        return bool(self.breaches or self.crashes)

    def describe(self) -> str:
        """Returns one line of the printed report."""
        verdict = "BROKEN" if self.is_broken else "kept" if self.judged else "no verdict"
        repeats = f", run {self.attempts} times" if self.attempts > 1 else ""
        return f"seed {self.seed:<8} {verdict:<10} {self.served} of {self.tries} served{repeats}"


def draw_deployment(rng: random.Random, with_crowd: bool) -> Deployment:
    """Draws a deployment with a random longest deadline, and few file descriptors with a crowd."""
    longest = rng.choice(DEADLINES_S)
    classes = tuple(
        replace(
            request_class,
            deadline=longest,
            aim=min(request_class.aim, longest / 2),
            window=min(request_class.window, longest),
        )
        for request_class in CLASSES
    )
    return Deployment(
        classes=classes,
        busy=0.3,
        notice=0.3,
        cold_time=1.0,
        marks=True,
        retries=1.0,
        keeps_connections=True,
        sockets=CROWD_SOCKETS if with_crowd else 1024,
    )


def draw_fault(
    rng: random.Random, kinds: Sequence[str], seconds: float, deployment: Deployment
) -> Fault:
    """Draws one fault of one of the given kinds."""
    kind = rng.choice(kinds)
    target_type = KINDS[kind].target_type
    count = deployment.ingresses if target_type == "ingress" else deployment.servers
    figures = {
        key: round(min(maximum, max(minimum, default * rng.uniform(0.0, 2.0))), 3)
        for key, (default, minimum, maximum) in KINDS[kind].figures.items()
    }
    if "count" in figures:
        figures["count"] = IDLE_CLIENT_COUNT if kind == "idle_clients" else round(figures["count"])
    at = rng.uniform(FIRST_FAULT_SHARE, LAST_FAULT_SHARE) * seconds
    return Fault(round(at, 2), kind, f"{target_type}-{rng.randrange(count)}", figures)


def draw_run(seed: int, seconds: float) -> Scenario:
    """Returns a random scenario, the same one for the same seed and length."""
    rng = random.Random(f"soak {seed}")
    with_crowd = rng.random() < SHARE_WITH_CROWD
    with_generations = rng.random() < SHARE_WITH_GENERATIONS
    deployment = draw_deployment(rng, with_crowd)
    faults = [
        fault
        for fault in draw(seed, seconds, deployment, OTHER_FAULT_COUNT).faults
        if not (fault.kind in DELAYING_LINK_FAULTS and fault.target.startswith("clients>"))
    ]
    kinds: list[Sequence[str]] = [SIGNAL_KINDS] * SIGNAL_SERIES_COUNT
    kinds += [CROWD_KINDS] * (2 * with_crowd)
    kinds += [GENERATION_KINDS] * (GENERATION_CHANGE_COUNT * with_generations)
    faults += [draw_fault(rng, choice, seconds, deployment) for choice in kinds]
    faults.sort(key=lambda fault: fault.at)
    generations = (
        {f"server-{number}": "http-v2" for number in range(5, deployment.servers)}
        if with_generations
        else {}
    )
    return Scenario(
        f"soak-{seed}", seconds, seed, deployment, tuple(faults), generations=generations
    )


async def run_seed(seed: int, seconds: float, command: str | None) -> SoakResult:
    """Runs the scenario of one seed in this process."""
    scenario = draw_run(seed, seconds)
    async with running_world(scenario, command) as world:
        await world.play()
        await world.close()
    figures, verdict = report(world)
    return SoakResult(
        seed=seed,
        judged=verdict.judged and figures["kept_up"] and not world.faults,
        breaches=tuple(figures["breaches"]),
        crashes=tuple(world.crashes),
        faults=tuple(str(fault) for fault in scenario.faults),
        tries=figures["tries"],
        served=figures["served"],
    )


class Soak:
    """Runs many seeds, at most `at_once` at a time, each in its own process."""

    def __init__(self, seconds: float, command: str | None, at_once: int, quiet: bool) -> None:
        self.seconds = seconds
        self.command = command
        self.slots = asyncio.Semaphore(at_once)
        self.quiet = quiet
        self.processes: set[asyncio.subprocess.Process] = set()

    async def run_all(self, seeds: Sequence[int]) -> list[SoakResult]:
        """Runs all seeds, then repeats those without a verdict once, one at a time."""
        results = list(await asyncio.gather(*(self._run_one(seed) for seed in seeds)))
        for index, result in enumerate(results):
            if not result.judged and not result.is_broken:
                repeated = await self._run_one(result.seed)
                results[index] = replace(repeated, attempts=result.attempts + 1)
        return results

    async def _run_one(self, seed: int) -> SoakResult:
        async with self.slots:
            arguments = ["--one", str(seed), "--seconds", str(self.seconds)]
            arguments += ["--run", self.command] if self.command else []
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "ingress.testbed", "soak", *arguments),
                stdout=asyncio.subprocess.PIPE,
                start_new_session=True,
            )
            self.processes.add(process)
            output, _ = await process.communicate()
            self.processes.discard(process)
        if process.returncode:
            raise RuntimeError(f"seed {seed}: the run exited with status {process.returncode}")
        result = read_result(json.loads(output))
        if not self.quiet:
            sys.stderr.write(f"{result.describe()}\n")
        return result

    async def stop(self) -> None:
        """Terminates the active runs, which stop the processes that they started."""
        for process in list(self.processes):
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGTERM)
        await asyncio.gather(*(process.wait() for process in list(self.processes)))


def read_result(fields: dict[str, object]) -> SoakResult:
    """Returns the result that the process of a run wrote as JSON."""
    values = {key: tuple(x) if isinstance(x, list) else x for key, x in fields.items()}
    return SoakResult(**values)  # type: ignore[arg-type]


def table(results: Sequence[SoakResult], seconds: float) -> str:
    """Returns the printed report, with the command that repeats each broken run."""
    rows: list[str] = []
    for result in results:
        if result.is_broken:
            rows.append(f"seed {result.seed}:")
            rows += [f"  fault {fault}" for fault in result.faults]
            rows += [f"  {text}" for text in (*result.breaches, *result.crashes)]
            rows.append(
                f"  repeat with: python -m ingress.testbed soak --seeds 1 "
                f"--first-seed {result.seed} --seconds {seconds:g}"
            )
    broken = sum(result.is_broken for result in results)
    unjudged = sum(not result.judged and not result.is_broken for result in results)
    replayed = sum(result.attempts > 1 for result in results)
    kept = len(results) - broken - unjudged
    rows.append(
        f"{len(results)} runs of {seconds:g} s: {kept} kept all rules, {broken} broke one, "
        f"{unjudged} without a verdict; {replayed} repeated for lack of a verdict"
    )
    return "\n".join(rows)


def parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    argument_parser = argparse.ArgumentParser(
        prog="python -m ingress.testbed soak",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        epilog="Example: python -m ingress.testbed soak --seeds 50 --seconds 12 --at-once 3\n"
        "Exit status: 0 all rules kept; 1 a rule was broken or an ingress crashed; 2 usage error; "
        "4 a run had no verdict; 130 interrupted.",
    )
    argument_parser.add_argument("--seeds", type=int, default=10, help="number of runs (10)")
    argument_parser.add_argument(
        "--first-seed", type=int, default=1, help="seed of the first run (1)"
    )
    argument_parser.add_argument(
        "--seconds", type=float, default=12.0, help="length of each run (12)"
    )
    argument_parser.add_argument(
        "--at-once", type=int, default=3, help="number of concurrent runs (3)"
    )
    argument_parser.add_argument("--run", metavar="COMMAND", help="command that starts an ingress")
    argument_parser.add_argument(
        "--json", metavar="FILE", help="writes the results to FILE; - for stdout"
    )
    argument_parser.add_argument("--quiet", action="store_true", help="prints no progress")
    argument_parser.add_argument("--one", type=int, metavar="SEED", help=argparse.SUPPRESS)
    return argument_parser


async def _run_many(options: argparse.Namespace) -> int:
    soak = Soak(options.seconds, options.run, options.at_once, options.quiet)
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    run_task = asyncio.create_task(soak.run_all(seeds))
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    stop = asyncio.create_task(stopped.wait())
    await asyncio.wait({run_task, stop}, return_when=asyncio.FIRST_COMPLETED)
    if stopped.is_set():
        run_task.cancel()
        await soak.stop()
        await asyncio.gather(run_task, return_exceptions=True)
        sys.stderr.write("interrupted; all processes are stopped\n")
        return INTERRUPTED
    stop.cancel()
    results = run_task.result()
    _write(results, options)
    if any(result.is_broken for result in results):
        return RULE_BROKEN
    return 0 if all(result.judged for result in results) else NO_VERDICT


def _write(results: Sequence[SoakResult], options: argparse.Namespace) -> None:
    text = json.dumps([asdict(result) for result in results], indent=1) + "\n"
    if options.json and options.json != "-":
        Path(options.json).write_text(text, encoding="utf-8")
    if options.json == "-":
        sys.stdout.write(text)
    stream = sys.stderr if options.json == "-" else sys.stdout
    stream.write(table(results, options.seconds) + "\n")


async def _run_in_process(options: argparse.Namespace) -> int:
    """Runs one seed in this process; SIGINT and SIGTERM cancel the run and stop its processes."""
    run_task = asyncio.ensure_future(run_seed(options.one, options.seconds, options.run))
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, run_task.cancel)
    try:
        result = await run_task
    except asyncio.CancelledError:
        return INTERRUPTED
    json.dump(asdict(result), sys.stdout)
    return 0


def main(arguments: Sequence[str]) -> int:
    """Runs the command line and returns the exit status."""
    options = parser().parse_args(arguments)
    if options.seeds < 1 or options.at_once < 1 or not 1.0 <= options.seconds <= 86_400:
        sys.stderr.write("soak: --seeds and --at-once must be at least 1, --seconds 1 to 86400\n")
        return USAGE_ERROR
    return asyncio.run(_run_in_process(options) if options.one is not None else _run_many(options))
