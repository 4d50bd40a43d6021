"""The proving ground's command: `python -m ingress.testbed`."""

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

from ingress.testbed.ingresses import CantStart
from ingress.testbed.load_generator import EACH, MOST, processes
from ingress.testbed.report import report, table
from ingress.testbed.scenario import SIZES, BadScenario, Scenario, draw, read_scenario
from ingress.testbed.world import Progress, World, standing

BROKEN, BAD_USE, CANT_START, TOO_BUSY, NO_VERDICT, INTERRUPTED = 1, 2, 3, 4, 5, 130
SCENARIOS = Path(__file__).parent / "scenarios"


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        prog="python -m ingress.testbed",
        description="Starts real ingresses with stand-ins for everything round them, on loopback addresses, "
        "lets things go wrong, and judges what was seen on the sockets.",
        epilog="Example: python -m ingress.testbed --seconds 30 --faults 5 --seed 7.   Many drawn runs: "
        "python -m ingress.testbed soak --help.   Exit status: 0 all "
        "rules kept; 1 a rule broke or an ingress crashed; 2 bad use or a bad scenario; 3 an ingress "
        "did not start; 4 the machine was too busy to judge; 5 the lab itself failed, so there is no "
        "verdict; 130 interrupted.",
    )
    made.add_argument("--seconds", type=float, help="for how long clients come (20)")
    made.add_argument("--ingresses", type=int, help="real ingress processes (3)")
    made.add_argument("--servers", type=int, help="grid servers (9)")
    made.add_argument("--rate", type=float, help="first tries a second (75)")
    made.add_argument("--seed", type=int, help="for all that is drawn (1)")
    made.add_argument(
        "--scenario",
        metavar="FILE",
        help="a TOML file, or a name out of: "
        + ", ".join(sorted(p.stem for p in SCENARIOS.glob("*.toml"))),
    )
    made.add_argument("--faults", type=int, metavar="N", help="draws N faults from the seed (0)")
    made.add_argument(
        "--clients",
        type=int,
        metavar="N",
        default=0,
        help="processes that clients are in (one for each 500 requests/s)",
    )
    made.add_argument(
        "--run",
        metavar="COMMAND",
        help="what starts an ingress (the run line of deploy/balancer.toml)",
    )
    made.add_argument(
        "--json", metavar="FILE", help="writes the figures there; - for standard output"
    )
    made.add_argument(
        "--plot", metavar="FILE.png", help="draws answers and latency over time (needs matplotlib)"
    )
    made.add_argument(
        "--hold",
        action="store_true",
        help="leaves it standing without clients of its own, and prints every address",
    )
    made.add_argument("--quiet", action="store_true", help="no progress")
    return made


def load(options: argparse.Namespace) -> Scenario:
    """The scenario that the command line asks for.  Raises BadScenario."""
    sizes = {key: getattr(options, key) for key in SIZES}
    text, where = "", "command line"
    if options.scenario:
        if options.faults:
            raise BadScenario("command line: --faults: draws a scenario; leave --scenario out")
        path = Path(options.scenario)
        if not path.suffix and not path.exists():
            path = SCENARIOS / f"{options.scenario}.toml"
        where = str(path)
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise BadScenario(f"{where}: {error}") from None
    scenario = read_scenario(text, where, **sizes)
    if not 0 <= options.clients <= MOST:
        raise BadScenario(
            f"command line: clients: {options.clients} is not a number from 0 to {MOST}"
        )
    if (
        any(">" in f.target and f.target.startswith("clients>") for f in scenario.faults)
        and (options.clients or processes(scenario.deployment.rate)) > 1
    ):
        raise BadScenario(
            f"{where}: faults of clients' links are played with clients in one process only: "
            f"--rate {EACH:g} at most, --clients 1 at most"
        )
    if options.faults is not None and not 0 <= options.faults <= 1000:
        raise BadScenario(f"command line: faults: {options.faults} is not a number from 0 to 1000")
    if options.faults:
        return draw(scenario.seed, scenario.seconds, scenario.deployment, options.faults)
    return (
        scenario
        if options.scenario
        else Scenario("calm", scenario.seconds, scenario.seed, scenario.deployment)
    )


