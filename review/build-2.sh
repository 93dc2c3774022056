#!/bin/sh
# What the cases 6 to 10 start beside the gateway: stand-ins in Python, on the standard library alone. Nothing is
# fetched or installed; this checks that they can be loaded by the interpreter that the deploy file's build has laid.
set -e
cd "$(dirname "$0")/.."
for file in review/rig_2.py review/[6-9]/check.py review/10/check.py; do
    if test -f "$file"; then
        .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
    fi
done
.venv/bin/python -c 'import asyncio, tomllib, sys; sys.path.insert(0, "review"); import rig_2'
