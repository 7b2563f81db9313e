#!/bin/bash
# Builds the stand-ins of cases 6 to 10: they are Python programs, so their bytecode is made.
# Run after `build` of the deploy file, which makes `.venv`; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/stand_ins_2.py
for case in review/{6,7,8,9,10}/case.py; do
    if [ -e "$case" ]; then .venv/bin/python -m py_compile "$case"; fi
done
