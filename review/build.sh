#!/bin/sh
# Run after the deploy file's `build`. The stand-ins are Python without packages of their own; the lease service
# needs those of requirements-leasing.txt, in an environment beside the cases unless `.venv` has them.
set -e
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c "import aiohttp, click, h11, msgspec, xxhash" 2>/dev/null; then
    python3 -m venv --clear review/.venv
    review/.venv/bin/pip -q install -r requirements-leasing.txt
fi
.venv/bin/python -m compileall -q review/harness.py review/[0-9] thistletrail/leasing thistletrail/write_ahead_log
