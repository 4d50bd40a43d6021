"""Compares the cost of storing records in the store, SQLite and LMDB, in groups of 300-byte rows.

    python -m benchmarks.store_cost --rows 20000 --group 50
    python -m benchmarks.store_cost --folder /var/tmp --json

Each group is one synced commit.  LMDB is measured only if the package `lmdb` is installed.
"""

from __future__ import annotations

import argparse
import importlib
import importlib.util
import json
import os
import sqlite3
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from ingress.storage.file_system import OsFileSystem
from ingress.storage.store_reader import read_store
from ingress.storage.write_ahead_log import Store

Row = tuple[bytes, bytes]


def write_ahead_log(folder: Path, groups: list[list[Row]]) -> None:
    store = Store(OsFileSystem(folder), "bench")
    for group in groups:
        for key, value in group:
            store.put(key, value)
        store.commit()


def sqlite(folder: Path, groups: list[list[Row]]) -> None:
    with sqlite3.connect(folder / "bench.db", isolation_level=None) as db:
        db.execute("pragma journal_mode=wal")
        db.execute("pragma synchronous=full")
        db.execute("create table held (key blob primary key, value blob) without rowid")
        for group in groups:
            db.execute("begin")
            db.executemany("insert or replace into held values (?, ?)", group)
            db.execute("commit")


def lmdb(folder: Path, groups: list[list[Row]]) -> None:
    env = importlib.import_module("lmdb").open(str(folder), map_size=1 << 30)
    for group in groups:
        with env.begin(write=True) as change:
            for key, value in group:
                change.put(key, value)
    env.close()


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rows", type=int, default=20_000)
    parser.add_argument("--group", type=int, default=50, help="rows per commit")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument(
        "--folder", default=None, help="folder of the files (the system's temporary folder)"
    )
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    rows = [(os.urandom(16), os.urandom(300)) for _ in range(args.rows)]
    groups = [rows[n : n + args.group] for n in range(0, len(rows), args.group)]
    writers: dict[str, Callable[[Path, list[list[Row]]], None]] = {
        "ours": write_ahead_log,
        "sqlite": sqlite,
    }
    if importlib.util.find_spec("lmdb"):
        writers["lmdb"] = lmdb
    times_by_writer: dict[str, list[tuple[float, float]]] = {name: [] for name in writers}
    recovery = 0.0
    for round_index in range(args.rounds):
        for name, write_rows in writers.items():
            with tempfile.TemporaryDirectory(dir=args.folder) as folder:
                wall, cpu = time.perf_counter(), time.process_time()
                write_rows(Path(folder), groups)
                times_by_writer[name].append(
                    (time.perf_counter() - wall, time.process_time() - cpu)
                )
                if name == "ours":
                    wall = time.perf_counter()
                    assert len(read_store(OsFileSystem(Path(folder)), "bench").entries) == len(rows)
                    recovery = time.perf_counter() - wall
        print(f"\rround {round_index + 1} of {args.rounds}", end="", file=sys.stderr, flush=True)
    print(file=sys.stderr)
    medians = {
        name: [sorted(x)[len(x) // 2] for x in zip(*times, strict=True)]
        for name, times in times_by_writer.items()
    }
    report = {
        name: {
            "rows_a_second": round(args.rows / wall),
            "cpu_us_a_row": round(1e6 * cpu / args.rows, 2),
        }
        for name, (wall, cpu) in medians.items()
    } | {"recovery": {"s": round(recovery, 3)}}
    print(
        json.dumps(report)
        if args.json
        else "\n".join(f"{name:9} {row}" for name, row in report.items())
    )
    return 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
