"""Command line of the testbed: `python -m ingress.testbed`."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import logging
import signal
import sys
from collections.abc import Sequence
from importlib.util import find_spec
from pathlib import Path

from ingress.testbed.ingresses import IngressStartError
from ingress.testbed.load_generator import MAX_PROCESSES, MAX_RATE_PER_PROCESS, process_count
from ingress.testbed.report import report, table
from ingress.testbed.scenario import (
    SIZE_LIMITS,
    Scenario,
    ScenarioError,
    draw,
    read_scenario,
)
from ingress.testbed.world import Progress, World, running_world

RULE_BROKEN, USAGE_ERROR, START_FAILED, TOO_BUSY, NO_VERDICT, INTERRUPTED = 1, 2, 3, 4, 5, 130
SCENARIOS = Path(__file__).parent / "scenarios"


def parser() -> argparse.ArgumentParser:
    argument_parser = argparse.ArgumentParser(
        prog="python -m ingress.testbed",
        description="Starts real ingress processes with simulated clients, backends, discovery and counter on "
        "loopback addresses, injects faults, and checks the traffic recorded on the sockets.",
        epilog="Example: python -m ingress.testbed --seconds 30 --faults 5 --seed 7.   Many random runs: "
        "python -m ingress.testbed soak --help.   Exit status: 0 all "
        "rules kept; 1 a rule was broken or an ingress crashed; 2 usage error or invalid scenario; 3 an "
        "ingress did not start; 4 the machine was too busy for a verdict; 5 the testbed itself failed, so "
        "there is no verdict; 130 interrupted.",
    )
    argument_parser.add_argument(
        "--seconds", type=float, help="how long clients send requests (20)"
    )
    argument_parser.add_argument(
        "--ingresses", type=int, help="number of real ingress processes (3)"
    )
    argument_parser.add_argument("--servers", type=int, help="number of grid servers (9)")
    argument_parser.add_argument("--rate", type=float, help="first attempts per second (75)")
    argument_parser.add_argument("--seed", type=int, help="seed of the random generator (1)")
    argument_parser.add_argument(
        "--scenario",
        metavar="FILE",
        help="a TOML file, or one of: "
        + ", ".join(sorted(p.stem for p in SCENARIOS.glob("*.toml"))),
    )
    argument_parser.add_argument(
        "--faults", type=int, metavar="N", help="random faults to inject, from the seed (0)"
    )
    argument_parser.add_argument(
        "--clients",
        type=int,
        metavar="N",
        default=0,
        help="number of client processes (one for each 500 requests/s)",
    )
    argument_parser.add_argument(
        "--run",
        metavar="COMMAND",
        help="command that starts an ingress (the run line of deploy/balancer.toml)",
    )
    argument_parser.add_argument(
        "--json", metavar="FILE", help="writes the figures to FILE; - for standard output"
    )
    argument_parser.add_argument(
        "--plot",
        metavar="FILE.png",
        help="plots responses and latency over time (needs matplotlib)",
    )
    argument_parser.add_argument(
        "--hold",
        action="store_true",
        help="keeps the testbed running without clients of its own, and prints every address",
    )
    argument_parser.add_argument("--quiet", action="store_true", help="prints no progress")
    return argument_parser


def load_scenario(options: argparse.Namespace) -> Scenario:
    """Returns the scenario that the command line selects.  Raises ScenarioError."""
    sizes = {key: getattr(options, key) for key in SIZE_LIMITS}
    text, source = "", "command line"
    if options.scenario:
        if options.faults:
            raise ScenarioError("command line: --faults can't be combined with --scenario")
        path = Path(options.scenario)
        if not path.suffix and not path.exists():
            path = SCENARIOS / f"{options.scenario}.toml"
        source = str(path)
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise ScenarioError(f"{source}: {error}") from None
    scenario = read_scenario(text, source, **sizes)
    if not 0 <= options.clients <= MAX_PROCESSES:
        raise ScenarioError(
            f"command line: clients: {options.clients} is not a number from 0 to {MAX_PROCESSES}"
        )
    if (
        any(">" in f.target and f.target.startswith("clients>") for f in scenario.faults)
        and (options.clients or process_count(scenario.deployment.rate)) > 1
    ):
        raise ScenarioError(
            f"{source}: faults of clients' links need all clients in one process: "
            f"--rate {MAX_RATE_PER_PROCESS:g} at most, --clients 1 at most"
        )
    if options.faults is not None and not 0 <= options.faults <= 1000:
        raise ScenarioError(
            f"command line: faults: {options.faults} is not a number from 0 to 1000"
        )
    if options.faults:
        return draw(scenario.seed, scenario.seconds, scenario.deployment, options.faults)
    return (
        scenario
        if options.scenario
        else Scenario("calm", scenario.seconds, scenario.seed, scenario.deployment)
    )


def check_libraries(scenario: Scenario, plots: bool) -> None:
    """Checks before the run that every library it needs is installed.  Raises ScenarioError."""
    if plots and find_spec("matplotlib") is None:
        raise ScenarioError("command line: --plot needs matplotlib: pip install '.[plot]'")
    missing = [name for name in ("h11", "httptools") if find_spec(name) is None]
    if missing and scenario.needs_http():
        raise ScenarioError(
            f"{scenario.name}: it uses http-v2, which needs {' and '.join(missing)}: "
            "pip install -r requirements-lab.txt"
        )


def repeat_command(options: argparse.Namespace, scenario: Scenario) -> str:
    """Returns the command that repeats the run."""
    parts = [
        "python -m ingress.testbed",
        f"--seed {scenario.seed}",
        f"--seconds {scenario.seconds:g}",
    ]
    names = ("ingresses", "servers", "rate", "scenario", "faults")
    parts += [f"--{key} {value}" for key in names if (value := getattr(options, key)) is not None]
    return " ".join(parts + ([f"--run '{options.run}'"] if options.run else []))


def addresses(world: World) -> str:
    rows = [f"{name:<28}{host}:{port}" for name, (host, port) in sorted(world.addresses.items())]
    return "\n".join(["from>to                     address", *rows])


def progress_printer(scenario: Scenario) -> Progress:
    """Returns a callback that prints progress: overwrites a line on a terminal, else every 5 s."""
    terminal, printed_at = sys.stderr.isatty(), 0.0
    start, end = ("\r", "") if terminal else ("", "\n")

    def print_progress(at: float, text: str) -> None:
        nonlocal printed_at
        if terminal or at >= printed_at + 5.0:
            printed_at = at
            print(
                f"{start}{at:6.1f} of {scenario.seconds:g} s   {text}   ",
                end=end,
                file=sys.stderr,
                flush=True,
            )

    return print_progress


async def run(options: argparse.Namespace, scenario: Scenario) -> int:
    """Runs the scenario and returns the exit status."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    async with running_world(scenario, options.run, options.clients) as world:
        if options.hold:
            print(addresses(world), flush=True)
            print("Running; press Ctrl-C to stop.", file=sys.stderr)
            await stop.wait()
            return 0
        print_progress = None if options.quiet else progress_printer(scenario)
        play_task = asyncio.create_task(world.play(print_progress))
        stop_task = asyncio.create_task(stop.wait())
        await asyncio.wait({play_task, stop_task}, return_when=asyncio.FIRST_COMPLETED)
        if stop.is_set():
            play_task.cancel()
            await asyncio.gather(play_task, return_exceptions=True)
            print("\ninterrupted; all processes are stopped", file=sys.stderr)
            return INTERRUPTED
        stop_task.cancel()
        play_task.result()
        await world.close()
    figures, verdict = report(world)
    if world.faults:
        print(
            "ingress.testbed: the testbed itself failed; no verdict:",
            *world.faults,
            sep="\n  ",
            file=sys.stderr,
        )
        return NO_VERDICT
    if sys.stderr.isatty() and not options.quiet:
        print(file=sys.stderr)
    print(
        table(figures, repeat_command(options, scenario)),
        file=sys.stderr if options.json == "-" else sys.stdout,
    )
    if options.json:
        text = json.dumps(figures, indent=1) + "\n"
        if options.json == "-":
            sys.stdout.write(text)
        else:
            Path(options.json).write_text(text, encoding="utf-8")
    if options.plot:
        from ingress.testbed.plot import plot

        plot(world, Path(options.plot))
    if verdict.breaches or world.crashes:
        return RULE_BROKEN
    return 0 if verdict.judged and figures["kept_up"] else TOO_BUSY


def main(arguments: Sequence[str] | None = None) -> int:
    args = sys.argv[1:] if arguments is None else arguments
    if args[:1] == ["soak"]:
        from ingress.testbed import soak

        return soak.main(args[1:])
    options = parser().parse_args(args)
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    try:
        scenario = load_scenario(options)
        check_libraries(scenario, options.plot is not None)
    except ScenarioError as error:
        print(f"ingress.testbed: {error}", file=sys.stderr)
        return USAGE_ERROR
    with contextlib.suppress(ImportError):
        import uvloop

        uvloop.install()
    try:
        return asyncio.run(run(options, scenario))
    except IngressStartError as error:
        print(f"ingress.testbed: {error}", file=sys.stderr)
        return START_FAILED
    except OSError as error:
        print(f"ingress.testbed: cannot bind an address: {error}", file=sys.stderr)
        return START_FAILED


if __name__ == "__main__":
    sys.exit(main())
