"""Shows the handover records in a store, which may be in use; changes nothing.

    python -m ingress.handover show --owner ingress-1 store/
    python -m ingress.handover check --owner ingress-1 store/ --json

Exit status: 0, the store is complete; 1, part of it is unreadable and the rest is shown; 2, the
store can't be used.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from ingress.handover.record_codec import INCARNATION_KEY, decode
from ingress.storage.errors import CorruptStoreError
from ingress.storage.file_system import OsFileSystem
from ingress.storage.store_reader import StoreContents, read_store


def describe_records(contents: StoreContents) -> list[dict[str, Any]]:
    """Returns the displayed fields of each record; times are Unix times in seconds."""
    described = []
    for name, data in contents.entries.items():
        record = decode(data) if name != INCARNATION_KEY else None
        if record is not None:
            described.append(
                {
                    "name": name.hex(),
                    "phase": record.phase.name.lower(),
                    "holder": record.holder.instance,
                    "life": record.holder.incarnation,
                    "op": record.holder.operation,
                    "since": round(record.opened_at, 3),
                    "at": round(record.changed_at, 3),
                    "bytes": record.size(),
                }
            )
    return described


def describe_store(contents: StoreContents, records: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the displayed summary of a store."""
    has_incarnation = INCARNATION_KEY in contents.entries
    unreadable = len(contents.entries) - len(records) - has_incarnation
    return {
        "whole": not contents.faults and not unreadable,
        "disk": contents.store_id.hex(),
        "position": contents.position,
        "faults": contents.faults,
        "unreadable": unreadable,
        "life": int.from_bytes(contents.entries.get(INCARNATION_KEY, b""), "big"),
        "phases": dict(Counter(record["phase"] for record in records)),
    }


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m ingress.handover",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("what", choices=["show", "check"])
    parser.add_argument("folder", type=Path)
    parser.add_argument("--owner", required=True, help="name of the ingress that owns the store")
    parser.add_argument("--json", action="store_true")
    return parser.parse_args()


def _text(folder: Path, summary: dict[str, Any]) -> str:
    state = "whole" if summary["whole"] else "NOT WHOLE"
    phases = ", ".join(f"{count} {phase}" for phase, count in summary["phases"].items())
    lines = [
        f"{folder}: {state}, disk {summary['disk']}, up to position {summary['position']}, "
        f"life {summary['life']}"
    ]
    lines += [f"  {fault}" for fault in summary["faults"]]
    lines.append(f"  {phases or 'no records'}")
    lines += [
        "  {name}  {phase:8} {holder} {life}/{op}  since {since:.3f}  at {at:.3f}".format(**record)
        for record in summary.get("records", ())
    ]
    return "\n".join(lines)


def _read(folder: Path, owner: str) -> StoreContents:
    if not folder.is_dir():
        raise CorruptStoreError("no such folder")
    return read_store(OsFileSystem(folder), owner)


def main() -> int:
    """Runs the command; returns its exit status."""
    arguments = _arguments()
    try:
        contents = _read(arguments.folder, arguments.owner)
    except (CorruptStoreError, OSError) as error:
        sys.stderr.write(f"{arguments.folder}: {error}\n")
        return 2
    records = describe_records(contents)
    summary = describe_store(contents, records)
    if arguments.what == "show":
        summary["records"] = records
    text = json.dumps(summary) if arguments.json else _text(arguments.folder, summary)
    sys.stdout.write(f"{text}\n")
    return 0 if summary["whole"] else 1


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
