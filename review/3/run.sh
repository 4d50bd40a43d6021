#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD" PYTHONDONTWRITEBYTECODE=1 .venv/bin/python review/3/case.py
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
