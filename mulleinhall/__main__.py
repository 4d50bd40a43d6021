"""One real ingress: `python -m mulleinhall`, told what it needs by EDGE_CONFIG."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from pathlib import Path

import uvloop

from mulleinhall.net.config import BadConfig, Config, read_config
from mulleinhall.net.ingress import Ingress


async def serve(config: Config) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await Ingress(config).run(stop)


def main() -> int:
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    path = os.environ.get("EDGE_CONFIG", "")
    try:
        if not path:
            raise BadConfig("EDGE_CONFIG: not set")
        config = read_config(Path(path).read_text(encoding="utf-8"))
    except (BadConfig, OSError, UnicodeDecodeError) as error:
        text = error if isinstance(error, BadConfig) else f"EDGE_CONFIG: {error}"
        print(f"mulleinhall: {text}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"mulleinhall: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
