#!/bin/bash
# Builds what the scripts of cases 6 to 10 start: the bytecode of the stand-ins, which are Python programs, and, for
# the project's lease service, an environment in review/.venv, unless there is one with its packages already.
# Run after `build` of the deploy file, which makes `.venv`. Packages come from the mirrors of that build.
set -euo pipefail
cd "$(dirname "$0")/.."
has_packages() {
    [ -x "$1" ] && "$1" -c "import aiohttp, click, h11, msgspec, xxhash" 2> /dev/null
}
if ! has_packages .venv/bin/python && ! has_packages review/.venv/bin/python; then
    python3 -m venv --clear review/.venv
    review/.venv/bin/pip -q install -r requirements-leasing.txt
fi
.venv/bin/python -m compileall -q review/stand_ins_2.py review/6 review/7 review/8 review/9 review/10
