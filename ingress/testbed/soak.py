"""Drawn runs, many of them: signals in series, crowds, and clients that use each open connection.

In each run clients go on using open connections after SIGTERM, and SIGKILL comes at the earliest
that is allowed. The seed alone decides what is played.
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
from ingress.testbed.world import standing

BROKEN = 1
BAD_USE = 2
NO_VERDICT = 4
INTERRUPTED = 130
DEADLINES_S = (0.8, 1.5, 2.0, 3.0, 4.0)  # one is drawn for the longest
OTHER_FAULTS = 2
SIGNAL_SERIES = 4
GENERATION_CHANGES = 3
CROWD_SOCKETS = 160  # descriptors of an ingress in runs with a crowd
IDLE_CLIENTS = 200.0
SHARE_WITH_CROWD = 0.4
SHARE_WITH_GENERATIONS = 0.4
FIRST_FAULT_SHARE = 0.05  # of the run, before which no fault comes
# The invariant checker counts a client's time from its last byte, which such a link holds back.
LINK_DELAYS = ("delay", "dribble")
LAST_FAULT_SHARE = 0.6  # reloads are checked 4 s later


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What became of one run, which was played `attempts` times until there was a verdict."""

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
        """Whether a rule broke or an ingress crashed."""
        return bool(self.breaches or self.crashes)

    def describe(self) -> str:
        """Returns a line of the table."""
        verdict = "BROKEN" if self.is_broken else "kept" if self.judged else "no verdict"
        again = f", played {self.attempts} times" if self.attempts > 1 else ""
        return f"seed {self.seed:<8} {verdict:<10} {self.served} of {self.tries} served{again}"


def draw_deployment(rng: random.Random, with_crowd: bool) -> Deployment:
    """Draws the longest deadline, and room for a crowd."""
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
    """Draws one fault out of some kinds."""
    kind = rng.choice(kinds)
    strikes = KINDS[kind].strikes
    count = deployment.ingresses if strikes == "ingress" else deployment.servers
    figures = {
        key: round(min(most, max(least, usual * rng.uniform(0.0, 2.0))), 3)
        for key, (usual, least, most) in KINDS[kind].figures.items()
    }
    if "count" in figures:
        figures["count"] = IDLE_CLIENTS if kind == "idle_clients" else round(figures["count"])
    at = rng.uniform(FIRST_FAULT_SHARE, LAST_FAULT_SHARE) * seconds
    return Fault(round(at, 2), kind, f"{strikes}-{rng.randrange(count)}", figures)


def draw_run(seed: int, seconds: float) -> Scenario:
    """Draws a run: the same for the same seed and length."""
    rng = random.Random(f"soak {seed}")
    with_crowd = rng.random() < SHARE_WITH_CROWD
    with_generations = rng.random() < SHARE_WITH_GENERATIONS
    deployment = draw_deployment(rng, with_crowd)
    faults = [
        fault
        for fault in draw(seed, seconds, deployment, OTHER_FAULTS).faults
        if not (fault.kind in LINK_DELAYS and fault.target.startswith("clients>"))
    ]
    kinds: list[Sequence[str]] = [SIGNAL_KINDS] * SIGNAL_SERIES
    kinds += [CROWD_KINDS] * (2 * with_crowd)
    kinds += [GENERATION_KINDS] * (GENERATION_CHANGES * with_generations)
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


async def play(seed: int, seconds: float, command: str | None) -> SoakResult:
    """Plays one run."""
    scenario = draw_run(seed, seconds)
    async with standing(scenario, command) as world:
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
    """Plays many runs, some at a time, each in a process of its own."""

    def __init__(self, seconds: float, command: str | None, at_once: int, quiet: bool) -> None:
        self.seconds = seconds
        self.command = command
        self.slots = asyncio.Semaphore(at_once)
        self.quiet = quiet
        self.processes: set[asyncio.subprocess.Process] = set()

    async def play_all(self, seeds: Sequence[int]) -> list[SoakResult]:
        """Plays all seeds; those without a verdict once more, each alone."""
        results = list(await asyncio.gather(*(self._play_one(seed) for seed in seeds)))
        for index, result in enumerate(results):
            if not result.judged and not result.is_broken:
                again = await self._play_one(result.seed)
                results[index] = replace(again, attempts=result.attempts + 1)
        return results

    async def _play_one(self, seed: int) -> SoakResult:
        async with self.slots:
            words = ["--one", str(seed), "--seconds", str(self.seconds)]
            words += ["--run", self.command] if self.command else []
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "ingress.testbed", "soak", *words),
                stdout=asyncio.subprocess.PIPE,
                start_new_session=True,
            )
            self.processes.add(process)
            output, _ = await process.communicate()
            self.processes.discard(process)
        if process.returncode:
            raise RuntimeError(f"seed {seed}: the run ended with status {process.returncode}")
        result = read_result(json.loads(output))
        if not self.quiet:
            sys.stderr.write(f"{result.describe()}\n")
        return result

    async def stop(self) -> None:
        """Ends the runs that are being played, which take their processes down."""
        for process in list(self.processes):
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGTERM)
        await asyncio.gather(*(process.wait() for process in list(self.processes)))


