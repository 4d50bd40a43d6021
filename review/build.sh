#!/bin/sh
# Prepares what the cases start, after the build of the deploy file.  The stand-ins of the cases need
# the standard library alone.  Handover and http-v2 are optional features of the project: they need
# msgspec and httptools, which requirements-lab.txt pins and the build of the deploy file leaves out.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -c "import httptools, msgspec" 2>/dev/null ||
    .venv/bin/python -m pip -q install -r requirements-lab.txt || exit 1
.venv/bin/python -c "import httptools, msgspec, review.rig.fleet, review.rig.clients"
