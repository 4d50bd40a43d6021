#!/bin/sh
# Prepares the cases 6 to 9, after the `build` command of the deploy file: installs the packages that the optional features
# of the operator's file need, unless they are there, and creates the byte code of the stand-ins.
root=$(CDPATH= cd -- "$(dirname -- "$0")/.." && pwd)
cd "$root" || exit 1
.venv/bin/python -c "import h11, httptools, msgspec" 2>/dev/null ||
    .venv/bin/python -m pip -q install -r requirements-lab.txt || exit 1
.venv/bin/python -m compileall -q review/rig2