def check_libraries(scenario: Scenario, plots: bool) -> None:
    """Guards against a run that lacks a library in its middle or at its end.  Raises BadScenario."""
    if plots and find_spec("matplotlib") is None:
        raise BadScenario("command line: --plot needs matplotlib: pip install '.[plot]'")
    missing = [name for name in ("h11", "httptools") if find_spec(name) is None]
    if missing and scenario.needs_http():
        raise BadScenario(
            f"{scenario.name}: it plays http-v2, which needs {' and '.join(missing)}: "
            "pip install -r requirements-lab.txt"
        )


def again(options: argparse.Namespace, scenario: Scenario) -> str:
    """The command that repeats the run."""
    words = [
        "python -m ingress.testbed",
        f"--seed {scenario.seed}",
        f"--seconds {scenario.seconds:g}",
    ]
    given = ("ingresses", "servers", "rate", "scenario", "faults")
    words += [f"--{key} {value}" for key in given if (value := getattr(options, key)) is not None]
    return " ".join(words + ([f"--run '{options.run}'"] if options.run else []))


def addresses(world: World) -> str:
    rows = [f"{name:<28}{host}:{port}" for name, (host, port) in sorted(world.addresses.items())]
    return "\n".join(["who>whom                    address", *rows])


def progress(scenario: Scenario) -> Progress:
    """A line that is written over on a terminal; elsewhere one every five seconds."""
    terminal, told = sys.stderr.isatty(), 0.0
    start, end = ("\r", "") if terminal else ("", "\n")

    def show(at: float, text: str) -> None:
        nonlocal told
        if terminal or at >= told + 5.0:
            told = at
            print(
                f"{start}{at:6.1f} of {scenario.seconds:g} s   {text}   ",
                end=end,
                file=sys.stderr,
                flush=True,
            )

    return show


async def run(options: argparse.Namespace, scenario: Scenario) -> int:
    """Plays the scenario; the exit status."""
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    async with standing(scenario, options.run, options.clients) as world:
        if options.hold:
            print(addresses(world), flush=True)
            print("It stands until Ctrl-C.", file=sys.stderr)
            await stop.wait()
            return 0
        show = None if options.quiet else progress(scenario)
        play = asyncio.create_task(world.play(show))
        stopped = asyncio.create_task(stop.wait())
        await asyncio.wait({play, stopped}, return_when=asyncio.FIRST_COMPLETED)
        if stop.is_set():
            play.cancel()
            await asyncio.gather(play, return_exceptions=True)
            print("\ninterrupted; nothing is left behind", file=sys.stderr)
            return INTERRUPTED
        stopped.cancel()
        play.result()
        await world.close()
    figures, verdict = report(world)
    if world.faults:
        print(
            "ingress.testbed: the lab itself failed; this is no verdict:",
            *world.faults,
            sep="\n  ",
            file=sys.stderr,
        )
        return NO_VERDICT
    if sys.stderr.isatty() and not options.quiet:
        print(file=sys.stderr)
    print(
        table(figures, again(options, scenario)),
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
        return BROKEN
    return 0 if verdict.judged and figures["kept_up"] else TOO_BUSY


def main(arguments: Sequence[str] | None = None) -> int:
    words = sys.argv[1:] if arguments is None else arguments
    if words[:1] == ["soak"]:
        from ingress.testbed import soak

        return soak.main(words[1:])
    options = parser().parse_args(words)
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    try:
        scenario = load(options)
        check_libraries(scenario, options.plot is not None)
    except BadScenario as error:
        print(f"ingress.testbed: {error}", file=sys.stderr)
        return BAD_USE
    with contextlib.suppress(ImportError):
        import uvloop

        uvloop.install()
    try:
        return asyncio.run(run(options, scenario))
    except CantStart as error:
        print(f"ingress.testbed: {error}", file=sys.stderr)
        return CANT_START
    except OSError as error:
        print(f"ingress.testbed: an address could not be taken: {error}", file=sys.stderr)
        return CANT_START


if __name__ == "__main__":
    sys.exit(main())