def read_result(fields: dict[str, object]) -> SoakResult:
    """Returns the result that a run's process wrote."""
    values = {key: tuple(x) if isinstance(x, list) else x for key, x in fields.items()}
    return SoakResult(**values)  # type: ignore[arg-type]


def table(results: Sequence[SoakResult], seconds: float) -> str:
    """Returns what was found, with the command that repeats each broken run."""
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
    without = sum(not result.judged and not result.is_broken for result in results)
    replayed = sum(result.attempts > 1 for result in results)
    kept = len(results) - broken - without
    rows.append(
        f"{len(results)} runs of {seconds:g} s: {kept} kept all rules, {broken} broke one, "
        f"{without} without a verdict; {replayed} played again for want of one"
    )
    return "\n".join(rows)


def parser() -> argparse.ArgumentParser:
    """Returns the command line's parser."""
    made = argparse.ArgumentParser(
        prog="python -m ingress.testbed soak",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        epilog="Example: python -m ingress.testbed soak --seeds 50 --seconds 12 --at-once 3\n"
        "Exit status: 0 all rules kept; 1 a rule broke or an ingress crashed; 2 bad use; "
        "4 a run had no verdict; 130 interrupted.",
    )
    made.add_argument("--seeds", type=int, default=10, help="how many runs (10)")
    made.add_argument("--first-seed", type=int, default=1, help="the first of them (1)")
    made.add_argument("--seconds", type=float, default=12.0, help="of each run (12)")
    made.add_argument("--at-once", type=int, default=3, help="runs at a time (3)")
    made.add_argument("--run", metavar="COMMAND", help="what starts an ingress")
    made.add_argument("--json", metavar="FILE", help="writes the results there; - for stdout")
    made.add_argument("--quiet", action="store_true", help="no progress")
    made.add_argument("--one", type=int, metavar="SEED", help=argparse.SUPPRESS)
    return made


async def _play_many(options: argparse.Namespace) -> int:
    soak = Soak(options.seconds, options.run, options.at_once, options.quiet)
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    playing = asyncio.create_task(soak.play_all(seeds))
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    stop = asyncio.create_task(stopped.wait())
    await asyncio.wait({playing, stop}, return_when=asyncio.FIRST_COMPLETED)
    if stopped.is_set():
        playing.cancel()
        await soak.stop()
        await asyncio.gather(playing, return_exceptions=True)
        sys.stderr.write("interrupted; nothing is left behind\n")
        return INTERRUPTED
    stop.cancel()
    results = playing.result()
    _write(results, options)
    if any(result.is_broken for result in results):
        return BROKEN
    return 0 if all(result.judged for result in results) else NO_VERDICT


def _write(results: Sequence[SoakResult], options: argparse.Namespace) -> None:
    text = json.dumps([asdict(result) for result in results], indent=1) + "\n"
    if options.json and options.json != "-":
        Path(options.json).write_text(text, encoding="utf-8")
    if options.json == "-":
        sys.stdout.write(text)
    stream = sys.stderr if options.json == "-" else sys.stdout
    stream.write(table(results, options.seconds) + "\n")


async def _play_here(options: argparse.Namespace) -> int:
    """Plays one run in this process, which a signal ends cleanly."""
    playing = asyncio.ensure_future(play(options.one, options.seconds, options.run))
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    try:
        result = await playing
    except asyncio.CancelledError:
        return INTERRUPTED
    json.dump(asdict(result), sys.stdout)
    return 0


def main(arguments: Sequence[str]) -> int:
    """Plays what the command line asks for; returns the exit status."""
    options = parser().parse_args(arguments)
    if options.seeds < 1 or options.at_once < 1 or not 1.0 <= options.seconds <= 86_400:
        sys.stderr.write("soak: --seeds, --at-once from 1 up, --seconds from 1 to 86400\n")
        return BAD_USE
    return asyncio.run(_play_here(options) if options.one is not None else _play_many(options))
