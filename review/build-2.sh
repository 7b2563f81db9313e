#!/bin/bash
# Builds what the scripts of cases 6 to 10 start: the bytecode of the stand-ins, which are Python programs, and an
# environment for the project's lease service in review/.venv (anew, unless it is there for the same packages).
# Run after `build` of the deploy file, which makes `.venv`, with the package mirrors reachable.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! cat requirements.txt requirements-leasing.txt | cmp -s - review/.venv/requirements.txt; then
    python3 -m venv --clear review/.venv
    review/.venv/bin/pip -q install -r requirements.txt -r requirements-leasing.txt
    cat requirements.txt requirements-leasing.txt > review/.venv/requirements.txt
fi
.venv/bin/python -m py_compile review/stand_ins_2.py
for case in review/{6,7,8,9,10}/case.py; do
    if [ -e "$case" ]; then .venv/bin/python -m py_compile "$case"; fi
done
