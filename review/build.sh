#!/bin/sh
# Build the stand-ins of the cases: they are Python of the standard library, so they need no more than to compile.
set -eu
cd "$(dirname "$0")"
exec ../.venv/bin/python -m py_compile rig.py */check.py
