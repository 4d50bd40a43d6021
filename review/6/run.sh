#!/bin/sh
# Runs the case; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
root=$(CDPATH= cd -- "$(dirname -- "$0")/../.." && pwd)
[ -x "$root/.venv/bin/python" ] || exit 2
cd "$root" || exit 2
exec .venv/bin/python review/6/case.py
