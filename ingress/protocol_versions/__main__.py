"""`python -m ingress.protocol_versions explain OLD NEW`: shows what a version pair can carry."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from typing import Final

from ingress.protocol_versions.declaration import (
    UnknownProtocolVersionError,
    protocol_version,
    protocol_versions,
)
from ingress.protocol_versions.pairs import FeatureRow, Fidelity, table

EXIT_OK: Final = 0
EXIT_UNKNOWN_VERSION: Final = 2
MARKS: Final = {Fidelity.CARRIED: " ", Fidelity.LOSSY: "~", Fidelity.IMPOSSIBLE: "x"}
ALIGNED_COLUMNS: Final = 4


def format_table(rows: Sequence[FeatureRow], client: str, server: str) -> str:
    """Returns a pair's table as text; ~ marks lossy features, x features that can't be carried."""
    lines = [("", "", f"client {client}", f"server {server}", "becomes")]
    lines += [
        (MARKS[row.fidelity], row.feature, row.client, row.server, row.becomes) for row in rows
    ]
    widths = [max(len(line[column]) for line in lines) for column in range(ALIGNED_COLUMNS)]
    texts = [
        "  ".join([*map(str.ljust, line[:ALIGNED_COLUMNS], widths), line[ALIGNED_COLUMNS]]).rstrip()
        for line in lines
    ]
    return "\n".join([*texts, "", "~ lossy   x can't be carried unchanged"])


def format_json(rows: Sequence[FeatureRow]) -> str:
    """Returns a pair's table as a JSON list of objects."""
    entries = [
        {
            "feature": row.feature,
            "client": row.client,
            "server": row.server,
            "fate": row.fidelity.value,
            "becomes": row.becomes,
        }
        for row in rows
    ]
    return json.dumps(entries, indent=1)


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command and returns its exit status."""
    options = _make_parser().parse_args(arguments)
    if options.command == "list":
        _print("\n".join(protocol_versions()))
        return EXIT_OK
    try:
        rows = table(protocol_version(options.client), protocol_version(options.server))
    except UnknownProtocolVersionError as error:
        sys.stderr.write(f"ingress.protocol_versions: {error}\n")
        return EXIT_UNKNOWN_VERSION
    if options.json:
        _print(format_json(rows))
    else:
        _print(format_table(rows, options.client, options.server))
    return EXIT_OK


def _print(text: str) -> None:
    sys.stdout.write(text + "\n")


def _make_parser() -> argparse.ArgumentParser:
    """Returns the command line parser."""
    parser = argparse.ArgumentParser(
        prog="python -m ingress.protocol_versions",
        description="Lists the dialects and shows what a pair of them can carry.",
        epilog="Example: python -m ingress.protocol_versions explain resp2-v1 http-v2.   "
        "Exit status: 0 on success, 2 for an unknown dialect.",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("list", help="list all dialects")
    explain = commands.add_parser("explain", help="print the table of a pair")
    explain.add_argument("client", help="the dialect of the clients")
    explain.add_argument("server", help="the dialect of the servers")
    explain.add_argument("--json", action="store_true", help="print JSON")
    return parser


if __name__ == "__main__":
    sys.exit(main())
